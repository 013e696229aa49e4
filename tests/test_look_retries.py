"""Exponential backoff of the polls of a worker."""

from hyssopring.jobs.poll_backoff import ANSWER_MS, PollBackoff


def test_times_double_up_to_their_limits():
    retries = PollBackoff()
    first = retries.answer_ms
    for _each in range(20):
        retries.failed()
    assert first < retries.answer_ms == ANSWER_MS
    assert retries.pause_ms < ANSWER_MS
    retries.answered()
    assert retries.answer_ms == first
