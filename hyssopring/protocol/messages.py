"""Typed messages between entries and agents.

Each class mirrors the struct of the same name in ``inner.thrift``. Times are
milliseconds. A task's ``attempt`` only grows and fences older starts of the
same task; a shard's ``epoch`` only grows and fences older planners.
"""

from dataclasses import dataclass

__all__ = (
    'PROTOCOL_VERSION',
    'BackendReport',
    'CallRequest',
    'CallResponse',
    'CancelCall',
    'Challenge',
    'ConfigurationItem',
    'ConfigurationQuery',
    'ConfigurationUpdate',
    'EntryList',
    'EntryMember',
    'Header',
    'Heartbeat',
    'HeartbeatAck',
    'Hello',
    'LeaseGrant',
    'Message',
    'OutcomeQuery',
    'Ping',
    'Pong',
    'Refusal',
    'Resources',
    'StartTask',
    'StopTask',
    'TaskReport',
    'TaskReportAck',
    'TaskStatus',
    'TaskUsage',
    'ThrottleTask',
    'Welcome',
)

PROTOCOL_VERSION = 1


@dataclass(frozen=True, slots=True)
class Resources:
    """Processors, memory in GB, and accelerators."""

    cores: float = 0
    memory_gb: float = 0
    accelerators: int = 0

    def plus(self, other: 'Resources') -> 'Resources':
        """Return the sum of both."""
        return Resources(
            self.cores + other.cores,
            self.memory_gb + other.memory_gb,
            self.accelerators + other.accelerators,
        )

    def minus(self, other: 'Resources') -> 'Resources':
        """Return what is left after taking ``other`` away."""
        return Resources(
            self.cores - other.cores,
            self.memory_gb - other.memory_gb,
            self.accelerators - other.accelerators,
        )

    def larger(self, other: 'Resources') -> 'Resources':
        """Return the larger of both in each dimension."""
        return Resources(
            max(self.cores, other.cores),
            max(self.memory_gb, other.memory_gb),
            max(self.accelerators, other.accelerators),
        )

    def holds(self, other: 'Resources') -> bool:
        """Tell whether ``other`` fits in here in every dimension."""
        return (
            other.cores <= self.cores
            and other.memory_gb <= self.memory_gb
            and other.accelerators <= self.accelerators
        )


@dataclass(frozen=True, slots=True)
class Challenge:
    """First frame on a connection, from the entry."""

    version: int
    entry_id: str
    nonce: str


@dataclass(frozen=True, slots=True)
class Hello:
    """The agent's answer; ``proof`` shows that it knows the secret."""

    version: int
    agent_id: str
    incarnation: str
    zone: str
    rack: str
    proof: str
    capacity: Resources
    configuration_version: int


@dataclass(frozen=True, slots=True)
class Welcome:
    """The entry accepts the agent."""

    entry_id: str
    configuration_version: int


@dataclass(frozen=True, slots=True)
class EntryMember:
    """One entry, and where agents dial it."""

    entry_id: str
    address: str
    zone: str


@dataclass(frozen=True, slots=True)
class EntryList:
    """Who the entries are, sent when that changes.

    From an entry: all that it knows of, and the id of the entry that holds
    each shard, by shard number, empty if unknown. From an agent: entries
    that it is connected to and that the receiver's own list lacks.
    """

    members: tuple[EntryMember, ...]
    holders: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Refusal:
    """The last frame before a connection is closed for an error."""

    kind: str
    detail: str


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
class TaskStatus:
    """The state of one task on an agent."""

    task_id: str
    shard: int
    epoch: int
    attempt: int
    phase: str
    checkpoint: str = ''
    detail: str = ''


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
class Header:
    """One HTTP header."""

    name: str
    text: str


@dataclass(frozen=True, slots=True)
class CallRequest:
    """A caller's request on its way to a backend server.

    ``budget_ms`` is what is left until the caller's deadline. ``after`` is
    the agent's last heartbeat that the entry had heard when it first sent the
    request: it cannot have arrived earlier.
    """

    request_id: str
    service_name: str
    method: str
    path: str
    headers: tuple[Header, ...]
    body: bytes
    budget_ms: float
    urgency: int
    idempotent: bool
    after: int = 0


