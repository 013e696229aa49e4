"""Bounds of the store's clock in terms of a process's clock."""

import pytest

from hyssopring.clock import ManualClock
from hyssopring.jobs.store_clock import StoreClock


@pytest.mark.parametrize('drift', [0.98, 1, 1.02])
@pytest.mark.parametrize('taken_after_ms', [0, 150, 300])
def test_a_wait_that_is_carried_over_never_ends_early(taken_after_ms, drift):
    """Guards against a wait that a process reads and ends too early."""
    ahead_ms = 5_000
    store = lambda at: ahead_ms + at * drift  # noqa: E731
    writer, reader = ManualClock(1_000), ManualClock(1_000)
    sent_at = writer.now()
    writer.advance(300)
    written = StoreClock(writer)
    written.update(store(sent_at + taken_after_ms), sent_at)
    over_at = writer.now() + 8_000
    told_ms = written.latest_reading(over_at)
    sent_at = reader.now() + 4_000
    reader.advance(4_300)
    read = StoreClock(reader)
    read.update(store(sent_at + taken_after_ms), sent_at)
    assert read.passed_at(told_ms) >= over_at
    assert read.passed_at(told_ms) <= over_at + 1_000


def test_an_answer_without_a_reading_changes_nothing():
    """A relayed answer contains no reading."""
    clock = ManualClock(0)
    times = StoreClock(clock)
    times.update(None, 0)
    assert not times.is_known
    times.update(70, 0)
    times.update(None, 0)
    assert times.latest_reading(0) == 70
