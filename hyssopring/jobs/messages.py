"""Messages about jobs between entries and agents.

Times are in milliseconds. Tasks are named by their dotted form. ``reign`` is
the epoch of a shard's owner; it only grows, and a receiver that knows a
higher epoch rejects commands of a lower one.
"""

from types import MappingProxyType
from typing import Any, Final, cast, get_args

from hyssopring.jobs.configuration_messages import (
    ConfigurationNotice,
    ConfigurationPart,
    ConfigurationRequest,
    ConfigurationText,
)
from hyssopring.jobs.evacuation_messages import EvacuationNotice
from hyssopring.jobs.relay_messages import (
    RelayedChanges,
    RelayedCommit,
    RelayedRead,
    RelayedResponse,
)
from hyssopring.jobs.worker_port import StartOutcome
from hyssopring.jobs.retired_messages import (
    RetiredOutlookNotice,
    RetiredRejectionNotice,
)
from hyssopring.protocol.structs import (
    ProtocolError,
    read_struct,
    struct,
    write_struct,
)

__all__ = (
    'BAD_TICKET',
    'CANCELLED',
    'EVACUATED',
    'PROTOCOL_RELEASE',
    'RUNNING_HERE',
    'SPACED_REPORTS_RELEASE',
    'WORKERS_REASONS',
    'AgentGrant',
    'AgentGreeting',
    'AgentLeft',
    'AttemptReport',
    'CancelNotice',
    'EndReport',
    'EndsRecorded',
    'EntryAddresses',
    'EntryGreeting',
    'Grant',
    'JobNotice',
    'JobStateRequest',
    'JobStateResponse',
    'JobsMessage',
    'OwnedShardsRequest',
    'OwnedShardsResponse',
    'PairEstimate',
    'PendingJobsRequest',
    'PendingJobsResponse',
    'ReportRequest',
    'ShardEpoch',
    'ShardReleased',
    'StartOrder',
    'StartRefusal',
    'StopOrder',
    'TaskRequirements',
    'WITNESS_RELEASE',
    'WorkerReport',
    'pack',
    'unpack',
)


# Raised with each new message class or behaviour that older processes do not
# support.
PROTOCOL_RELEASE: Final = 3
# The first release whose processes wait as long for the next message on a
# connection as the last one announced.
SPACED_REPORTS_RELEASE: Final = 2
# The first release whose entries respond to ``OwnedShardsRequest``.
WITNESS_RELEASE: Final = 3


@struct
class ShardEpoch:
    """A shard and an epoch of its owner."""

    shard: int
    reign: int


@struct
class EntryGreeting:
    """The first message of an entry that connects to another one.

    Attributes:
        release: ``PROTOCOL_RELEASE`` of the sender. A process closes a
            connection on which a message class that it does not know arrives.
        next_ms: The time until the sender repeats it at the latest; 0 for
            ``REPORT_INTERVAL_MS``.
    """

    entry_id: str
    release: int = 0
    next_ms: int = 0


@struct
class AgentGreeting:
    """The first message of an agent that connects to an entry."""

    agent_id: str
    zone: str


@struct
class AttemptReport:
    """An attempt that runs or may still be starting.

    Attributes:
        percent: Share of its work that is done; 100 for a keeper that is
            ready.
        load: Tail latency in ms of a keeper with a target, otherwise the
            thousandths of a core in use.
        pace: Share of processor time that the agent allows it, in percent;
            negative if unknown.
        is_sized: Whether the agent knows the attempt's resources.
        is_relisted: Whether the worker has listed it in response to a poll
            that was sent after the agent knew the owner's epoch. Otherwise it
            may have ended before that epoch began.
    """

    task: str
    attempt: int
    checkpoint: str
    percent: int
    load: int
    pace: int
    is_sized: bool
    is_relisted: bool = False


@struct
class EndReport:
    """An attempt that has ended.

    Attributes:
        number: Assigned by the worker. Ends by a crash are numbered by the
            agent, downwards from -1, as a crashed worker lists none.
        how: Value of an ``AttemptEnd``.
    """

    number: int
    task: str
    attempt: int
    how: str
    checkpoint: str


