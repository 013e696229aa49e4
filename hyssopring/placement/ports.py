"""Dependencies of the planner on the rest of the entry."""

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
    """Dependencies of the planner on the rest of the entry.

    Attributes:
        clock: Clock in milliseconds.
        fleet: Connected agents.
        configuration: Configuration in force.
        links: Sends messages to agents.
        metrics: Counters and gauges.
        lease_times: Durations of task leases.
        health: Failures and quarantine of workers.
    """

    clock: Clock
    fleet: Fleet
    configuration: ConfigurationState
    links: Links
    metrics: Metrics
    lease_times: LeaseTimes
    health: WorkerHealth = field(default_factory=WorkerHealth)
