"""The calls of one entry: values, and the ports to the world around it."""

import enum
from dataclasses import dataclass, field
from typing import Protocol

from hyssopring.entry.claims import ClaimRow
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
    """The whole final answer for a caller.

    Attributes:
        ask_agent: When the outcome is unknown, the agent to ask later.
        ask_id: And the id under which it knows the call.
        ask_is_final: Whether nobody else could have run it.
    """

    status: int
    headers: tuple[Header, ...] = ()
    body: bytes = b''
    failure: Failure | None = None
    ask_agent: str = ''
    ask_id: str = ''
    ask_is_final: bool = False


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
        request_id: The id under which the agent knows the call; another
            call's when this one follows it under the same key.
        backend: Whose load it counts to, None when it follows.
        incarnation: The run of the agent that has the call in its memory.
        after: The agent's last heartbeat heard before it was sent.
        generation: Connection that an answer is taken from.
        changed_at: When ``phase`` last changed.
        is_recalled: The agent was asked to give it back if it still waits.
    """

    request_id: str
    backend: BackendView | None
    agent_id: str
    incarnation: str
    after: int
    generation: int
    sent_at: float
    changed_at: float
    phase: AttemptPhase = AttemptPhase.SENT
    is_recalled: bool = False

    @classmethod
    def from_backend(
        cls,
        request_id: str,
        backend: BackendView,
        now: float,
    ) -> 'Attempt':
        """Return an attempt at a backend server, on its open connection."""
        record = backend.agent
        return cls(
            request_id,
            backend,
            record.agent_id,
            record.incarnation,
            record.sequence,
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
        row: The claim of the call's key, when it has one.
        moves: How often the call has tried to take over its key.
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
    row: ClaimRow | None = None
    moves: int = 0
    last_attempt: Attempt | None = None

    def is_only_at(self, attempt: Attempt) -> bool:
        """Whether no other attempt than this one may have run the call."""
        is_own = attempt.request_id == self.call.request_id
        return is_own and not self.idempotent

    def is_claimed_for(self, incarnation: str) -> bool:
        """Whether the call may be sent to this run of an agent."""
        if self.idempotent or not self.call.key:
            return True
        row = self.row
        return (
            row is not None
            and row.claim.request_id == self.call.request_id
            and row.claim.incarnation == incarnation
        )

    def attempt_on(
        self,
        record: AgentRecord,
        request_id: str,
    ) -> Attempt | None:
        """Return the open attempt that this connection speaks for."""
        for attempt in self.attempts:
            if attempt.request_id == request_id and attempt.is_from(record):
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