@struct
class WorkerReport:
    """State of a worker, sent by its agent on changes and periodically.

    Attributes:
        boot: The worker's incarnation; empty while none is known.
        is_leaving: The worker accepts no new tasks.
        remaining_ms: How long a leaving worker continues to run.
        silent_ms: Time since the worker last answered its agent.
        reigns: Shards that the receiving entry owns as far as the agent
            knows; the report lists all attempts and ends of these shards unless
            ``is_partial``.
        foreign_cpu: With the next two: resources that tasks of other owners
            use.
        orders: Number of start orders that the agent has received from this
            entry on ``connection``. A start among them that is in neither
            list has ended.
        connection: The entry's name for the connection that ``orders``
            counts; empty while the agent knows none.
        next_ms: The time until the next report at the latest; 0 for
            ``REPORT_INTERVAL_MS``.
        is_partial: Whether attempts may be missing that an agent before this
            one started, as the worker has not listed all ends yet.
    """

    sequence: int
    boot: str
    service: str
    labels: list[str]
    cpu_millis: int
    memory_mb: int
    accelerators: int
    is_leaving: bool
    remaining_ms: int
    silent_ms: int
    reigns: list[ShardEpoch]
    attempts: list[AttemptReport]
    ends: list[EndReport]
    foreign_cpu: int
    foreign_memory: int
    foreign_accelerators: int
    orders: int
    connection: str = ''
    next_ms: int = 0
    is_partial: bool = False


@struct
class PairEstimate:
    """The headroom that one core of an image takes from another image.

    Attributes:
        latency_critical: The image that loses headroom.
        best_effort: The image that uses the core.
        mean_thousandths: The expected headroom, in thousandths.
        deviation_thousandths: Its standard deviation.
    """

    latency_critical: str
    best_effort: str
    mean_thousandths: int
    deviation_thousandths: int


@struct
class Grant:
    """Response to a report: renews the agent's leases of these shards.

    Attributes:
        ttl_ms: Counts from when the agent sent the report with this
            ``sequence``.
        interference: What the sender has learned of images on the agent's
            worker and has not sent on this connection before.
    """

    sequence: int
    reigns: list[ShardEpoch]
    ttl_ms: int
    interference: list[PairEstimate] = cast(list[PairEstimate], ())


@struct
class ReportRequest:
    """Requests an immediate report from an agent.

    Attributes:
        reigns: Shards that the sender owns.
        connection: Name of the connection on which this is the first
            request. The agent rejects later starts that name another one.
    """

    reigns: list[ShardEpoch]
    connection: str = ''


@struct
class TaskRequirements:
    """Resources and targets of an attempt.

    Sent also for an attempt that the agent did not start itself.
    """

    task: str
    attempt: int
    cpu_millis: int
    memory_mb: int
    accelerators: int
    target_ms: int
    fills: bool
    image: str


@struct
class StartOrder:
    """Starts an attempt on one incarnation of the worker only.

    Attributes:
        boot: The worker's incarnation.
        connection: Name of the connection that the order was sent on.
        ticket: Empty if the queue needs none.
        is_trial: The task may crash the worker, which therefore gets no
            other start meanwhile.
    """

    shard: int
    reign: int
    boot: str
    payload: str
    checkpoint: str
    facts: TaskRequirements
    connection: str = ''
    ticket: str = ''
    is_trial: bool = False


# Reason of a ``StartRefusal``: an attempt of the task is on the worker.
RUNNING_HERE: Final = 'running'
# Reason of a ``StartRefusal``: the agent's availability zone is evacuated.
EVACUATED: Final = 'evacuated'
# Reason of a ``StartRefusal``: the job is cancelled.
CANCELLED: Final = 'cancelled'
# Reason of a ``StartRefusal``: the worker rejected the order's ticket.
BAD_TICKET: Final = 'ticket'
# Refusals by the worker itself, which may refuse the next start as well.
WORKERS_REASONS: Final = frozenset(
    (
        StartOutcome.FENCED.value,
        StartOutcome.INVALID.value,
        StartOutcome.LATE.value,
        StartOutcome.NO_ROOM.value,
        StartOutcome.OLD.value,
        StartOutcome.UNHEALTHY.value,
    )
)


@struct
class StartRefusal:
    """The agent has not started the attempt and will not start it.

    Other attempts of the task are not affected.

    Attributes:
        reason: The value of a ``StartOutcome``, ``RUNNING_HERE``,
            ``EVACUATED``, ``CANCELLED``, or one of:
            'deposed': the agent knows a higher epoch of the shard;
            'boot': the order is for another incarnation of the worker;
            'leaving': the worker leaves or the agent shuts down;
            'no-grant': the agent has no valid grant for the shard;
            'closed': this attempt or a later one has ended or was stopped here;
            'unsized': the requirements of an attempt here are unknown;
            'room': the worker has too little free capacity.
        reign: Highest epoch of the task's shard that the agent knows.
    """

    task: str
    attempt: int
    reason: str
    reign: int


