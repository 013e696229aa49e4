"""Entries that tell an owner that they have not taken its shards."""

import math
from dataclasses import dataclass
from typing import Final

from hyssopring.clock import MILLIS_PER_SECOND, Clock
from hyssopring.jobs.messages import (
    WITNESS_RELEASE,
    OwnedShardsRequest,
    OwnedShardsResponse,
)
from hyssopring.jobs.peer_requests import PeerRequests
from hyssopring.jobs.relay import RelayPeers
from hyssopring.jobs.times import spaced_interval_ms

__all__ = ('WitnessProcess', 'Witnesses')

_MAX_INTERVAL_MS: Final = 2000.0
_TIMEOUT_S: Final = 1000 / MILLIS_PER_SECOND
# More than run at a time; those that have ended are forgotten first.
_MAX_PROCESSES: Final = 1000


@dataclass(frozen=True, slots=True)
class WitnessProcess:
    """One process of another entry.

    The next process of the entry does not know what this one has taken.
    """

    entry_id: str
    incarnation: str


class Witnesses:
    """Asks the connected entries regularly which shards they have taken."""

    def __init__(
        self, clock: Clock, peers: RelayPeers, requests: PeerRequests
    ) -> None:
        """Start without responses."""
        self._clock = clock
        self._peers = peers
        self._requests = requests
        self._next_at = -math.inf
        self._process_by_entry: dict[str, WitnessProcess] = {}
        # By shard: when the last request was sent to a process whose response
        # does not list the shard.
        self._vouched_at_by_shard: dict[int, dict[WitnessProcess, float]] = {}

    @property
    def processes(self) -> frozenset[WitnessProcess]:
        """The processes of connected entries that respond."""
        return frozenset(
            self._process_by_entry[entry_id]
            for entry_id in self._entry_ids()
            if entry_id in self._process_by_entry
        )

    def vouched_at(self, process: WitnessProcess, shard: int) -> float:
        """Return a time at which a process had not taken a shard."""
        vouched_at = self._vouched_at_by_shard.get(shard, {})
        return vouched_at.get(process, -math.inf)

    def ask(self, shards: frozenset[int]) -> None:
        """Ask about owned shards if that is due; call regularly."""
        now_ms = self._clock.now()
        if not shards or now_ms < self._next_at:
            return
        entry_ids = self._entry_ids()
        self._next_at = now_ms + spaced_interval_ms(
            len(entry_ids), _MAX_INTERVAL_MS
        )
        for entry_id in entry_ids:
            response = self._requests.ask(
                entry_id, OwnedShardsRequest, _TIMEOUT_S
            )
            response.addCallback(self._on_response, entry_id, shards, now_ms)

    def _entry_ids(self) -> list[str]:
        """Return the connected entries of a release that responds."""
        return [
            entry_id
            for entry_id in self._peers.connected_entries
            if self._peers.release_of(entry_id) >= WITNESS_RELEASE
        ]

    def _on_response(
        self,
        response: OwnedShardsResponse | None,
        entry_id: str,
        shards: frozenset[int],
        sent_at: float,
    ) -> None:
        if response is None:
            return
        process = WitnessProcess(entry_id, response.incarnation)
        self._process_by_entry[entry_id] = process
        for shard in shards.difference(response.shards):
            vouched_at = self._vouched_at_by_shard.setdefault(shard, {})
            vouched_at[process] = sent_at
            if len(vouched_at) > _MAX_PROCESSES:
                vouched_at.pop(next(iter(vouched_at)))
