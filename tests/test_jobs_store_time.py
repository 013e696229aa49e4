"""Bounds of the store's clock in terms of a process's clock."""

import pytest

from hyssopring.clock import ManualClock
from hyssopring.jobs.store_clock import StoreClock


@pytest.mark.parametrize('drift', [0.98, 1, 1.02])
@pytest.mark.parametrize('reading_delay_ms', [0, 150, 300])
def test_a_wait_that_is_carried_over_never_ends_early(reading_delay_ms, drift):
    """Guards against a wait that a process reads and ends too early."""
    ahead_ms = 5_000
    store_clock_ms = lambda at: ahead_ms + at * drift  # noqa: E731
    writer, reader = ManualClock(1_000), ManualClock(1_000)
    sent_at = writer.now()
    writer.advance(300)
    writer_bounds = StoreClock(writer)
    writer_bounds.update(store_clock_ms(sent_at + reading_delay_ms), sent_at)
    expires_at = writer.now() + 8_000
    store_expiry_ms = writer_bounds.latest_reading(expires_at)
    sent_at = reader.now() + 4_000
    reader.advance(4_300)
    reader_bounds = StoreClock(reader)
    reader_bounds.update(store_clock_ms(sent_at + reading_delay_ms), sent_at)
    assert reader_bounds.passed_at(store_expiry_ms) >= expires_at
    assert reader_bounds.passed_at(store_expiry_ms) <= expires_at + 1_000


def test_an_answer_without_a_reading_changes_nothing():
    """A relayed answer contains no reading."""
    clock = ManualClock(0)
    bounds = StoreClock(clock)
    bounds.update(None, 0)
    assert not bounds.is_known
    bounds.update(70, 0)
    bounds.update(None, 0)
    assert bounds.latest_reading(0) == 70
