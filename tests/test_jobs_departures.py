"""Agents that leave for good while the shard changes hands."""

import pytest

from standins.jobs.rolling_release import (
    EntryStops,
    RollingRelease,
    draw_release,
)

WATCHED_S = 25


@pytest.mark.parametrize(
    'stops',
    [
        EntryStops(1, 0.5, 3),
        EntryStops(2, 0.5, 3),
        EntryStops(3, 0.5, 3),
        EntryStops(2, 1, 2.5),
        EntryStops(3, 1.5, 3.5),
        EntryStops(4, 0.2, 3.5, is_killed=True),
    ],
    ids=str,
)
def test_a_release_beside_stops_of_all_entries_delays_no_keeper(stops):
    """Guards against waits for agents that left while no owner listened."""
    release = RollingRelease(stops)
    release.rule.run(WATCHED_S)
    assert not release.rule.lost, release.rule.longest_s


@pytest.mark.parametrize('seed', [21, 66])
def test_random_releases_delay_no_keeper(seed):
    """Guards against waits for agents that left in good order."""
    release = draw_release(seed)
    release.rule.run(WATCHED_S)
    assert not release.rule.lost, release.rule.longest_s
