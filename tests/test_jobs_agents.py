"""Agents and workers that die, fall silent, leave or are born again.

See ``test_jobs`` for what is asserted all the while.
"""

import pytest

from hyssopring.jobs.messages import StartOrder, StartRefusal, TaskFacts
from hyssopring.jobs.model import JobState, Size
from standins.jobs.deployment import a_job, settled, starts_of


def test_an_agent_that_dies_finds_its_tasks_again():
    """An agent is killed and is back three seconds later.

    Its worker kept the tasks under the hold; the new agent lists them, does
    not stop them for want of a grant, and the owner keeps them.
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
    """An agent is cut off from all entries for good; its worker runs on.

    The agent stops extending the hold when its grant is over, and the owner
    starts the tasks elsewhere no sooner, also when the worker's clock is 2%
    slow: the hold is set by its clock, and set shorter by as much.
    """
    deployment = settled(workers=2, rate=0.98, work_ms=lambda task: 20_000)
    job = a_job(steps=((6, ()),))
    deployment.submit(job)
    deployment.run(1)
    deployment.cut_off('agent-0')
    deployment.run(15)
    moved = [row for row in starts_of(deployment, job) if row[3] > 1]
    assert len(moved) == 3
    assert all(row[1] == 'worker-1' for row in moved)


def test_a_worker_that_is_born_again_frees_its_tasks_at_once():
    """A worker crashes; its next life runs nothing and says so."""
    deployment = settled(workers=2, work_ms=lambda task: 4000)
    job = a_job(steps=((4, ()),))
    deployment.submit(job)
    deployment.run(1)
    deployment.workers[0].crash()
    deployment.run(3)
    again = [row for row in starts_of(deployment, job) if row[3] > 1]
    assert len(again) == 2
    deployment.run(5)
    assert deployment.state(job.job_id) is JobState.COMPLETED


def test_a_report_of_an_older_life_is_not_believed():
    """A heartbeat of a dead life comes late, after the next one's.

    The agent asks the worker under that life before it believes the report;
    the worker says that it is another one.
    """
    deployment = settled(workers=1)
    worker = deployment.workers[0]
    late = worker.announcement()
    worker.crash()
    deployment.run(3)
    watch = deployment.agents['agent-0'].core.monitor
    assert watch.boot == worker.boot
    watch.announce(late)
    deployment.run(1)
    assert watch.boot == worker.boot
    job = a_job()
    deployment.submit(job)
    deployment.run(3)
    assert deployment.state(job.job_id) is JobState.COMPLETED


@pytest.mark.parametrize('late_s', [0, 1, 3, 8])
def test_a_start_whose_answer_is_lost_runs_once(late_s):
    """Starts get no answer and are carried out at once or seconds later.

    The agent repeats the same attempt, which a worker starts only once, and
    a copy that comes after the end of the attempt is refused as old.
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


def test_a_silent_worker_s_tasks_are_given_up_after_the_hold():
    """A worker answers nothing any more; its agent lives.

    The agent knows until when the hold lasts at most and tells the owner then.
    """
    deployment = settled(workers=2, work_ms=lambda task: 9000)
    job = a_job(steps=((4, ()),))
    deployment.submit(job)
    deployment.run(1)
    deployment.workers[0].is_dark = True
    deployment.run(8)
    again = [row for row in starts_of(deployment, job) if row[3] > 1]
    assert len(again) == 2


def test_a_leaving_worker_gets_no_new_tasks():
    deployment = settled(workers=2)
    deployment.workers[0].is_leaving = True
    deployment.run(2)
    job = a_job()
    deployment.submit(job)
    deployment.run(3)
    assert {row[1] for row in starts_of(deployment, job)} == {'worker-1'}


def test_tasks_of_a_leaving_worker_are_stopped_before_it_goes():
    """A worker says that it leaves: its tasks save and go on elsewhere."""
    deployment = settled(workers=2, work_ms=lambda task: 9000)
    job = a_job()
    deployment.submit(job)
    deployment.run(1)
    deployment.workers[0].is_leaving = True
    deployment.run(4)
    assert not deployment.workers[0].runs
    assert len(deployment.workers[1].runs) == 4


def test_a_new_agent_that_has_not_met_its_worker_says_nothing_of_tasks():
    """An agent is killed and restarted; its worker kept the tasks.

    The worker answers nothing for a second, so that the agent's first reports
    name no task. An owner that believed them would start the tasks elsewhere
    while they run.
    """
    deployment = settled(workers=2, work_ms=lambda task: 9000)
    job = a_job(steps=((4, ()),))
    deployment.submit(job)
    deployment.run(1)
    deployment.kill_agent('agent-0')
    deployment.run(1)
    deployment.workers[0].is_dark = True
    deployment.start_agent('agent-0', deployment.workers[0])
    deployment.run(1)
    deployment.workers[0].is_dark = False
    deployment.run(12)
    assert len(starts_of(deployment, job)) == 4
    assert deployment.state(job.job_id) is JobState.COMPLETED


def test_an_agent_admits_no_more_than_its_worker_has():
    """An order for more than is left comes, from an owner that knows less.

    The worker would start whatever it is told; the agent refuses.
    """
    deployment = settled(workers=1)
    agent = deployment.agents['agent-0']
    sent = []
    agent.core._send = lambda entry_id, message: sent.append(message)
    owner = deployment.entries[deployment.owner].core
    reign = owner.owner.shards.by_shard[0].epoch
    connection = owner.fleet.by_agent['agent-0'].connection
    for index in range(3):
        task = f'{1:016x}.0.0.{index}'
        facts = TaskFacts(task, 1, 6000, 1000, 0, 0, False, '')
        deployment.book.sizes[f'{1:016x}'] = Size(6000, 1000, 0)
        order = StartOrder(
            0, reign, agent.worker.boot, 'x', '', facts, connection
        )
        agent.core.take(order, deployment.owner)
    refusals = [
        message for message in sent if isinstance(message, StartRefusal)
    ]
    assert [refusal.reason for refusal in refusals] == ['room']
    assert len(agent.core.table.by_task) == 2
