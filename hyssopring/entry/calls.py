"""The calls of one entry: values, and the ports to the world around it."""

import enum
from dataclasses import dataclass, field
from typing import Protocol

from hyssopring.errors import Failure
from hyssopring.membership import BackendView
from hyssopring.protocol.messages import CallRequest, Header, Message

__all__ = (
    'Answer',
    'Call',
    'CallPhase',
    'Callers',
    'Links',
    'PendingCall',
)


@dataclass(frozen=True, slots=True)
class Call:
    """A caller's request as it came in.

    Attributes:
        key: The caller's idempotency key, or empty.
        deadline: Clock milliseconds after which the caller is gone.
    """

    request_id: str
    service_name: str
    method: str
    path: str
    headers: tuple[Header, ...]
    body: bytes
    deadline: float
    key: str = ''


@dataclass(frozen=True, slots=True)
class Answer:
    """The whole final answer for a caller."""

    status: int
    headers: tuple[Header, ...] = ()
    body: bytes = b''
    failure: Failure | None = None


class CallPhase(enum.Enum):
    """Where a pending call stands."""

    CLAIMING = 'claiming'
    SENT = 'sent'
    ASKING = 'asking'


@dataclass(slots=True)
class PendingCall:
    """A call that has not had its answer.

    Attributes:
        generation: Connection generation that the request went out on.
        asked_about: The earlier request id whose outcome is awaited, when
            this call is a resubmission under the same key.
    """

    call: Call
    request: CallRequest
    idempotent: bool
    started_at: float
    phase: CallPhase = CallPhase.SENT
    backend: BackendView | None = None
    agent_id: str = ''
    incarnation: str = ''
    generation: int = 0
    attempts: int = 0
    asked_about: str = ''
    tried: list[str] = field(default_factory=list)


class Links(Protocol):
    """Sends messages to connected agents."""

    def send(self, agent_id: str, message: Message) -> bool:
        """Write a message; False if the agent is not connected."""

    def drop(self, agent_id: str) -> None:
        """Abort an agent's connection; it will dial again."""


class Callers(Protocol):
    """Gives callers their answers."""

    def answer(self, request_id: str, answer: Answer) -> None:
        """Give the final answer of one request to its own caller."""
