"""Heartbeats with load reports, lease grants, and pings."""

from dataclasses import dataclass

from hyssopring.protocol.messages.resources import Resources

__all__ = (
    'BackendReport',
    'Heartbeat',
    'HeartbeatAck',
    'LeaseGrant',
    'Ping',
    'Pong',
    'TaskUsage',
)


@dataclass(frozen=True, slots=True)
class BackendReport:
    """The load of one backend server on the VM of an agent.

    Attributes:
        tail_ms: 95th percentile over the last seconds; 0 if too few calls
            ended in that time.
    """

    service_name: str
    backend_id: str
    slots: int
    connections: int
    leaving: bool
    in_flight: int
    queued: int
    latency_ms: float
    tail_ms: float = 0


@dataclass(frozen=True, slots=True)
class TaskUsage:
    """Total usage of the tasks of one template and team on an agent.

    Attributes:
        reserved: Total of the sizes that the tasks were started with.
        used: Total of the last measurements of the worker, which lag;
            throttling reduces it.
        share: Mean share of processor time that throttling leaves.
    """

    service_name: str
    kind: str
    urgency: int
    running: int
    reserved: Resources
    used: Resources
    share: float = 1


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """Reports the load of an agent each second and requests leases.

    Attributes:
        worker_boot: Empty while the worker of the agent does not respond.
    """

    sequence: int
    configuration_version: int
    backends: tuple[BackendReport, ...]
    free: Resources
    stopping: bool
    usage: tuple[TaskUsage, ...] = ()
    worker_boot: str = ''


@dataclass(frozen=True, slots=True)
class LeaseGrant:
    """Lease on the tasks of a shard, from the sending of the heartbeat."""

    shard: int
    epoch: int
    batch_ttl_ms: float
    keeper_ttl_ms: float


@dataclass(frozen=True, slots=True)
class HeartbeatAck:
    """Acknowledges the heartbeat with the same sequence number.

    ``next_ms`` is the time until the next heartbeat, which is sent earlier if
    there is news to report.
    """

    sequence: int
    configuration_version: int
    grants: tuple[LeaseGrant, ...]
    next_ms: float = 1000


@dataclass(frozen=True, slots=True)
class Ping:
    """Requests a pong from a silent peer."""

    sequence: int


@dataclass(frozen=True, slots=True)
class Pong:
    """Response to the ping with the same sequence number."""

    sequence: int
