"""Requests of callers to backend servers, and their outcomes."""

from dataclasses import dataclass

__all__ = (
    'CallRequest',
    'CallResponse',
    'CancelCall',
    'Header',
    'OutcomeQuery',
)


@dataclass(frozen=True, slots=True)
class Header:
    """One HTTP header."""

    name: str
    text: str


@dataclass(frozen=True, slots=True)
class CallRequest:
    """A request of a caller, forwarded to a backend server.

    ``budget_ms`` is the remaining time until the caller's deadline. ``after``
    is the sequence number of the last heartbeat that the entry had received
    from the agent when it first sent the request: the agent cannot have
    received the request before that heartbeat.
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
    """The outcome of a call; ``outcome`` is a ``CallOutcome`` value."""

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
    """Cancels a call of a disconnected caller if it has not started."""

    request_id: str


@dataclass(frozen=True, slots=True)
class OutcomeQuery:
    """Requests the outcome of a call.

    An agent that has not received the call rejects it permanently. ``after``
    is as in ``CallRequest``. With ``peek`` the agent responds at once, also
    while the call runs, and rejects nothing.
    """

    request_id: str
    after: int = 0
    peek: bool = False
