"""Messages about jobs between entries and agents. Times are milliseconds.

Tasks are named by their dotted text. A shard's ``reign`` only grows: whoever
has heard of a higher one takes no order of a lower one.
"""

from types import MappingProxyType
from typing import Any, Final, get_args

from hyssopring.jobs.configuration_messages import (
    ConfigurationNotice,
    ConfigurationPart,
    ConfigurationRequest,
    ConfigurationText,
)
from hyssopring.jobs.relay_messages import (
    RelayedResponse,
    RelayedChanges,
    RelayedCommit,
    RelayedRead,
)
from hyssopring.protocol.structs import (
    ProtocolError,
    read_struct,
    struct,
    write_struct,
)

__all__ = (
    'BAD_TICKET',
    'RUNNING_HERE',
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
    'JobStateResponse',
    'JobNotice',
    'JobStateRequest',
    'JobsMessage',
    'PendingJobsResponse',
    'PendingJobsRequest',
    'ReportRequest',
    'ShardReleased',
    'ShardEpoch',
    'StartOrder',
    'StartRefusal',
    'StopOrder',
    'TaskFacts',
    'WorkerReport',
    'pack',
    'unpack',
)


@struct
class ShardEpoch:
    """One shard and the reign that is meant or known."""

    shard: int
    reign: int


@struct
class EntryGreeting:
    """The first message of an entry that dials another one."""

    entry_id: str


@struct
class AgentGreeting:
    """The first message of an agent to an entry."""

    agent_id: str
    zone: str


@struct
class AttemptReport:
    """One attempt that runs, or may still be starting.

    Attributes:
        percent: How much of its work is done; for a keeper 100 at work.
        load: Tail latency in ms of a keeper with a target, otherwise the
            thousandths of a core in use.
        pace: The share of processor time that the agent leaves it.
        is_sized: Whether the agent knows what the attempt takes.
    """

    task: str
    attempt: int
    checkpoint: str
    percent: int
    load: int
    pace: int
    is_sized: bool


@struct
class EndReport:
    """One attempt that has ended; ``number`` is the worker's own.

    Ends by a crash are numbered downwards from -1 by the agent: a worker that
    has crashed lists none.
    """

    number: int
    task: str
    attempt: int
    how: str
    checkpoint: str


@struct
class WorkerReport:
    """What an agent knows of its worker, sent on changes and regularly.

    Attributes:
        boot: The worker's life; empty while none is known.
        is_leaving: It gets no new tasks.
        remaining_ms: How long it still runs while it leaves.
        silent_ms: How long the worker has not answered its agent.
        reigns: The shards that this entry owns as far as the agent knows;
            of these shards the report names all attempts and ends.
        foreign_cpu: With the next two: what other owners' tasks take.
        orders: How many starts the agent has taken of those that this entry
            has sent on ``connection``; a start among them that is not in the
            lists is over.
        connection: The entry's name for the connection that ``orders`` counts
            for; empty while the agent knows none.
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


@struct
class Grant:
    """Answers a report: the agent may keep the shards' tasks for a while.

    ``ttl_ms`` counts from the sending of the report with this sequence.
    """

    sequence: int
    reigns: list[ShardEpoch]
    ttl_ms: int


@struct
class ReportRequest:
    """Asks an agent for a report at once, under these reigns.

    Attributes:
        connection: Names the connection that this is the first question on;
            starts that name another one are void from now on.
    """

    reigns: list[ShardEpoch]
    connection: str = ''


@struct
class TaskFacts:
    """What an attempt takes, for an agent that did not start it itself."""

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
    """Start one attempt on this boot of the worker and on no other.

    ``connection`` is the one that it was sent on. ``ticket`` is empty where
    the queue needs none. ``is_trial``: the worker gets no other start, as this
    one may crash it.
    """

    shard: int
    reign: int
    boot: str
    payload: str
    checkpoint: str
    facts: TaskFacts
    connection: str = ''
    ticket: str = ''
    is_trial: bool = False


# A reason of ``StartRefusal``: some attempt of the task is on the worker.
RUNNING_HERE: Final = 'running'
# A reason of ``StartRefusal``: the worker does not take the order's ticket.
BAD_TICKET: Final = 'ticket'


@struct
class StartRefusal:
    """The attempt was not started here and will not be.

    It says nothing of other attempts of the task.

    Attributes:
        reign: The newest reign of the task's shard that the agent knows.
    """

    task: str
    attempt: int
    reason: str
    reign: int


@struct
class StopOrder:
    """Stop one attempt, and let it never start here."""

    shard: int
    reign: int
    task: str
    attempt: int


@struct
class EndsRecorded:
    """These ends are durable; the worker may forget them."""

    boot: str
    numbers: list[int]


@struct
class JobNotice:
    """A job was accepted; ``document`` is its stored row.

    ``is_passed_on`` says that another entry got it that owns the shard no more.
    """

    job_id: str
    document: str
    is_passed_on: bool = False


@struct
class CancelNotice:
    """A job was cancelled, and the store says so."""

    job_id: str


@struct
class JobStateRequest:
    """Asks the owner of a job's shard for the job's state."""

    number: int
    job_id: str


@struct
class JobStateResponse:
    """The state, or empty if the entry cannot say."""

    number: int
    state: str


@struct
class PendingJobsRequest:
    """Asks how many jobs of a queue wait for their first start."""

    number: int
    queue: str


@struct
class PendingJobsResponse:
    """Counts the waiting jobs of the shards that the entry owns."""

    number: int
    shards: list[int]
    waiting: int


@struct
class EntryAddresses:
    """Where entries listen, for an agent that may know older ones."""

    addresses: list[str]


@struct
class AgentGrant:
    """How long ago an owner granted an agent last, in milliseconds."""

    agent_id: str
    age_ms: int


@struct
class ShardReleased:
    """The sender owned a shard under a reign, and orders nothing there now.

    Attributes:
        grants: Of the agents that had confirmed the reign.
        wait_ms: For how long an agent that is not named may still run tasks,
            by the sender's own wait for the owners before it.
    """

    shard: int
    reign: int
    grants: list[AgentGrant]
    wait_ms: int = 0


@struct
class AgentLeft:
    """An agent ends, and nothing runs on its worker, which leaves.

    It takes no start any more. ``ends`` are those that are not durable.
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
    | TaskFacts
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
)

# The first byte of a frame is the class's place here: new ones go last.
_CLASSES: Final = get_args(JobsMessage)
_CODE_BY_CLASS: Final = MappingProxyType(
    {each: code for code, each in enumerate(_CLASSES)},
)


def pack(message: Any) -> bytes:
    """Return the payload of a frame with one message."""
    code = _CODE_BY_CLASS[type(message)]
    return bytes((code,)) + write_struct(message)


def unpack(payload: bytes) -> Any:
    """Return the message in a frame.

    Raises:
        ProtocolError: The payload is not one whole known message.
    """
    if not payload or payload[0] >= len(_CLASSES):
        raise ProtocolError('a frame of no known kind')
    return read_struct(_CLASSES[payload[0]], payload[1:])
