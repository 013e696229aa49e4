"""Answers that leave in time, whatever the work behind them does."""

from typing import Any

from twisted.internet.defer import Deferred

__all__ = ('answer_by',)


def answer_by(
    reactor: Any,
    working: Deferred,
    seconds: float,
    late_answer: Any,
) -> Deferred:
    """Return what comes first: the work's outcome, or an answer at its time.

    The work goes on after a late answer: a write that is under way cannot be
    taken back, and whoever waits for it has to be told of it all the same.

    Args:
        working: What is waited for; errors are passed on if in time.
        seconds: When the late answer is given.
        late_answer: What is given then.
    """
    answer: Deferred = Deferred()
    timer = reactor.callLater(
        max(0, seconds),
        lambda: answer.callback(late_answer),
    )

    def ended(outcome: Any) -> Any:  # noqa: WPS430 -- knows the timer
        if not timer.active():
            # An error that nobody waits for any more is Twisted's to log.
            return outcome
        timer.cancel()
        answer.callback(outcome)
        return None

    working.addBoth(ended)
    return answer
