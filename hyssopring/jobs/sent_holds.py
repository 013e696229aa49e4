"""Tracks requests whose hold may apply to the worker's next incarnation."""

from dataclasses import dataclass
from typing import Final

from hyssopring.clock import MILLIS_PER_SECOND, Clock
from hyssopring.jobs.times import CLOCK_DRIFT, MAX_HOLD_MS
from hyssopring.jobs.worker_port import Listing

__all__ = ('SentHold', 'SentHolds')

# A request without an answer may be carried out seconds later.
_MAX_DELAY_MS: Final = 60 * MILLIS_PER_SECOND


@dataclass(slots=True, eq=False)
class SentHold:
    """A request that extends the hold.

    Attributes:
        until_ms: The end of the hold on the clock of the incarnation that the
            request was sent to.
        task: The task that the request starts, empty for a poll.
        sent_at: When it was sent, on this process's clock.
        answered_at: When it was answered, None before that.
        has_started: Whether the answer confirmed that the task is running.
    """

    until_ms: int
    task: str
    attempt: int
    sent_at: float
    answered_at: float | None = None
    has_started: bool = False


class SentHolds:
    """The requests that the next incarnation of a worker may carry out.

    Incarnations with the same ID accept each other's requests, but each has a
    clock of its own. A hold that ends soon on the clock of one may last until
    the limit on the clock of the next.
    """

    def __init__(self, clock: Clock) -> None:
        """Begin without any request."""
        self._clock = clock
        self._holds: list[SentHold] = []

    def add(
        self, until_ms: int | None, task: str = '', attempt: int = 0
    ) -> SentHold:
        """Record a request that is being sent.

        Args:
            until_ms: The end of its hold, None if it extends no hold.
        """
        now_ms = self._clock.now()
        self._holds = [
            hold
            for hold in self._holds
            if now_ms - hold.sent_at <= _MAX_DELAY_MS
        ]
        hold = SentHold(until_ms or 0, task, attempt, now_ms)
        if until_ms is not None:
            self._holds.append(hold)
        return hold

    def remove(self, hold: SentHold) -> None:
        """Drop a request that the current incarnation has carried out.

        Also one that the worker has ignored.
        """
        if hold in self._holds:
            self._holds.remove(hold)

    def record_answer(self, hold: SentHold, has_started: bool) -> None:
        """Record an answer that any incarnation may have given."""
        hold.answered_at = self._clock.now()
        hold.has_started = has_started

    def confirm(self, polled_at: float) -> None:
        """Drop what was answered before a poll of the current incarnation.

        Args:
            polled_at: When that poll was sent.
        """
        self._holds = [
            hold
            for hold in self._holds
            if hold.answered_at is None or hold.answered_at > polled_at
        ]

    def longest_ms(self, listing: Listing) -> float:
        """Return for how long they may hold a new incarnation.

        Args:
            listing: The first one of the new incarnation, whose poll
                invalidates the requests that have not been carried out yet.
        """
        lasting_ms = (
            min(hold.until_ms - listing.clock_ms, MAX_HOLD_MS)
            for hold in self._holds
            if _may_have_reached(hold, listing)
        )
        longest_ms = max(lasting_ms, default=0)
        return max(0, longest_ms) * (1 + CLOCK_DRIFT)


def _may_have_reached(hold: SentHold, listing: Listing) -> bool:
    """Whether a new incarnation may have carried out a request.

    If it has confirmed a start, it lists the attempt.
    """
    return not hold.has_started or listing.may_include(hold.task, hold.attempt)
