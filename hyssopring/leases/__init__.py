"""Leases of entries on shards and of agents on running tasks.

The entry that has the lease on a shard is called its holder here and in
``placement``. The shards of ``jobs`` are assigned separately, through rows of
another table; the entry that has one of them is called its owner.
"""

from hyssopring.leases.shard_leases import ShardLeases
from hyssopring.leases.shards import HeldShard, ShardHolder, ShardSettings

__all__ = ('HeldShard', 'ShardHolder', 'ShardLeases', 'ShardSettings')
