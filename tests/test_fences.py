"""Fencing numbers of an agent's requests."""

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


def test_fence_that_was_raised_since_is_not_raised_again():
    """Guards against fences that run away by late rejections."""
    fences = FenceCounter(ManualClock(), lambda: WALL_MS)
    fences.advance()
    rejected = fences.current
    fences.advance()
    current = fences.current
    fences.raise_above(rejected)
    assert fences.current == current
