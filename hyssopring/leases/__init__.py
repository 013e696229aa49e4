"""Leases: of shards by entries, and of running tasks by agents."""

from hyssopring.leases.held import ShardLeases
from hyssopring.leases.shards import HeldShard, ShardHolder, ShardSettings

__all__ = ('HeldShard', 'ShardHolder', 'ShardLeases', 'ShardSettings')
