"""Answers requests by a deadline while their work continues."""

from typing import Any

from twisted.internet.defer import Deferred

__all__ = ('answer_by',)


def answer_by(
    reactor: Any,
    work: Deferred,
    timeout_s: float,
    late_answer: Any,
) -> Deferred:
    """Return a deferred of the outcome, or of a default at the deadline.

    The work is not cancelled at the deadline: a write in flight cannot be
    undone, and others that wait for it must get its outcome.

    Args:
        work: The work's outcome; an error before the deadline is passed on.
        timeout_s: Time until the deadline.
        late_answer: The result if the deadline passes first.
    """
    answer: Deferred = Deferred()
    timer = reactor.callLater(
        max(0, timeout_s),
        lambda: answer.callback(late_answer),
    )

    def finish(outcome: Any) -> Any:  # noqa: WPS430 -- knows the timer
        if not timer.active():
            # Twisted logs an error that comes after the deadline.
            return outcome
        timer.cancel()
        answer.callback(outcome)
        return None

    work.addBoth(finish)
    return answer
