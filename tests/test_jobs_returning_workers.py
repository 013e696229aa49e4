"""Workers that restart under the same ID, in virtual time.

The agents call them through the platform adapter. The workers' record of runs
checks that no task runs twice at a time or after its end.
"""

import itertools

import pytest

from hyssopring.jobs.model import JobState, Size
from hyssopring.logs import Event, _emit, listen_to_events
from standins.jobs.deployment import Deployment, a_job, settled, starts_of
from standins.runner_wire import post_report, report_fields

WORK_MS = 800
LONG_MS = 4000
BUDGET = 2
HIGH_CLOCK_MS = 500_000


def returning(workers=3, **options):
    options.setdefault('work_ms', lambda task: WORK_MS)
    deployment = Deployment(workers=workers, keeps_ids=True, **options)
    for worker in deployment.workers:
        worker.first_clock_ms = HIGH_CLOCK_MS
    return settled(deployment)


@pytest.fixture
def crashes():
    """The fields of each logged crash of a worker."""
    logged = []

    def record(event, fields):
        if event is Event.WORKER_CRASHED:
            logged.append(fields)

    listen_to_events(record)
    yield logged
    _emit._listeners.remove(record)


def after_first_job(**options):
    """Return a deployment whose workers have listed some ends."""
    deployment = returning(**options)
    first = a_job(1, steps=((12, ()),))
    deployment.submit(first)
    deployment.run(3)
    assert deployment.state(first.job_id) is JobState.COMPLETED
    return deployment


def restart_all(deployment, away_s=1):
    for worker in deployment.workers:
        worker.go_down(away_s)
    deployment.run(away_s + 2)


def restart_everything(deployment):
    """Restart all processes and workers, as after a power failure."""
    for name in list(deployment.entries):
        deployment.kill_entry(name)
    for name, agent in list(deployment.agents.items()):
        deployment.kill_agent(name)
        agent.worker.crash()
    deployment.run(1)
    for name, agent in list(deployment.agents.items()):
        deployment.start_agent(name, agent.worker)
    for name in list(deployment.entries):
        deployment.start_entry(name)


def test_ends_of_a_restarted_worker_count():
    """Guards against done tasks that run again because ends are skipped."""
    deployment = after_first_job()
    restart_all(deployment)
    job = a_job(2, steps=((12, ()),))
    deployment.submit(job)
    deployment.run(6)
    assert deployment.state(job.job_id) is JobState.COMPLETED
    assert len(starts_of(deployment, job)) == 12


@pytest.mark.parametrize('loses_power', [False, True])
def test_failures_on_a_restarted_worker_count(loses_power):
    """Guards against failed attempts that are skipped and never counted."""
    deployment = after_first_job()
    restart_all(deployment)
    for worker in deployment.workers:
        worker.fails = lambda task: True
    job = a_job(2, steps=((3, ()),), attempts=BUDGET)
    deployment.submit(job)
    deployment.run(4)
    if loses_power:
        restart_everything(deployment)
        deployment.run(12)
    assert deployment.state(job.job_id, deployment.owner) is JobState.FAILED
    starts = [row[2] for row in starts_of(deployment, job)]
    assert max(map(starts.count, starts)) <= BUDGET


def lose_one_start(deployment, late_s):
    """Submit a job of one task whose first start is delayed and unanswered.

    After ``late_s`` the incarnation that runs then carries the start out.

    Returns:
        The job, and the worker that the start was sent to.
    """
    for worker in deployment.workers:
        worker.lose_next = 1
        worker.late_s = late_s
    job = a_job(2, steps=((1, ()),))
    deployment.submit(job)
    for _step in range(200):
        deployment.run(0.01)
        for worker in deployment.workers:
            if not worker.lose_next:
                answer_others(deployment, worker)
                return job, worker
    raise AssertionError('no start was sent')


def answer_others(deployment, worker):
    for other in deployment.workers:
        if other is not worker:
            other.lose_next = 0


def agent_of(deployment, worker):
    return next(
        agent for agent in deployment.agents.values() if agent.worker is worker
    )


