"""Leases as their holder counts them.

The time to live runs on the holder's monotonic clock from *before* the
renewal was sent, so the grantor, which counts from its later answer, always
sees the lease end after the holder does.
"""

from dataclasses import dataclass

from hyssopring.protocol.messages import LeaseGrant
from hyssopring.tasks import TaskKind

__all__ = ('ShardLeases',)


@dataclass(slots=True)
class _Lease:
    epoch: int
    batch_until: float
    keeper_until: float


class ShardLeases:
    """An agent's leases to run tasks, by shard."""

    def __init__(self) -> None:
        """Start with none."""
        self._lease_by_shard: dict[int, _Lease] = {}

    def grant(self, grant: LeaseGrant, asked_at: float) -> bool:
        """Take or extend a lease; return whether its epoch is new here."""
        known = self._lease_by_shard.get(grant.shard)
        if known is not None and grant.epoch < known.epoch:
            return False
        lease = _Lease(
            grant.epoch,
            asked_at + grant.batch_ttl_ms,
            asked_at + grant.keeper_ttl_ms,
        )
        if known is None or grant.epoch > known.epoch:
            self._lease_by_shard[grant.shard] = lease
            return True
        known.batch_until = max(known.batch_until, lease.batch_until)
        known.keeper_until = max(known.keeper_until, lease.keeper_until)
        return False

    def accepts(self, shard: int, epoch: int) -> bool:
        """Whether a command of this epoch is current (the fence)."""
        lease = self._lease_by_shard.get(shard)
        return lease is not None and lease.epoch == epoch

    def until(self, shard: int, kind: TaskKind) -> float:
        """Return when a task of this kind must not run any more."""
        lease = self._lease_by_shard.get(shard)
        if lease is None:
            return 0
        is_keeper = kind is TaskKind.KEEPER
        return lease.keeper_until if is_keeper else lease.batch_until
