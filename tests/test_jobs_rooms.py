"""Workers whose capacity shrinks and grows while they run, in virtual time.

The stand-in workers assert that no start exceeds the capacity that a worker has
announced, from three seconds and one announcement after it has shrunk.
"""

from hyssopring.jobs.model import JobState, Size
from standins.jobs.deployment import Deployment, a_job, settled

LARGE = Size(4000, 64_000, 0)
SMALL = Size(1000, 64_000, 0)
LONG_MS = 60_000
# Slightly longer than the time after which the stand-in workers assert.
GRACE_S = 4.6


def with_one_worker(work_ms=LONG_MS):
    deployment = settled(Deployment(workers=1, work_ms=lambda task: work_ms))
    worker = deployment.workers[0]
    worker.resize(LARGE)
    deployment.run(GRACE_S + 1)
    return deployment, worker


def running_count(worker):
    return len(worker.runs)


def test_shrunk_worker_gets_no_more_tasks_until_it_grows_again():
    """Guards against starts into capacity that no longer exists."""
    deployment, worker = with_one_worker()
    worker.resize(SMALL)
    deployment.run(2)
    deployment.submit(a_job(steps=((3, ()),)))
    deployment.run(5)
    assert running_count(worker) == 1
    worker.resize(LARGE)
    deployment.run(3)
    assert running_count(worker) == 3


def test_shrinking_below_the_running_tasks_stops_and_starts_none():
    """Guards against starts on a worker whose tasks exceed its capacity."""
    deployment, worker = with_one_worker()
    deployment.submit(a_job(steps=((3, ()),)))
    deployment.run(1)
    worker.resize(SMALL)
    deployment.run(2)
    deployment.submit(a_job(2))
    deployment.run(8)
    assert running_count(worker) == 3


def test_expired_announcement_counts_as_no_capacity():
    """Guards against starts into capacity that was announced long ago."""
    deployment, worker = with_one_worker()
    worker.can_announce = False
    deployment.run(1)
    worker.resize(SMALL)
    deployment.run(6)
    job = a_job(steps=((3, ()),))
    deployment.submit(job)
    deployment.run(3)
    assert not running_count(worker)
    worker.can_announce = True
    deployment.run(3)
    assert running_count(worker) == 1


def test_unanswered_start_is_not_repeated_on_a_shrunk_worker():
    """Guards against repeating a start that was planned for more capacity."""
    deployment, worker = with_one_worker()
    deployment.submit(a_job(steps=((1, ()),)))
    deployment.run(1)
    worker.resize(SMALL)
    worker.kept_room = None
    worker.lose_next = 100
    worker.late_s = 1e6
    deployment.submit(a_job(2, steps=((1, ()),)))
    deployment.run(1.6)
    worker.lose_next = 0
    deployment.run(6)
    assert running_count(worker) == 1


def test_next_owner_uses_the_shrunk_capacity():
    """Guards against a next owner that uses the capacity before a takeover."""
    deployment, worker = with_one_worker()
    worker.resize(SMALL)
    deployment.run(0.2)
    deployment.kill_entry(deployment.owner)
    entry = next(
        name
        for name, candidate in deployment.entries.items()
        if candidate.is_alive
    )
    deployment.submit(a_job(steps=((3, ()),)), entry)
    deployment.run(30)
    assert running_count(worker) == 1


def test_paused_agent_uses_the_capacity_that_shrank_meanwhile():
    """Guards against a start that is read before the announcement.

    The agent's process was paused, and both arrived meanwhile.
    """
    deployment, worker = with_one_worker()
    agent = deployment.agents['agent-0']
    agent.thaws_at = deployment.reactor.seconds() + 6
    worker.resize(SMALL)
    deployment.submit(a_job(steps=((3, ()),)))
    deployment.run(20)
    assert running_count(worker) == 1


def test_tasks_complete_on_a_worker_that_keeps_changing_size():
    """Guards against refused starts that are never repeated."""
    deployment, worker = with_one_worker(work_ms=800)
    job = a_job(steps=((20, ()),))
    deployment.submit(job)
    for _cycle in range(10):
        worker.resize(SMALL)
        deployment.run(3)
        worker.resize(LARGE)
        deployment.run(3)
    assert deployment.state(job.job_id) is JobState.COMPLETED