def test_a_start_for_the_former_incarnation_is_void():
    """Guards against a delayed start that the next incarnation carries out."""
    deployment = returning(work_ms=lambda task: 2 * LONG_MS)
    job, worker = lose_one_start(deployment, late_s=4)
    worker.crash()
    worker.room = Size()
    agent_of(deployment, worker).beat()
    deployment.run(20)
    assert deployment.state(job.job_id) is JobState.COMPLETED
    assert len(starts_of(deployment, job)) == 1


def test_a_start_that_the_next_incarnation_has_carried_out_is_kept(crashes):
    """Guards against a second start of a task whose first came after a restart."""
    deployment = returning(work_ms=lambda task: LONG_MS)
    job, worker = lose_one_start(deployment, late_s=0.2)
    worker.crash()
    agent_of(deployment, worker).thaws_at = deployment.reactor.seconds() + 1
    deployment.run(12)
    assert deployment.state(job.job_id) is JobState.COMPLETED
    assert len(starts_of(deployment, job)) == 1
    assert not any(job.job_id in crash['started'] for crash in crashes)


def test_an_acknowledgement_reaches_no_end_of_the_next_incarnation():
    """Guards against ends that are dropped before an agent has read them."""
    deployment = returning(workers=1, work_ms=lambda task: 300)
    worker = deployment.workers[0]
    lost = lose_first_acknowledgement(worker, late_s=1.2)
    deployment.submit(a_job(1, steps=((1, ()),)))
    for _step in range(500):
        if lost:
            break
        deployment.run(0.01)
    assert lost
    worker.can_announce = False
    job, _worker = lose_one_start(deployment, late_s=0.1)
    worker.crash()
    deployment.run(1.5)
    worker.can_announce = True
    deployment.run(6)
    assert deployment.state(job.job_id) is JobState.COMPLETED
    assert len(starts_of(deployment, job)) == 1


def lose_first_acknowledgement(worker, late_s):
    """Delay the first acknowledgement; return a list to which it is added."""
    poll_without_loss = worker.poll
    lost = []

    def poll(request):
        if request.acked_through and not lost:
            lost.append(request)
            worker.late_s = late_s
            worker.lose_polls = 1
        return poll_without_loss(request)

    worker.poll = poll
    return lost


def test_a_hold_by_the_former_clock_does_not_reach_the_next_incarnation():
    """Guards against tasks that keep running after their grants expired."""
    deployment = returning(workers=1)
    worker = deployment.workers[0]
    assert worker.hold_ms > HIGH_CLOCK_MS
    worker.clocks_ms = itertools.repeat(1000)
    worker.can_announce = False
    worker.go_down(0.3)
    deployment.run(1.2)
    assert not worker.is_down and worker.hold_ms == 0


@pytest.mark.parametrize('lists', [False, True])
def test_a_new_agent_orders_a_worker_that_has_seen_a_higher_fence(lists):
    """Guards against a worker that rejects every agent after a clock set back."""
    deployment = after_first_job(workers=1)
    worker = deployment.workers[0]
    worker.answers_when_fenced = lists
    worker.fence += 10**8
    deployment.kill_agent('agent-0')
    deployment.run(1)
    deployment.start_agent('agent-0', worker)
    job = a_job(2)
    deployment.submit(job)
    deployment.run(12)
    assert deployment.state(job.job_id) is JobState.COMPLETED


def test_an_upgraded_agent_keeps_the_tasks_of_a_running_worker():
    """Guards against second starts when the boot ID of a worker changes.

    Older releases build it from the worker's ID alone, newer ones also from
    its start time.
    """
    deployment = returning(work_ms=lambda task: LONG_MS)
    for worker in deployment.workers:
        worker.announces_born = False
    restart_agents(deployment)
    job = a_job(2, steps=((6, ()),))
    deployment.submit(job)
    deployment.run(2)
    for worker in deployment.workers:
        worker.announces_born = True
    restart_agents(deployment)
    deployment.run(8)
    assert deployment.state(job.job_id) is JobState.COMPLETED
    assert len(starts_of(deployment, job)) == 6