@dataclass(frozen=True, slots=True)
class CallResponse:
    """What became of a call; ``outcome`` is a ``CallOutcome`` value."""

    request_id: str
    outcome: str
    status: int = 0
    headers: tuple[Header, ...] = ()
    body: bytes = b''
    error: str = ''
    detail: str = ''
    retry_after_ms: int = 0
    in_flight: int = 0
    queued: int = 0


@dataclass(frozen=True, slots=True)
class CancelCall:
    """The caller has gone; drop the call if it has not started."""

    request_id: str


@dataclass(frozen=True, slots=True)
class OutcomeQuery:
    """Asks what became of a call; a call never seen is refused for good.

    ``after`` as in ``CallRequest``. With ``peek`` the agent only looks: it
    answers at once, also while the call runs, and refuses nothing.
    """

    request_id: str
    after: int = 0
    peek: bool = False


@dataclass(frozen=True, slots=True)
class Ping:
    """Asks a quiet peer for a sign of life."""

    sequence: int


@dataclass(frozen=True, slots=True)
class Pong:
    """Answers the ping with the same sequence number."""

    sequence: int


@dataclass(frozen=True, slots=True)
class ConfigurationItem:
    """One template or parameter set; an empty document withdraws it."""

    key: str
    version: int
    document: str


@dataclass(frozen=True, slots=True)
class ConfigurationUpdate:
    """Changes after ``base_version``; base 0 carries the whole state."""

    base_version: int
    version: int
    items: tuple[ConfigurationItem, ...]


@dataclass(frozen=True, slots=True)
class ConfigurationQuery:
    """Asks a peer for what it has beyond ``version``."""

    version: int


@dataclass(frozen=True, slots=True)
class StartTask:
    """Start one attempt of a task under the shard's lease.

    Attributes:
        worker_boot: The only boot of the worker that this start is for.
    """

    task_id: str
    shard: int
    epoch: int
    attempt: int
    kind: str
    service_name: str
    size: Resources
    checkpoint: str
    run_ms: float
    urgency: int
    worker_boot: str = ''


@dataclass(frozen=True, slots=True)
class StopTask:
    """Stop one attempt; ``mode`` is ``checkpoint`` or ``cancel``."""

    task_id: str
    shard: int
    epoch: int
    attempt: int
    mode: str


@dataclass(frozen=True, slots=True)
class ThrottleTask:
    """Leave one attempt this share of its processor time, 0 to 1."""

    task_id: str
    shard: int
    epoch: int
    attempt: int
    share: float


@dataclass(frozen=True, slots=True)
class TaskReport:
    """States of tasks on an agent.

    ``complete`` means that these are all tasks of ``shard`` here, said with
    knowledge of ``epoch``: commands of older epochs are refused from now on.
    It speaks of what ``worker_boot`` runs and of no earlier boot.
    """

    tasks: tuple[TaskStatus, ...]
    complete: bool = False
    shard: int = 0
    epoch: int = 0
    worker_boot: str = ''


@dataclass(frozen=True, slots=True)
class TaskReportAck:
    """The planner has recorded these states; the agent may forget them."""

    tasks: tuple[TaskStatus, ...]


_GreetingMessage = Challenge | Hello | Welcome | Refusal | EntryList
_LivenessMessage = Heartbeat | HeartbeatAck | Ping | Pong
_CallMessage = CallRequest | CallResponse | CancelCall | OutcomeQuery
_ConfigurationMessage = ConfigurationUpdate | ConfigurationQuery
_TaskMessage = StartTask | StopTask | ThrottleTask | TaskReport | TaskReportAck

Message = (
    _GreetingMessage
    | _LivenessMessage
    | _CallMessage
    | _ConfigurationMessage
    | _TaskMessage
)
