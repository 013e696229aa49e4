"""Deduplicates the ends of attempts that agents report to an owner."""

from dataclasses import dataclass
from typing import Final, Iterable

from hyssopring.clock import Clock
from hyssopring.jobs.owned_shard import Ack

__all__ = ('SeenEnds',)

# Bounds memory; the oldest durable ends are forgotten first. The others are
# bounded by how many ends workers list before these are acknowledged.
_MAX_DURABLE_ENDS: Final = 2000
# An agent that was notified omits a durable end from its next report, which is
# sent within 500 ms.
_CONFIRM_AGAIN_MS: Final = 1000.0


@dataclass(slots=True)
class _CountedEnd:
    """A counted end, and when its agent was notified that it is durable."""

    shard: int
    confirmed_at: float | None = None


class SeenEnds:
    """Keeps an end that is reported repeatedly from counting twice."""

    def __init__(self, clock: Clock) -> None:
        """Begin without any end."""
        self._clock = clock
        self._end_by_ack: dict[Ack, _CountedEnd] = {}
        # In the order in which they became durable.
        self._durable: dict[Ack, None] = {}

    def __contains__(self, ack: Ack) -> bool:
        """Return whether an end has been counted."""
        return ack in self._end_by_ack

    def add(self, ack: Ack, shard: int) -> None:
        """Count an end of a shard."""
        self._end_by_ack[ack] = _CountedEnd(shard)

    def forget(self, shard: int) -> None:
        """Forget the ends of a shard whose ownership was lost.

        Some may not be durable. If the shard is acquired again and they still
        counted as known, they would never be written and their tasks would
        start again.
        """
        self._end_by_ack = {
            ack: counted
            for ack, counted in self._end_by_ack.items()
            if counted.shard != shard
        }
        self._durable = {
            ack: None for ack in self._durable if ack in self._end_by_ack
        }

    def mark_durable(self, acks: Iterable[Ack]) -> None:
        """Note that ends are durable and that their agents are notified now."""
        for ack in acks:
            counted = self._end_by_ack.get(ack)
            if counted is not None:
                counted.confirmed_at = self._clock.now()
                self._durable[ack] = None
        while len(self._durable) > _MAX_DURABLE_ENDS:
            oldest = next(iter(self._durable))
            self._durable.pop(oldest)
            self._end_by_ack.pop(oldest)

    def must_confirm_again(self, ack: Ack) -> bool:
        """Return whether to notify an agent again that an end is durable.

        The notification was lost with its connection, or its agent was killed.
        Without it the worker would list the end forever, and answer each poll
        without waiting.
        """
        confirmed_at = self._end_by_ack[ack].confirmed_at
        return (
            confirmed_at is not None
            and self._clock.now() - confirmed_at > _CONFIRM_AGAIN_MS
        )