def restart_agents(deployment):
    for name, agent in list(deployment.agents.items()):
        deployment.kill_agent(name)
        deployment.start_agent(name, agent.worker)
        deployment.run(0.5)


@pytest.mark.parametrize('first_ms', [1000, HIGH_CLOCK_MS, 2 * HIGH_CLOCK_MS])
def test_the_next_incarnation_s_clock_may_begin_anywhere(first_ms):
    """Guards against holds and fences computed from a former clock."""
    deployment = after_first_job()
    for worker in deployment.workers:
        worker.clocks_ms = itertools.repeat(first_ms)
    restart_all(deployment)
    job = a_job(2, steps=((12, ()),))
    deployment.submit(job)
    deployment.run(6)
    assert deployment.state(job.job_id) is JobState.COMPLETED
    assert len(starts_of(deployment, job)) == 12


def test_a_late_report_of_the_former_incarnation_changes_nothing():
    """Guards against a former incarnation's report that replaces the current."""
    deployment = after_first_job(workers=1)
    worker, agent = deployment.workers[0], deployment.agents['agent-0']
    late = {**report_fields(worker), 'state': 'draining'}
    restart_all(deployment)
    boot = agent.core.monitor.boot
    post_report(agent.reports, worker.boot, late)
    post_report(agent.reports, worker.boot, late, 'deregister')
    deployment.run(1)
    assert agent.core.monitor.boot == boot
    job = a_job(2)
    deployment.submit(job)
    deployment.run(4)
    assert deployment.state(job.job_id) is JobState.COMPLETED


def restart_twice_unseen(deployment, agent):
    """Start two incarnations between two polls; the first never reports."""
    agent.worker.crash()
    agent.worker.crash()


def restart_while_the_agent_is_frozen(deployment, agent):
    agent.thaws_at = deployment.reactor.seconds() + 3
    agent.worker.go_down(1)


def restart_while_the_agent_is_dead(deployment, agent):
    deployment.kill_agent(agent.name)
    agent.worker.go_down(1)
    deployment.reactor.callLater(
        2, deployment.start_agent, agent.name, agent.worker
    )


def restart_with_the_agent(deployment, agent):
    deployment.kill_agent(agent.name)
    agent.worker.crash()
    deployment.start_agent(agent.name, agent.worker)


def restart_with_a_takeover(deployment, agent):
    """Restart the worker before the next owner got any report of it."""
    deployment.kill_entry(deployment.owner)
    agent.worker.go_down(0.2)


def restart_in_a_loop(deployment, agent):
    for number in range(20):
        deployment.reactor.callLater(number / 5, agent.worker.crash)


@pytest.mark.parametrize(
    'restart',
    [
        restart_twice_unseen,
        restart_while_the_agent_is_frozen,
        restart_while_the_agent_is_dead,
        restart_with_the_agent,
        restart_with_a_takeover,
        restart_in_a_loop,
    ],
)
@pytest.mark.parametrize('after_s', [0.02, 0.79, 0.81])
def test_a_job_survives_a_restart(restart, after_s):
    """Guards against lost or duplicate runs at any time of a restart."""
    deployment = after_first_job()
    job = a_job(2, steps=((12, ()), (6, (0,))))
    deployment.submit(job)
    deployment.run(after_s)
    restart(deployment, deployment.agents['agent-0'])
    deployment.run(25)
    assert deployment.state(job.job_id, deployment.owner) is JobState.COMPLETED


def test_the_next_incarnation_is_polled_beside_an_unanswered_poll():
    """Guards against delayed requests that arrive before the first poll."""
    deployment = returning(workers=1)
    worker, agent = deployment.workers[0], deployment.agents['agent-0']
    worker.lose_polls = 1
    deployment.run(0.02)
    former = agent.core.monitor.boot
    worker.crash()
    agent.beat()
    deployment.run(0.03)
    assert agent.core.monitor.boot != former
