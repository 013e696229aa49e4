"""Deduplicates the ends of attempts that agents report to an owner."""

from dataclasses import dataclass
from typing import Final, Iterable

from hyssopring.clock import Clock
from hyssopring.jobs.owned_shard import Ack

__all__ = ('SeenEnds',)

# Bounds memory; the oldest ends are forgotten first.
_KEPT: Final = 2000
# An agent that was notified omits a durable end from its next report, which is
# sent within 500 ms.
_TELL_AGAIN_MS: Final = 1000.0


@dataclass(slots=True)
class _SeenEnd:
    """A counted end, and when its agent was notified that it is durable."""

    shard: int
    told_at: float | None = None


class SeenEnds:
    """Keeps an end that is reported repeatedly from counting twice."""

    def __init__(self, clock: Clock) -> None:
        """Begin without any end."""
        self._clock = clock
        self._by_ack: dict[Ack, _SeenEnd] = {}

    def __contains__(self, ack: Ack) -> bool:
        """Return whether an end has been counted."""
        return ack in self._by_ack

    def add(self, ack: Ack, shard: int) -> None:
        """Count an end of a shard."""
        self._by_ack[ack] = _SeenEnd(shard)
        if len(self._by_ack) > _KEPT:
            self._by_ack.pop(next(iter(self._by_ack)))

    def forget(self, shard: int) -> None:
        """Forget the ends of a shard whose ownership was lost.

        Some may not be durable. If the shard is acquired again and they still
        counted as known, they would never be written and their tasks would
        start again.
        """
        self._by_ack = {
            ack: seen
            for ack, seen in self._by_ack.items()
            if seen.shard != shard
        }

    def mark_durable(self, acks: Iterable[Ack]) -> None:
        """Note that ends are durable and that their agents are notified now."""
        for ack in acks:
            seen = self._by_ack.get(ack)
            if seen is not None:
                seen.told_at = self._clock.now()

    def must_confirm_again(self, ack: Ack) -> bool:
        """Return whether to notify an agent again that an end is durable.

        The notification was lost with its connection, or its agent was killed.
        Without it the worker would list the end forever, and answer each poll
        without waiting.
        """
        told_at = self._by_ack[ack].told_at
        return (
            told_at is not None and self._clock.now() - told_at > _TELL_AGAIN_MS
        )
