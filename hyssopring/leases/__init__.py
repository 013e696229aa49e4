"""Leases of entries on shards and of agents on running tasks."""

from hyssopring.leases.shard_leases import ShardLeases
from hyssopring.leases.shards import HeldShard, ShardHolder, ShardSettings

__all__ = ('HeldShard', 'ShardHolder', 'ShardLeases', 'ShardSettings')
