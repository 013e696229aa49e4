"""What this entry tells owners of its takeovers, and when it did."""

from typing import Any, Iterable

from hyssopring.clock import Clock

__all__ = ('TakeoverClaims',)


class TakeoverClaims:
    """The shards that this entry is taking, and its responses to owners.

    An owner that gets a response without its shard goes on granting.
    """

    def __init__(self, clock: Clock) -> None:
        """Start without responses.

        Those of this entry's former processes precede the start of this one.
        """
        self._clock = clock
        self._started_at = clock.now()
        self._responded_at_by_entry: dict[str, float] = {}
        self._taking: set[int] = set()

    def begin(self, shard: int) -> None:
        """Record that a takeover is about to be committed."""
        self._taking.add(shard)

    def end(self, outcome: Any, shard: int) -> Any:
        """Record that a takeover has failed, or that the shard is owned.

        Returns:
            The outcome, for the next callback.
        """
        self._taking.discard(shard)
        return outcome

    def respond(self, entry_id: str, owned: Iterable[int]) -> list[int]:
        """Return the shards to list in a response that is sent now.

        Args:
            entry_id: The entry that has asked.
            owned: The shards that this entry owns.
        """
        self._responded_at_by_entry[entry_id] = self._clock.now()
        return sorted(self._taking.union(owned))

    def responded_at(self, entry_id: str) -> float:
        """Return when an entry got its last response, at the latest."""
        return self._responded_at_by_entry.get(entry_id, self._started_at)
