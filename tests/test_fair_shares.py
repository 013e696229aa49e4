"""Shares of groups of jobs: the division, the classes and the state."""

import random
from dataclasses import replace

import pytest

from hyssopring.clock import ManualClock
from hyssopring.fairness import (
    Claim,
    FairShares,
    Group,
    GroupUse,
    RecentWork,
    SizeClass,
    bands,
    water_fill,
)
from hyssopring.jobs.documents import JobRow
from hyssopring.jobs.job_record import JobRecord
from hyssopring.jobs.model import Job, JobState, Queue, TaskName
from hyssopring.jobs.scheduling_options import FairnessOptions
from hyssopring.jobs.urgency import OVERDUE
from standins.jobs.colocated import QUICK

REST = SizeClass.REST
IN_TIME = 0


def test_what_one_group_does_not_want_goes_to_the_others():
    claims = {
        'little': Claim(0, 10),
        'much': Claim(0, 500),
        'more': Claim(0, 900),
    }
    assert water_fill(100, claims) == {'little': 10, 'much': 45, 'more': 45}


def test_shares_follow_weights():
    claims = {'one': Claim(0, 500, 1), 'three': Claim(0, 500, 3)}
    assert water_fill(100, claims) == {'one': 25, 'three': 75}


@pytest.mark.parametrize('seed', range(50))
def test_shares_are_max_min(seed):
    """Guards against capacity that is lost or given out twice.

    A group without all that it wants has at least as much, by its weight, as
    each other one.
    """
    draw = random.Random(seed)
    claims = {
        number: Claim(0, draw.uniform(0, 100), draw.choice((1, 2, 5)))
        for number in range(draw.randrange(1, 8))
    }
    capacity = draw.uniform(0, 400)
    shares = water_fill(capacity, claims)
    wanted = sum(claim.wanted for claim in claims.values())
    assert sum(shares.values()) == pytest.approx(min(capacity, wanted))
    levels = {key: share / claims[key].weight for key, share in shares.items()}
    for key, share in shares.items():
        assert share <= claims[key].wanted
        if share < claims[key].wanted - 1e-9:
            assert levels[key] >= max(levels.values()) - 1e-9


def group(zone='east', queue='wide', size_class=REST):
    return Group(queue, zone, size_class)


def test_group_below_its_share_comes_before_one_above():
    uses = {group('east'): GroupUse(80, 500), group('west'): GroupUse(20, 500)}
    found = bands(uses, {})
    assert found[group('west')] < found[group('east')]


def test_zone_that_wants_little_is_not_kept_from_it():
    uses = {group('east'): GroupUse(80, 0), group('west'): GroupUse(10, 2)}
    found = bands(uses, {})
    assert found[group('west')] < found[group('east')]


def test_nearly_equal_groups_are_not_told_apart():
    """Guards against an order that changes with each task that starts."""
    uses = {group('east'): GroupUse(52, 500), group('west'): GroupUse(48, 500)}
    found = bands(uses, {})
    assert found[group('west')] == found[group('east')]


def test_size_class_does_not_bring_its_zone_forward():
    """Guards against a zone that exceeds its share by a class without use."""
    uses = {
        group('east'): GroupUse(80, 100),
        group('east', size_class=SizeClass.LARGEST): GroupUse(0, 100),
        group('west'): GroupUse(20, 100),
    }
    found = bands(uses, {})
    assert found[group('west')] < min(
        found[key] for key in uses if key.zone == 'east'
    )


def test_weight_of_a_queue_counts():
    uses = {
        group(queue='one'): GroupUse(50, 500),
        group(queue='two'): GroupUse(50, 500),
    }
    found = bands(uses, {'two': 4})
    assert found[group(queue='two')] < found[group(queue='one')]


def test_size_classes_are_the_largest_tenth_and_the_fifth_below():
    recent = RecentWork()
    draw = random.Random(3)
    found = [
        (work, recent.classify(work))
        for work in (draw.random() for _job in range(2000))
    ]
    settled = found[200:]
    for size_class, least, most in (
        (SizeClass.LARGEST, 0.08, 0.12),
        (SizeClass.LARGE, 0.17, 0.23),
    ):
        share = sum(each is size_class for _work, each in settled) / 1800
        assert least < share < most
    assert all(
        work > 0.8 for work, each in settled if each is SizeClass.LARGEST
    )


def test_size_classes_follow_the_recent_jobs():
    """Guards against classes that a former load has fixed."""
    recent = RecentWork()
    for number in range(300):
        recent.classify(1000 + number)
    for number in range(200):
        recent.classify(number / 1000)
    assert recent.classify(5) is SizeClass.LARGEST


