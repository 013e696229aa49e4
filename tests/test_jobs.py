"""Jobs through entries, agents and workers in virtual time, under failures.

In all tests the simulated workers' record asserts that no task runs twice at
once, that none starts after its end was recorded, and that no worker exceeds
its capacity.
"""

from dataclasses import replace

from hyssopring.jobs.model import JobState, Schedule, Size, Step
from standins.jobs.deployment import WALL_MS, a_job, settled, starts_of


def test_a_job_of_two_steps_is_completed_in_order():
    deployment = settled()
    job = a_job(steps=((3, ()), (2, (0,))))
    outcomes = deployment.submit(job)
    deployment.run(4)
    assert outcomes[0].is_ok()
    assert deployment.state(job.job_id) is JobState.COMPLETED
    first_ends = [
        end[0] for end in deployment.run_recorder.ends if '.0.0.' in end[1]
    ]
    second_starts = [
        row[0] for row in starts_of(deployment, job) if '.0.1.' in row[2]
    ]
    assert len(first_ends) == 3 and len(second_starts) == 2
    assert max(first_ends) <= min(second_starts)


def test_first_start_follows_the_acceptance_within_a_tenth_of_a_second():
    deployment = settled()
    submitted_at = deployment.reactor.seconds()
    job = a_job()
    deployment.submit(job, 'entry-2')
    deployment.run(1)
    assert (
        min(row[0] for row in starts_of(deployment, job)) - submitted_at < 0.1
    )


def test_a_job_submitted_again_to_another_entry_remains_one_job():
    """A caller gets no response and submits the same job to another entry.

    Both entries write the same row on the condition that it does not exist.
    The second write conflicts, and its entry reports the job as accepted.
    """
    deployment = settled()
    job = a_job()
    first = deployment.submit(job, 'entry-0')
    second = deployment.submit(job, 'entry-1')
    deployment.run(4)
    assert first[0].is_ok() and second[0].is_ok()
    assert len(starts_of(deployment, job)) == 4


def test_a_response_of_the_store_lost_after_the_write_means_accepted():
    """The store writes the job and its response is lost.

    The retried write conflicts with the entry's own row. The caller must get
    an acceptance, as the job runs.
    """
    deployment = settled()
    deployment.rows.lose_next = 1
    job = a_job()
    outcomes = deployment.submit(job)
    deployment.run(6)
    assert outcomes[0].is_ok()
    assert deployment.state(job.job_id) is JobState.COMPLETED


def test_a_job_is_refused_as_never_run_only_while_it_cannot_be_stored():
    """The store refuses the write: the job is refused and never runs."""
    deployment = settled()
    deployment.rows.is_down = True
    job = a_job()
    outcomes = deployment.submit(job)
    deployment.run(1)
    assert outcomes[0].unwrap_err().answer.status == 503
    deployment.rows.is_down = False
    deployment.run(5)
    assert not starts_of(deployment, job)


def test_a_write_that_may_come_later_is_no_refusal():
    """The store receives a write and stops responding.

    The write may be applied seconds later, so the caller must get "outcome
    unknown" and not "never runs".
    """
    deployment = settled()
    deployment.rows.lose_next = 1
    deployment.rows.late_s = 4
    job = a_job()
    outcomes = deployment.submit(job)
    deployment.run(0.1)
    deployment.rows.is_down = True
    deployment.run(3)
    assert outcomes[0].unwrap_err().answer.status == 504
    deployment.rows.is_down = False
    deployment.run(6)
    assert deployment.state(job.job_id) is JobState.COMPLETED


def test_a_task_that_fails_too_often_fails_its_job():
    deployment = settled()
    for worker in deployment.workers:
        worker.fails = lambda task: task.endswith('.1')
    job = a_job(attempts=2)
    deployment.submit(job)
    deployment.run(6)
    assert deployment.state(job.job_id) is JobState.FAILED
    assert (
        len(
            [row for row in starts_of(deployment, job) if row[2].endswith('.1')]
        )
        == 2
    )


