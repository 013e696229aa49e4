"""Typed messages between entries and agents.

Each class corresponds to the struct of the same name in ``inner.thrift``.
Times are in milliseconds. ``Message`` is the union of the messages that a
frame can hold; the other classes are parts of messages.
"""

from hyssopring.protocol.messages.calls import (
    CallRequest,
    CallResponse,
    CancelCall,
    Header,
    OutcomeQuery,
)
from hyssopring.protocol.messages.configuration import (
    ConfigurationItem,
    ConfigurationQuery,
    ConfigurationUpdate,
)
from hyssopring.protocol.messages.heartbeats import (
    BackendReport,
    Heartbeat,
    HeartbeatAck,
    LeaseGrant,
    Ping,
    Pong,
    TaskUsage,
)
from hyssopring.protocol.messages.membership import (
    Challenge,
    EntryList,
    EntryMember,
    Hello,
    Refusal,
    Welcome,
)
from hyssopring.protocol.messages.resources import Resources
from hyssopring.protocol.messages.tasks import (
    StartTask,
    StopTask,
    TaskReport,
    TaskReportAck,
    TaskStatus,
    ThrottleTask,
)

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
