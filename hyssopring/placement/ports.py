"""What planning needs of the entry around it."""

from dataclasses import dataclass, field

from hyssopring.clock import Clock
from hyssopring.configuration import ConfigurationState
from hyssopring.entry.calls import Links
from hyssopring.membership import Fleet
from hyssopring.metrics import Metrics
from hyssopring.placement.lease_times import LeaseTimes
from hyssopring.placement.quarantine import WorkerHealth

__all__ = ('PlannerPorts',)


@dataclass(frozen=True, slots=True)
class PlannerPorts:
    """What planning needs of the entry around it."""

    clock: Clock
    fleet: Fleet
    configuration: ConfigurationState
    links: Links
    metrics: Metrics
    lease_times: LeaseTimes
    health: WorkerHealth = field(default_factory=WorkerHealth)
