"""Lookup of an agent that leaves in the shards' rosters."""

from typing import Any, Final

from twisted.internet.defer import inlineCallbacks

from hyssopring.clock import Clock
from hyssopring.jobs.row_keys import agent_key
from hyssopring.jobs.rows import RowStore, StoreRefused, StoreUncertain
from hyssopring.jobs.shards import SHARD_COUNT

__all__ = ('RosterLookup',)

# Owners remove rows every 0.2 s.
_READ_INTERVAL_MS: Final = 250.0


class RosterLookup:
    """Reads whether any shard's roster lists an agent.

    Attributes:
        is_unlisted: Whether no roster lists it any more, so that no next owner
            waits for it.
    """

    def __init__(self, clock: Clock, store: RowStore, agent_id: str) -> None:
        """Read nothing before the first ``tick``."""
        self._clock = clock
        self._store = store
        self._agent_id = agent_id
        self._is_reading = False
        self._next_read_at = clock.now()
        self.is_unlisted = False

    def tick(self) -> None:
        """Read the rows if needed; call a few times a second."""
        now_ms = self._clock.now()
        if self._is_reading or now_ms < self._next_read_at:
            return
        self._is_reading = True
        self._next_read_at = now_ms + _READ_INTERVAL_MS
        self._read().addBoth(self._finish_reading)

    @inlineCallbacks
    def _read(self) -> Any:
        """Read until a row is found; a failed read is repeated later."""
        is_unlisted = True
        for shard in range(SHARD_COUNT):
            try:
                row = yield self._store.read_one(
                    agent_key(shard, self._agent_id)
                )
            except (StoreRefused, StoreUncertain):
                return
            is_unlisted = is_unlisted and row is None
        self.is_unlisted = is_unlisted

    def _finish_reading(self, _done: Any) -> None:
        self._is_reading = False
