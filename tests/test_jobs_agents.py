"""Agents and workers that crash, fall silent, leave or restart.

See ``test_jobs`` for the invariants that are checked in each test.
"""

import pytest

from hyssopring.jobs.messages import StartOrder, StartRefusal, TaskRequirements
from hyssopring.jobs.model import JobState, Size
from standins.jobs.deployment import a_job, settled, starts_of


def test_a_restarted_agent_keeps_the_running_tasks():
    """An agent is killed and restarts after three seconds.

    Its worker keeps the tasks under the hold. The new agent lists them and
    must not stop them before grants arrive, nor may the owner.
    """
    deployment = settled(workers=1, work_ms=lambda task: 6000)
    job = a_job(steps=((4, ()),))
    deployment.submit(job)
    deployment.run(1)
    deployment.kill_agent('agent-0')
    deployment.run(3)
    deployment.start_agent('agent-0', deployment.workers[0])
    deployment.run(6)
    assert deployment.state(job.job_id) is JobState.COMPLETED
    assert len(starts_of(deployment, job)) == 4


def test_tasks_of_a_cut_off_agent_start_elsewhere_only_after_its_grant():
    """An agent permanently loses all entries, and its worker keeps running.

    The agent stops extending the hold when its grant expires, and the owner
    starts the tasks elsewhere no sooner. This also holds if the worker's clock
    is 2% slow, because the hold is shortened by the clock drift.
    """
    deployment = settled(workers=2, rate=0.98, work_ms=lambda task: 20_000)
    job = a_job(steps=((6, ()),))
    deployment.submit(job)
    deployment.run(1)
    deployment.cut_off('agent-0')
    deployment.run(15)
    restarts = [row for row in starts_of(deployment, job) if row[3] > 1]
    assert len(restarts) == 3
    assert all(row[1] == 'worker-1' for row in restarts)


def test_tasks_of_a_restarted_worker_start_elsewhere_at_once():
    """A worker crashes; its next incarnation lists no running task."""
    deployment = settled(workers=2, work_ms=lambda task: 4000)
    job = a_job(steps=((4, ()),))
    deployment.submit(job)
    deployment.run(1)
    deployment.workers[0].crash()
    deployment.run(3)
    restarts = [row for row in starts_of(deployment, job) if row[3] > 1]
    assert len(restarts) == 2
    deployment.run(5)
    assert deployment.state(job.job_id) is JobState.COMPLETED


def test_a_late_announcement_of_a_former_incarnation_is_ignored():
    """An announcement of a former incarnation arrives after the next one's.

    The agent first polls the worker as that incarnation, and the worker
    answers that it is another one.
    """
    deployment = settled(workers=1)
    worker = deployment.workers[0]
    late = worker.announcement()
    worker.crash()
    deployment.run(3)
    monitor = deployment.agents['agent-0'].core.monitor
    assert monitor.boot == worker.boot
    monitor.announce(late)
    deployment.run(1)
    assert monitor.boot == worker.boot
    job = a_job()
    deployment.submit(job)
    deployment.run(3)
    assert deployment.state(job.job_id) is JobState.COMPLETED


@pytest.mark.parametrize('late_s', [0, 1, 3, 8])
def test_a_start_whose_answer_is_lost_runs_once(late_s):
    """Starts are unanswered and are carried out at once or seconds later.

    The agent repeats the same attempt, which a worker starts only once. A copy
    that arrives after the end of the attempt is refused as old.
    """
    deployment = settled(workers=2)
    for worker in deployment.workers:
        worker.lose_next = 2
        worker.late_s = late_s
    job = a_job(steps=((4, ()),))
    deployment.submit(job)
    deployment.run(12)
    assert deployment.state(job.job_id) is JobState.COMPLETED
    assert len(starts_of(deployment, job)) == 4


def test_tasks_of_a_silent_worker_start_elsewhere_after_the_hold():
    """A worker stops answering while its agent runs.

    The agent reports the tasks as ended when the hold has expired.
    """
    deployment = settled(workers=2, work_ms=lambda task: 9000)
    job = a_job(steps=((4, ()),))
    deployment.submit(job)
    deployment.run(1)
    deployment.workers[0].is_unresponsive = True
    deployment.run(8)
    restarts = [row for row in starts_of(deployment, job) if row[3] > 1]
    assert len(restarts) == 2


def test_a_leaving_worker_gets_no_new_tasks():
    deployment = settled(workers=2)
    deployment.workers[0].is_leaving = True
    deployment.run(2)
    job = a_job()
    deployment.submit(job)
    deployment.run(3)
    assert {row[1] for row in starts_of(deployment, job)} == {'worker-1'}


def test_tasks_of_a_leaving_worker_are_stopped_before_it_goes():
    """A worker that leaves stops its tasks, which resume elsewhere."""
    deployment = settled(workers=2, work_ms=lambda task: 9000)
    job = a_job()
    deployment.submit(job)
    deployment.run(1)
    deployment.workers[0].is_leaving = True
    deployment.run(4)
    assert not deployment.workers[0].runs
    assert len(deployment.workers[1].runs) == 4


def test_reports_of_an_agent_without_a_listing_end_no_task():
    """An agent is killed and restarts while its worker keeps the tasks.

    The worker does not answer for a second, so the agent's first reports
    contain no task. If the owner counted the tasks as ended, it would start
    them elsewhere while they run.
    """
    deployment = settled(workers=2, work_ms=lambda task: 9000)
    job = a_job(steps=((4, ()),))
    deployment.submit(job)
    deployment.run(1)
    deployment.kill_agent('agent-0')
    deployment.run(1)
    deployment.workers[0].is_unresponsive = True
    deployment.start_agent('agent-0', deployment.workers[0])
    deployment.run(1)
    deployment.workers[0].is_unresponsive = False
    deployment.run(12)
    assert len(starts_of(deployment, job)) == 4
    assert deployment.state(job.job_id) is JobState.COMPLETED


def test_an_agent_refuses_a_start_that_does_not_fit():
    """An owner with an outdated view orders more than fits on the worker.

    The worker starts whatever it is asked to, so the agent must refuse.
    """
    deployment = settled(workers=1)
    agent = deployment.agents['agent-0']
    sent = []
    agent.core._send = lambda entry_id, message: sent.append(message)
    owner = deployment.entries[deployment.owner].core
    epoch = owner.owner.shards.by_shard[0].epoch
    connection = owner.fleet.by_agent['agent-0'].connection
    for index in range(3):
        task = f'{1:016x}.0.0.{index}'
        facts = TaskRequirements(task, 1, 6000, 1000, 0, 0, False, '')
        deployment.run_recorder.sizes[f'{1:016x}'] = Size(6000, 1000, 0)
        order = StartOrder(
            0, epoch, agent.worker.boot, 'x', '', facts, connection
        )
        agent.core.handle_message(order, deployment.owner)
    refusals = [
        message for message in sent if isinstance(message, StartRefusal)
    ]
    assert [refusal.reason for refusal in refusals] == ['room']
    assert len(agent.core.table.by_task) == 2