@struct
class StopOrder:
    """Stops an attempt; an agent that does not run it never starts it."""

    shard: int
    reign: int
    task: str
    attempt: int


@struct
class EndsRecorded:
    """Acknowledges ends as durable; the worker may forget them."""

    boot: str
    numbers: list[int]


@struct
class JobNotice:
    """Tells the owner of a shard that a job was accepted.

    Attributes:
        document: Text of the job's row.
        is_passed_on: The message was forwarded by an entry that no longer
            owns the shard.
    """

    job_id: str
    document: str
    is_passed_on: bool = False


@struct
class CancelNotice:
    """Tells the owner of a shard that a job's cancellation is stored.

    An entry sends it to the agents, too, if the owner does not confirm it. They
    start no more tasks of the job, and pass it on to the owner that they know.
    """

    job_id: str


@struct
class JobStateRequest:
    """Requests a job's state from the owner of its shard."""

    number: int
    job_id: str


@struct
class JobStateResponse:
    """A job's state; empty if the entry does not know it."""

    number: int
    state: str


@struct
class PendingJobsRequest:
    """Requests the number of a queue's jobs that wait for a first start."""

    number: int
    queue: str


@struct
class PendingJobsResponse:
    """Number of waiting jobs in the shards that the entry owns."""

    number: int
    shards: list[int]
    waiting: int


@struct
class OwnedShardsRequest:
    """Asks an entry which shards it has taken."""

    number: int


@struct
class OwnedShardsResponse:
    """The shards that the sender owns, or is taking just now.

    Attributes:
        incarnation: Identifies the sender's process.
    """

    number: int
    shards: list[int]
    incarnation: str


@struct
class EntryAddresses:
    """Addresses of the entries, sent to agents, which may know older ones."""

    addresses: list[str]


@struct
class AgentGrant:
    """Time since an owner last renewed the leases of an agent."""

    agent_id: str
    age_ms: int


@struct
class ShardReleased:
    """Tells the next owner that the sender has stopped acting as owner.

    Attributes:
        reign: The sender's former epoch.
        grants: Last grants to the agents that had confirmed the epoch.
        wait_ms: How long an agent that is not listed may still run tasks;
            what remains of the sender's own wait for the owners before it.
    """

    shard: int
    reign: int
    grants: list[AgentGrant]
    wait_ms: int = 0


@struct
class AgentLeft:
    """Last message of an agent whose worker leaves and runs no task.

    The agent accepts no further start.

    Attributes:
        ends: Ends that were not acknowledged as durable.
    """

    boot: str
    ends: list[EndReport]


JobsMessage = (
    EntryGreeting
    | AgentGreeting
    | WorkerReport
    | Grant
    | ReportRequest
    | StartOrder
    | StartRefusal
    | StopOrder
    | EndsRecorded
    | JobNotice
    | CancelNotice
    | JobStateRequest
    | JobStateResponse
    | PendingJobsRequest
    | PendingJobsResponse
    | TaskRequirements
    | EntryAddresses
    | RelayedCommit
    | RelayedRead
    | RelayedChanges
    | RelayedResponse
    | AgentLeft
    | ShardReleased
    | ConfigurationNotice
    | ConfigurationRequest
    | ConfigurationText
    | ConfigurationPart
    | EvacuationNotice
    | RetiredOutlookNotice
    | RetiredRejectionNotice
    | OwnedShardsRequest
    | OwnedShardsResponse
)

# The first byte of a frame is the class's index here: add new ones last.
_CLASSES: Final = get_args(JobsMessage)
_INDEX_BY_CLASS: Final = MappingProxyType(
    {
        message_class: class_index
        for class_index, message_class in enumerate(_CLASSES)
    },
)


def pack(message: Any) -> bytes:
    """Encode a message as the payload of a frame."""
    class_index = _INDEX_BY_CLASS[type(message)]
    return bytes((class_index,)) + write_struct(message)


def unpack(payload: bytes) -> Any:
    """Decode the payload of a frame.

    Raises:
        ProtocolError: The payload is not exactly one message of a known
            class.
    """
    if not payload or payload[0] >= len(_CLASSES):
        raise ProtocolError('frame is empty or of an unknown message class')
    return read_struct(_CLASSES[payload[0]], payload[1:])
