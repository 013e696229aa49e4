"""The calls of one entry: values, and the ports to the world around it."""

import enum
from dataclasses import dataclass, field
from typing import Protocol

from hyssopring.errors import Failure
from hyssopring.membership import AgentRecord, BackendView
from hyssopring.protocol.messages import CallRequest, Header, Message

__all__ = (
    'Answer',
    'Attempt',
    'AttemptPhase',
    'Call',
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


class AttemptPhase(enum.Enum):
    """What an entry knows of one sending of a call.

    SENT: on an open connection. LOST: that connection is gone; the call may
    have run. ASKED: the agent is back and was asked what became of it.
    """

    SENT = 'sent'
    LOST = 'lost'
    ASKED = 'asked'


@dataclass(slots=True)
class Attempt:
    """One sending of a call to one agent.

    Attributes:
        incarnation: The run of the agent that has the call in its memory.
        generation: Connection that an answer is taken from.
        changed_at: When ``phase`` last changed.
    """

    backend: BackendView
    agent_id: str
    incarnation: str
    generation: int
    sent_at: float
    changed_at: float
    phase: AttemptPhase = AttemptPhase.SENT

    @classmethod
    def from_backend(cls, backend: BackendView, now: float) -> 'Attempt':
        """Return an attempt at a backend server, on its open connection."""
        record = backend.agent
        return cls(
            backend,
            record.agent_id,
            record.incarnation,
            record.generation,
            now,
            now,
        )

    def is_from(self, record: AgentRecord) -> bool:
        """Whether this connection's messages are about this attempt."""
        return (
            self.agent_id == record.agent_id
            and self.generation == record.generation
        )

    def change(self, phase: AttemptPhase, generation: int, now: float) -> None:
        """Enter a phase, on this connection (0: on none)."""
        self.phase = phase
        self.generation = generation
        self.changed_at = now


@dataclass(slots=True)
class PendingCall:
    """A call that has not had its answer.

    Attributes:
        attempts: Sendings whose outcome is open; several only when idempotent.
        sent_count: All sendings so far.
        tried: Incarnations of the agents that it was sent to.
        may_have_run: A closed attempt ended without certainty, so "not run"
            may not be said any more.
    """

    call: Call
    request: CallRequest
    idempotent: bool
    started_at: float
    attempts: list[Attempt] = field(default_factory=list)
    sent_count: int = 0
    tried: list[str] = field(default_factory=list)
    may_have_run: bool = False

    def attempt_on(self, record: AgentRecord) -> Attempt | None:
        """Return the open attempt that this connection speaks for."""
        for attempt in self.attempts:
            if attempt.is_from(record):
                return attempt
        return None


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