def test_equal_jobs_are_of_one_class():
    recent = RecentWork()
    assert {recent.classify(7) for _job in range(50)} == {REST}


def record_of(number, zone='east', count=10, running=0, queue='wide'):
    steps = (replace(QUICK, count=count),)
    job = Job(f'{number:016x}', Queue(queue, 'service', 2), 'x', steps)
    record = JobRecord.from_row(JobRow(job, 0, zone), 1, is_inherited=False)
    for index in range(running):
        record.step_runs['0.0'].mark_running(index)
    return record


def test_record_keeps_the_zone_of_its_row():
    """Guards against a new owner that knows no zones."""
    stored = JobRow(record_of(1).job, 5, 'west').to_text()
    row = JobRow.from_text(stored)
    assert JobRecord.from_row(row, 2, is_inherited=True).zone == 'west'


class Shares:
    """The state with a clock, and rounds of half a second."""

    def __init__(self, **weights):
        self.clock = ManualClock()
        self.shares = FairShares(self.clock, FairnessOptions(weights))

    def rounds(self, count, *records):
        for _round in range(count):
            self.clock.advance(500)
            self.shares.is_scarce = True
            self.shares.observe(records)

    def band(self, record, lateness=IN_TIME):
        return self.shares.band_of(record, lateness)


def test_no_band_without_scarcity():
    state = Shares()
    east, west = record_of(1, 'east', 20, running=10), record_of(2, 'west')
    state.rounds(8, east, west)
    assert state.band(west) < state.band(east)
    state.shares.is_scarce = False
    state.shares.observe([east, west])
    assert state.band(west) == state.band(east) == 0


def test_start_of_a_wide_step_does_not_change_the_order():
    """Guards against an order that each started step turns round."""
    state = Shares()
    east = record_of(1, 'east', 40, running=10)
    west = record_of(2, 'west', 40)
    state.rounds(8, east, west)
    before = state.band(west)
    for index in range(20):
        west.step_runs['0.0'].mark_running(index)
    state.rounds(1, east, west)
    assert state.band(west) == before < state.band(east)
    state.rounds(12, east, west)
    assert state.band(west) > state.band(east)


@pytest.mark.parametrize(
    'final_state', [JobState.CANCELLED, JobState.FAILED, JobState.COMPLETED]
)
def test_cancelled_and_failed_jobs_give_back_at_once(final_state):
    """Guards against a zone that is held back for what it has cancelled.

    Completed jobs count for some seconds: a zone with many short jobs would
    otherwise seem to use less than one with a long job.
    """
    state = Shares()
    cancelled = [
        record_of(number, 'east', 10, running=10) for number in range(12)
    ]
    west = record_of(20, 'west', 60, running=30)
    later = record_of(21, 'east')
    state.rounds(20, *cancelled, west, later)
    assert state.band(later) > state.band(west)
    for record in cancelled:
        record.final_state = final_state
    state.rounds(1, west, later)
    is_first = state.band(later) < state.band(west)
    assert is_first == (final_state is not JobState.COMPLETED)


def test_use_of_completed_jobs_fades():
    state = Shares()
    ended = record_of(1, 'east', 10, running=10)
    west, later = record_of(2, 'west', 20, running=4), record_of(3, 'east')
    state.rounds(20, ended, west, later)
    for index in range(10):
        ended.record_done(TaskName(ended.job.job_id, 0, 0, index))
    assert ended.final_state is JobState.COMPLETED
    state.rounds(100, west, later)
    assert state.band(later) < state.band(west)
    assert not state.shares._ended_by_group


def test_size_classes_count_among_overdue_steps_only():
    """Guards against shares of large jobs that make more small ones late."""
    state = Shares()
    small = [record_of(number, count=4, running=2) for number in range(20)]
    state.rounds(1, *small)
    large = record_of(99, count=400)
    state.rounds(8, *small, large)
    assert state.band(large) == state.band(small[0])
    assert state.band(large, OVERDUE) < state.band(small[0], OVERDUE)


def test_lost_shard_leaves_nothing():
    """Guards against limits of a former reign, and a gauge that stays up."""
    state = Shares()
    east, west = record_of(1, 'east', 20, running=10), record_of(2, 'west')
    state.rounds(8, east, west)
    assert state.shares.limited_groups == ('wide/east',)
    state.shares.forget()
    assert state.shares.limited_groups == ()
    assert not state.shares.is_scarce
