"""Callers' requests to backend servers, and what became of them."""

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
