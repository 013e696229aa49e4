"""Fencing numbers, by which a worker rejects outdated requests."""

from hyssopring.jobs.fences import FenceCounter

WALL_MS = 1_764_756_371_000


def test_numbers_rise_also_where_the_time_of_day_is_set_back():
    wall = [WALL_MS]
    fences = FenceCounter(lambda: wall[0])
    fences.advance()
    assert fences.current == WALL_MS
    wall[0] -= 5000
    fences.advance()
    assert fences.current == WALL_MS + 1


def test_a_refused_number_is_raised_until_it_is_accepted():
    """Guards against an agent that never reaches a worker's higher fence."""
    fences = FenceCounter(lambda: WALL_MS)
    fences.advance()
    highest_seen, refusals = WALL_MS + 10**9, 0
    while fences.current < highest_seen:
        fences.raise_above(fences.current)
        refusals += 1
    assert refusals < 35


def test_a_refusal_of_an_older_number_changes_nothing():
    """Guards against a fence that each of many rejected requests raises."""
    fences = FenceCounter(lambda: WALL_MS)
    fences.advance()
    first = fences.current
    fences.raise_above(first)
    once = fences.current
    fences.raise_above(first)
    assert fences.current == once
