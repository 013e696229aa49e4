"""The leases under which an agent runs the tasks of each shard.

An owner extends them with the grants that it sends in response to reports.
"""

import math
from dataclasses import dataclass
from typing import Container, Final, Iterable

from hyssopring.clock import Clock
from hyssopring.jobs.messages import ShardEpoch
from hyssopring.jobs.times import GRANT_MS, REPORT_INTERVAL_MS

__all__ = ('AgentLeases',)

# Reports to one entry.
_MAX_UNACKNOWLEDGED = 64
# Three reports without a grant make the owner's state doubtful.
_MAX_RENEWAL_AGE_MS: Final = 3 * REPORT_INTERVAL_MS


@dataclass(slots=True)
class _Lease:
    """The newest known epoch of a shard, its owner, and the lease's expiry.

    Attributes:
        known_at: When an order or a grant first named this epoch.
        renewed_at: When the report was sent that the newest grant answers.
        term: The number of times that it was extended after it had expired.
    """

    epoch: int
    entry_id: str
    expires_at: float
    known_at: float
    term: int = 0
    renewed_at: float = -math.inf


class AgentLeases:
    """The owners and leases of the shards, as known to one agent."""

    def __init__(self, clock: Clock) -> None:
        """Create a collection without owners."""
        self._clock = clock
        self._lease_by_shard: dict[int, _Lease] = {}
        self._sent_at_by_entry: dict[str, dict[int, float]] = {}

    def observe_epoch(self, shard: int, epoch: int, entry_id: str) -> bool:
        """Record an order's epoch; return False if a newer one is known."""
        lease = self._lease_by_shard.get(shard)
        if lease is None or lease.epoch < epoch:
            expires_at = 0 if lease is None else lease.expires_at
            term = 0 if lease is None else lease.term
            self._lease_by_shard[shard] = _Lease(
                epoch, entry_id, expires_at, self._clock.now(), term
            )
            return True
        return lease.epoch == epoch and lease.entry_id == entry_id

    def note_report_sent(
        self, entry_id: str, sequence: int, now_ms: float
    ) -> None:
        """Record when a report was sent; a grant for it counts from then."""
        sent_at_by_sequence = self._sent_at_by_entry.setdefault(entry_id, {})
        sent_at_by_sequence[sequence] = now_ms
        if len(sent_at_by_sequence) > _MAX_UNACKNOWLEDGED:
            sent_at_by_sequence.pop(next(iter(sent_at_by_sequence)))

    def forget_reports(self, entry_id: str) -> None:
        """Ignore grants for the reports that were sent to an entry so far."""
        self._sent_at_by_entry.pop(entry_id, None)

    def renew(
        self,
        entry_id: str,
        sequence: int,
        epochs: Iterable[ShardEpoch],
        ttl_ms: float,
    ) -> None:
        """Extend the leases by a grant; one of an older epoch is ignored.

        Args:
            entry_id: The entry that sent the grant.
            sequence: The number of the report that it acknowledges.
            epochs: The shards of that entry with their epochs.
            ttl_ms: The time from the report until the leases expire.
        """
        sent_at = self._sent_at_by_entry.get(entry_id, {}).get(sequence)
        if sent_at is None:
            return
        expires_at = sent_at + min(ttl_ms, GRANT_MS)
        for shard_epoch in epochs:
            if self.observe_epoch(
                shard_epoch.shard, shard_epoch.reign, entry_id
            ):
                lease = self._lease_by_shard[shard_epoch.shard]
                if lease.expires_at <= self._clock.now():
                    lease.term += 1
                lease.expires_at = max(lease.expires_at, expires_at)
                lease.renewed_at = max(lease.renewed_at, sent_at)

    def expiry_of(self, shard: int) -> float:
        """Return when the lease of a shard expires, 0 without a lease."""
        lease = self._lease_by_shard.get(shard)
        return lease.expires_at if lease else 0

    def term_of(self, shard: int) -> int:
        """Return the term of a shard's lease, 0 without a lease."""
        lease = self._lease_by_shard.get(shard)
        return lease.term if lease else 0

    def has_lapsed(self, shard: int, term: int) -> bool:
        """Whether a shard's lease has expired since a term, even for a while.

        Its owner may have started the attempts of that term elsewhere. An
        agent that was suspended may get a new grant before it is told to stop
        them.
        """
        is_expired = self.expiry_of(shard) <= self._clock.now()
        return is_expired or self.term_of(shard) != term

    def known_at(self, shard: int) -> float:
        """Return when the newest epoch of a shard became known."""
        lease = self._lease_by_shard.get(shard)
        return lease.known_at if lease else math.inf

    @property
    def latest_expiry(self) -> float:
        """The latest expiry of all leases, 0 for none."""
        return max(
            (lease.expires_at for lease in self._lease_by_shard.values()),
            default=0,
        )

    def owner_of(self, shard: int) -> str:
        """Return the ID of a shard's owner, or an empty string."""
        lease = self._lease_by_shard.get(shard)
        return lease.entry_id if lease else ''

    @property
    def owners(self) -> frozenset[str]:
        """The newest known owners of all shards."""
        return frozenset(
            lease.entry_id for lease in self._lease_by_shard.values()
        )

    def epochs_of(self, entry_id: str) -> list[ShardEpoch]:
        """Return the shards whose newest known owner is an entry."""
        return [
            ShardEpoch(shard, lease.epoch)
            for shard, lease in self._lease_by_shard.items()
            if lease.entry_id == entry_id
        ]

    def epoch_of(self, shard: int) -> int:
        """Return the newest known epoch of a shard, 0 for none."""
        lease = self._lease_by_shard.get(shard)
        return lease.epoch if lease else 0

    def are_fresh(self, now_ms: float, entries: Container[str]) -> bool:
        """Whether connected owners of all known shards renewed recently."""
        min_renewed_at = now_ms - _MAX_RENEWAL_AGE_MS
        return bool(self._lease_by_shard) and all(
            lease.entry_id in entries and lease.renewed_at >= min_renewed_at
            for lease in self._lease_by_shard.values()
        )
