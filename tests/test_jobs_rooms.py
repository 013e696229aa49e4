"""Workers whose room shrinks and grows while they run, in virtual time.

The workers' book asserts that no start takes a worker over the room that it has
announced, from three seconds and a beat after it has shrunk.
"""

from hyssopring.jobs.model import JobState, Size
from standins.jobs.deployment import Deployment, a_job, settled

LARGE = Size(4000, 64_000, 0)
SMALL = Size(1000, 64_000, 0)
LONG_MS = 60_000
GRACE_S = 4.6


def one_worker(work_ms=LONG_MS):
    deployment = settled(Deployment(workers=1, work_ms=lambda task: work_ms))
    worker = deployment.workers[0]
    worker.resize(LARGE)
    deployment.run(GRACE_S + 1)
    return deployment, worker


def running(worker):
    return len(worker.runs)


def test_what_has_shrunk_takes_no_more_until_it_grows_again():
    """Guards against a start into a room that is gone."""
    deployment, worker = one_worker()
    worker.resize(SMALL)
    deployment.run(2)
    deployment.submit(a_job(steps=((3, ()),)))
    deployment.run(5)
    assert running(worker) == 1
    worker.resize(LARGE)
    deployment.run(3)
    assert running(worker) == 3


def test_a_shrink_below_what_runs_stops_nothing_and_starts_nothing():
    """Guards against starts where what runs has no room any more."""
    deployment, worker = one_worker()
    deployment.submit(a_job(steps=((3, ()),)))
    deployment.run(1)
    worker.resize(SMALL)
    deployment.run(2)
    deployment.submit(a_job(2))
    deployment.run(8)
    assert running(worker) == 3


def test_an_old_announcement_says_nothing_of_a_room():
    """Guards against a start on a room that was announced long ago."""
    deployment, worker = one_worker()
    worker.has_beats = False
    deployment.run(1)
    worker.resize(SMALL)
    deployment.run(6)
    job = a_job(steps=((3, ()),))
    deployment.submit(job)
    deployment.run(3)
    assert not running(worker)
    worker.has_beats = True
    deployment.run(3)
    assert running(worker) == 1


def test_a_start_without_an_answer_is_not_repeated_into_a_shrunk_room():
    """Guards against a repeated start that was decided on an older room."""
    deployment, worker = one_worker()
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
    assert running(worker) == 1


def test_a_shrink_before_a_takeover_holds_for_the_next_owner():
    """Guards against a next owner that starts on what the former one knew."""
    deployment, worker = one_worker()
    worker.resize(SMALL)
    deployment.run(0.2)
    deployment.kill_entry(deployment.owner)
    entry = next(
        name for name, each in deployment.entries.items() if each.is_alive
    )
    deployment.submit(a_job(steps=((3, ()),)), entry)
    deployment.run(30)
    assert running(worker) == 1


def test_an_agent_that_was_frozen_keeps_to_a_room_that_shrank_meanwhile():
    """Guards against an order that a frozen agent reads before the beat."""
    deployment, worker = one_worker()
    agent = deployment.agents['agent-0']
    agent.thaws_at = deployment.reactor.seconds() + 6
    worker.resize(SMALL)
    deployment.submit(a_job(steps=((3, ()),)))
    deployment.run(20)
    assert running(worker) == 1


def test_tasks_complete_on_a_worker_that_shrinks_and_grows_all_the_time():
    """Guards against refused starts that are never sent again."""
    deployment, worker = one_worker(work_ms=800)
    job = a_job(steps=((20, ()),))
    deployment.submit(job)
    for _each in range(10):
        worker.resize(SMALL)
        deployment.run(3)
        worker.resize(LARGE)
        deployment.run(3)
    assert deployment.state(job.job_id) is JobState.COMPLETED