def test_a_cancelled_job_stops_everywhere_and_stays_cancelled():
    deployment = settled(work_ms=lambda task: 20_000)
    job = a_job()
    deployment.submit(job)
    deployment.run(1)
    answers = []
    entry = deployment.entries['entry-1']
    entry.core.job_api.cancel(job.job_id, 1e12).addCallback(answers.append)
    deployment.run(2)
    assert answers[0].unwrap() is True
    assert not any(worker.runs for worker in deployment.workers)
    assert deployment.state(job.job_id) is JobState.CANCELLED


def test_cancelling_a_job_that_was_never_submitted_returns_unknown():
    deployment = settled()
    answers = []
    job_api = deployment.entries['entry-1'].core.job_api
    job_api.cancel('00000000000000aa', 1e12).addCallback(answers.append)
    deployment.run(1)
    assert answers[0].unwrap() is False


def test_a_keeper_is_started_again_however_it_ends():
    deployment = settled(work_ms=lambda task: 2000)
    job = a_job(steps=((2, ()),), is_keeper=True)
    deployment.submit(job)
    deployment.run(9)
    assert len(starts_of(deployment, job)) >= 6
    assert sum(len(worker.runs) for worker in deployment.workers) == 2
    assert deployment.state(job.job_id) is JobState.ACTIVE


def test_a_job_is_found_without_its_notice_and_the_store_s_history():
    """A job's notice and the store's change history are lost.

    The owner must find the job by reading all rows again.
    """
    deployment = settled()
    owner = deployment.owner
    other = next(name for name in deployment.entries if name != owner)
    deployment.entries[other].core.job_api._peers = DeafPeers()
    job = a_job()
    deployment.submit(job, other)
    deployment.run(0.1)
    deployment.rows.forget_history()
    deployment.run(6)
    assert deployment.state(job.job_id, owner) is JobState.COMPLETED


class DeafPeers:
    """Connections to other entries that lose each message."""

    def send_to_entry(self, entry_id, message):
        return False

    def send_response(self, peer_id, message):
        return False


def test_occurrences_begin_at_their_times_and_not_before():
    """A job runs three times, a second apart; the runs overlap."""
    deployment = settled(work_ms=lambda task: 1500)
    first_ms = int(deployment.wall_ms()) + 2000
    job = replace(a_job(steps=((2, ()),)), schedule=Schedule(first_ms, 1000, 3))
    deployment.submit(job)
    deployment.run(8)
    for started_at, _worker, task, _number in starts_of(deployment, job):
        due_ms = first_ms + 1000 * int(task.split('.')[1])
        late_ms = WALL_MS + started_at * 1000 - due_ms
        assert 0 <= late_ms < 400
    assert len(starts_of(deployment, job)) == 6
    assert deployment.state(job.job_id) is JobState.COMPLETED


def test_a_gang_starts_as_a_whole_or_not_at_all():
    """Two gangs of three large tasks each, and capacity for four tasks.

    A gang that is started in part could make no progress.
    """
    deployment = settled(workers=4)
    gangs = [
        replace(
            a_job(number),
            steps=(Step(3, Size(9000, 1000, 0), 1000, is_gang=True),),
        )
        for number in (1, 2)
    ]
    for gang in gangs:
        deployment.submit(gang)
    deployment.run(0.5)
    assert sorted(len(starts_of(deployment, gang)) for gang in gangs) == [0, 3]
    deployment.run(4)
    assert [len(starts_of(deployment, gang)) for gang in gangs] == [3, 3]


def test_a_gang_that_loses_a_member_is_stopped_and_starts_again_as_one():
    deployment = settled(workers=4, work_ms=lambda task: 6000)
    gang = replace(
        a_job(), steps=(Step(3, Size(9000, 1000, 0), 6000, is_gang=True),)
    )
    deployment.submit(gang)
    deployment.run(1)
    lost = starts_of(deployment, gang)[0][1]
    next(worker for worker in deployment.workers if worker.name == lost).crash()
    deployment.run(5)
    numbers = [row[3] for row in starts_of(deployment, gang)]
    assert numbers == [1, 1, 1, 2, 2, 2]
