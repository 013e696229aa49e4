"""Which runs are recorded, and what urgency makes of their times."""

from dataclasses import replace

import pytest

from hyssopring.jobs.documents import JobRow
from hyssopring.jobs.fleet import PlacedAttempt, Worker
from hyssopring.jobs.job_record import JobRecord
from hyssopring.jobs.messages import AttemptReport
from hyssopring.jobs.model import Job, Queue, Size, Step, TaskName
from hyssopring.jobs.urgency import urgency
from hyssopring.learning.job_times import LearnedJobTimes
from hyssopring.learning.run_recorder import RunRecorder
from hyssopring.learning.run_times import RunTimes, run_time_key

STEP = Step(2, Size(1000, 100), 500, image='cut')
JOB = Job('0' * 16, Queue('small', 'service'), '', (STEP,))


class ManualClock:
    """A clock that the test sets."""

    def __init__(self):
        self.now_ms = 0

    def now(self):
        return self.now_ms


def recorded_ms(pace=100, step=STEP, **changes):
    """Return what is expected after 50 attempts of 2 s each."""
    clock, run_times = ManualClock(), RunTimes()
    placed = PlacedAttempt(
        TaskName(JOB.job_id, 0, 0, 0),
        1,
        step,
        boot='',
        start_index=1,
        placed_at=0,
    )
    placed.update(AttemptReport('t', 1, '', 0, 0, pace, True), 0, 0)
    for field, value in changes.items():
        setattr(placed, field, value)
    clock.now_ms = 2000
    for _each in range(50):
        RunRecorder(clock, run_times).record(
            replace(JOB, steps=(step,)), Worker('agent', 'zone'), placed
        )
    return run_times.expected_ms('image:cut', 500)


def test_a_whole_run_at_full_pace_is_recorded():
    assert recorded_ms() > 1800
    assert recorded_ms(pace=95) > 1800


@pytest.mark.parametrize(
    'changes',
    [
        {'pace': 60},
        {'pace': -1},
        {'checkpoint': 'half'},
        {'start_index': 0},
        {'boot': 'former'},
        {'step': replace(STEP, rack='far')},
    ],
)
def test_a_run_that_was_slowed_or_seen_in_part_is_not_recorded(changes):
    """Time at a reduced pace, or without its start, is no run time."""
    assert recorded_ms(**changes) == 500


def test_tasks_without_an_image_are_known_by_queue_and_step():
    plain = replace(JOB, steps=(replace(STEP, image=''), STEP))
    assert run_time_key(plain, 0) == 'queue:small:0'
    assert run_time_key(plain, 1) == 'image:cut'


def record_of(job_id, image):
    steps = (Step(1, Size(1000, 100), 500, image=image),)
    job = Job(job_id, Queue('q', 'service', 0, 1, 1.5, 300), '', steps)
    return JobRecord.from_row(JobRow(job, 0), 1, is_inherited=False)


def test_urgency_uses_learned_run_times():
    """Guards against a job that counts as late from its start.

    Its estimate is a tenth of what its tasks really take.
    """
    clock, run_times = ManualClock(), RunTimes()
    for _end in range(200):
        run_times.record('image:long', 500, 5000)
    times = LearnedJobTimes(clock, run_times)
    long, short = record_of('1', 'long'), record_of('2', 'short')
    ranks = [
        urgency(record, next(record.open_runs()), 2000, times)
        for record in (long, short)
    ]
    assert [rank.lateness for rank in ranks] == [0, 1]
    assert ranks[0].order == pytest.approx(5_000_000, rel=0.05)
    assert ranks[1].order == 500_000
    estimated = urgency(long, next(long.open_runs()), 2000)
    assert (estimated.lateness, estimated.order) == (1, 500_000)


def test_times_of_a_job_are_computed_once_a_second():
    """Guards against a computation for each live job in each round."""
    clock, run_times = ManualClock(), RunTimes()
    times = LearnedJobTimes(clock, run_times)
    before = times.times_of(JOB)
    for _end in range(200):
        run_times.record('image:cut', 500, 5000)
    assert times.times_of(JOB) is before
    clock.now_ms = 1000
    assert times.times_of(JOB).critical_path_ms > 4500
