"""Signs of life: load reports, leases and pings."""

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
    """What an agent knows of one backend server on its VM.

    Attributes:
        tail_ms: 95th percentile over the last seconds; 0 when too few calls
            ended in them to say.
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
    """What the tasks of one template and team take on an agent, in sum.

    Attributes:
        reserved: Sum of the sizes that they were started with.
        used: Sum of what the worker last measured, which lags; a throttled
            task uses less.
        share: Mean share of processor time that throttling leaves them.
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
    """Sent by the agent each second; asks for leases and reports load.

    Attributes:
        worker_boot: Empty while the agent's worker does not answer.
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
    """Right to run a shard's tasks, counted from the heartbeat's sending."""

    shard: int
    epoch: int
    batch_ttl_ms: float
    keeper_ttl_ms: float


@dataclass(frozen=True, slots=True)
class HeartbeatAck:
    """Answers the heartbeat with the same sequence number.

    ``next_ms`` is when the entry wants the next one, unless something new
    is to be said before.
    """

    sequence: int
    configuration_version: int
    grants: tuple[LeaseGrant, ...]
    next_ms: float = 1000


@dataclass(frozen=True, slots=True)
class Ping:
    """Asks a quiet peer for a sign of life."""

    sequence: int


@dataclass(frozen=True, slots=True)
class Pong:
    """Answers the ping with the same sequence number."""

    sequence: int
