"""Exponential backoff of the polls of a worker."""

from hyssopring.jobs.poll_backoff import MAX_TIMEOUT_MS, PollBackoff


def test_times_double_up_to_their_limits():
    backoff = PollBackoff()
    first = backoff.timeout_ms
    for _each in range(20):
        backoff.record_failure()
    assert first < backoff.timeout_ms == MAX_TIMEOUT_MS
    assert backoff.pause_ms < MAX_TIMEOUT_MS
    backoff.reset()
    assert backoff.timeout_ms == first
