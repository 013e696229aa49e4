"""Place tasks on workers and plan the shards that this entry holds."""

from hyssopring.placement.lease_times import LeaseTimes
from hyssopring.placement.planner import Planner, shard_of
from hyssopring.placement.ports import PlannerPorts

__all__ = ('LeaseTimes', 'Planner', 'PlannerPorts', 'shard_of')
