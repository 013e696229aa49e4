"""Placement decisions and the plans of the held shards."""

from hyssopring.placement.lease_times import LeaseTimes
from hyssopring.placement.planner import Planner, shard_of
from hyssopring.placement.ports import PlannerPorts

__all__ = ('LeaseTimes', 'Planner', 'PlannerPorts', 'shard_of')
