"""Fencing numbers, by which a worker rejects outdated requests."""

from hyssopring.clock import ManualClock
from hyssopring.jobs.fences import FenceCounter

# In 2026, by the time of day, as fences of the release before were.
WALL_MS = 1_800_000_000_000


def test_fences_of_the_next_agent_are_higher_if_the_time_of_day_steps_back():
    """Guards against a start of a former agent that its next one allows."""
    clock = ManualClock(5000)
    former = FenceCounter(clock, lambda: WALL_MS)
    former.advance()
    clock.advance(1)
    following = FenceCounter(clock, lambda: WALL_MS - 60_000)
    following.advance()
    assert following.current > former.current


def test_fences_are_above_those_of_the_release_before():
    """Guards against orders that are rejected after an upgrade."""
    fences = FenceCounter(ManualClock(), lambda: WALL_MS)
    fences.advance()
    assert fences.current > WALL_MS


def test_rejected_fence_is_raised_beyond_any_since_a_boot():
    """Guards against an agent that is locked out after a boot of its VM."""
    clock = ManualClock(10 * 365 * 24 * 3_600_000)
    former = FenceCounter(clock, lambda: WALL_MS)
    former.advance()
    fences = FenceCounter(ManualClock(), lambda: WALL_MS)
    fences.advance()
    assert fences.current < former.current
    fences.raise_above(fences.current)
    assert fences.current > former.current


def test_numbers_rise_also_where_the_time_of_day_is_set_back():
    """Guards against an agent that is locked out by a step of the clock."""
    wall = [WALL_MS]
    clock = ManualClock(7000)
    fences = FenceCounter(clock, lambda: wall[0])
    fences.advance()
    first = fences.current
    wall[0] -= 5000
    fences.advance()
    assert fences.current == first + 1
    clock.advance(500)
    fences.advance()
    assert fences.current == first + 500


def test_a_refused_number_is_raised_until_it_is_accepted():
    """Guards against an agent that never reaches a worker's higher fence."""
    fences = FenceCounter(ManualClock(), lambda: WALL_MS)
    fences.advance()
    fences.raise_above(fences.current)
    highest_seen, refusals = fences.current + 10**9, 1
    while fences.current < highest_seen:
        fences.raise_above(fences.current)
        refusals += 1
    assert refusals < 35


def test_a_refusal_of_an_older_number_changes_nothing():
    """Guards against a fence that each of many rejected requests raises."""
    fences = FenceCounter(ManualClock(), lambda: WALL_MS)
    fences.advance()
    first = fences.current
    fences.raise_above(first)
    once = fences.current
    fences.raise_above(first)
    assert fences.current == once
