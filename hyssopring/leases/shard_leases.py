"""Leases to run tasks that planners granted to this agent.

The agent counts the time to live on its monotonic clock from *before* it
sent the renewal. The planner counts from its response, which is later, so the
lease always expires for the agent first.
"""

from dataclasses import dataclass

from hyssopring.protocol.messages import LeaseGrant
from hyssopring.tasks import TaskKind

__all__ = ('ShardLeases',)


@dataclass(slots=True)
class _Lease:
    """A lease; expiry times are in ms of the agent's clock."""

    epoch: int
    batch_expires_at: float
    keeper_expires_at: float


class ShardLeases:
    """An agent's leases to run tasks, by shard."""

    def __init__(self) -> None:
        """Start without leases."""
        self._lease_by_shard: dict[int, _Lease] = {}

    def grant(self, grant: LeaseGrant, requested_at: float) -> bool:
        """Add or extend a lease; a grant of an older epoch is ignored.

        Args:
            grant: The grant.
            requested_at: When the renewal was sent, in ms.

        Returns:
            Whether the grant has a new epoch for its shard.
        """
        known = self._lease_by_shard.get(grant.shard)
        if known is not None and grant.epoch < known.epoch:
            return False
        lease = _Lease(
            grant.epoch,
            requested_at + grant.batch_ttl_ms,
            requested_at + grant.keeper_ttl_ms,
        )
        if known is None or grant.epoch > known.epoch:
            self._lease_by_shard[grant.shard] = lease
            return True
        known.batch_expires_at = max(
            known.batch_expires_at, lease.batch_expires_at
        )
        known.keeper_expires_at = max(
            known.keeper_expires_at, lease.keeper_expires_at
        )
        return False

    def accepts(self, shard: int, epoch: int) -> bool:
        """Whether a command has the current epoch (fencing check)."""
        lease = self._lease_by_shard.get(shard)
        return lease is not None and lease.epoch == epoch

    def expiry_of(self, shard: int, kind: TaskKind) -> float:
        """Return when the lease for tasks of this kind expires, in ms.

        Return 0 if there is no lease.
        """
        lease = self._lease_by_shard.get(shard)
        if lease is None:
            return 0
        is_keeper = kind is TaskKind.KEEPER
        return lease.keeper_expires_at if is_keeper else lease.batch_expires_at
