"""Ends that an owner has counted, and which of their agents know it."""

from dataclasses import dataclass
from typing import Final, Iterable

from hyssopring.clock import Clock
from hyssopring.jobs.owned_shard import Ack

__all__ = ('SeenEnds',)

# So many at most, to bound memory; the oldest are forgotten first.
_KEPT: Final = 2000
# An agent that has heard that an end is durable lists it no more with its next
# report, which comes within half a second.
_TELL_AGAIN_MS: Final = 1000.0


@dataclass(slots=True)
class _SeenEnd:
    """An end that was counted, and when its agent was told it is durable."""

    shard: int
    told_at: float | None = None


class SeenEnds:
    """Keeps an end that is listed again and again from counting twice."""

    def __init__(self, clock: Clock) -> None:
        """Begin without any."""
        self._clock = clock
        self._by_ack: dict[Ack, _SeenEnd] = {}

    def __contains__(self, ack: Ack) -> bool:
        """Whether an end has been counted."""
        return ack in self._by_ack

    def add(self, ack: Ack, shard: int) -> None:
        """An end of this shard counts now."""
        self._by_ack[ack] = _SeenEnd(shard)
        if len(self._by_ack) > _KEPT:
            self._by_ack.pop(next(iter(self._by_ack)))

    def forget(self, shard: int) -> None:
        """A shard is lost: its ends count anew if it is taken back.

        Some may not be durable; taken for known they would never be written,
        and their tasks would start again.
        """
        self._by_ack = {
            ack: seen
            for ack, seen in self._by_ack.items()
            if seen.shard != shard
        }

    def mark_durable(self, acks: Iterable[Ack]) -> None:
        """Ends are durable, and their agents are told so now."""
        for ack in acks:
            seen = self._by_ack.get(ack)
            if seen is not None:
                seen.told_at = self._clock.now()

    def must_confirm_again(self, ack: Ack) -> bool:
        """Whether an agent that still lists a durable end has missed the word.

        The message was lost with its connection, or its agent was killed; the
        worker would list the end for ever, and each look would answer at once.
        """
        told_at = self._by_ack[ack].told_at
        return (
            told_at is not None and self._clock.now() - told_at > _TELL_AGAIN_MS
        )
