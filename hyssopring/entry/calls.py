"""Calls, their attempts and answers, and the interfaces that carry them."""

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
    """A caller's request as received.

    Attributes:
        path: The path below the service's, with the query.
        deadline: Clock milliseconds after which the caller has given up.
        key: The caller's idempotency key, or empty.
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
    """The complete final answer for a caller.

    Attributes:
        status: The HTTP status.
        failure: The error, or None when a backend server answered.
        outcome_agent_id: The agent to query later, if the outcome is unknown.
        outcome_request_id: The request id by which that agent knows the call.
        is_outcome_final: Whether no other agent could have run the call.
    """

    status: int
    headers: tuple[Header, ...] = ()
    body: bytes = b''
    failure: Failure | None = None
    outcome_agent_id: str = ''
    outcome_request_id: str = ''
    is_outcome_final: bool = False


class AttemptPhase(enum.Enum):
    """State of an attempt, as far as the entry knows.

    Attributes:
        SENT: Sent on a connection that is still open.
        LOST: The connection was closed; the call may have run.
        ASKED: The agent has reconnected and was queried for the outcome.
    """

    SENT = 'sent'
    LOST = 'lost'
    ASKED = 'asked'


@dataclass(slots=True)
class Attempt:
    """One attempt of a call at one agent.

    A call whose idempotency key is claimed by an earlier call has an attempt
    that follows the earlier call: it sends nothing and awaits its outcome.

    Attributes:
        request_id: The id by which the agent knows the call; that of the
            earlier call if this attempt follows it.
        backend: The backend server whose load includes the attempt, or None
            if the attempt follows another call.
        incarnation: The agent incarnation that has a record of the call.
        after: Sequence number of the agent's last heartbeat received before
            the attempt was sent.
        generation: Connection on which a response is accepted, 0 for none.
        sent_at: When the attempt was sent, in clock milliseconds.
        changed_at: When ``phase`` last changed, in clock milliseconds.
        phase: State of the attempt.
        is_recalled: Whether the agent was asked to return the call unless it
            has started.
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
        now_ms: float,
    ) -> 'Attempt':
        """Return an attempt at a backend server over its open connection."""
        record = backend.agent
        return cls(
            request_id,
            backend,
            record.agent_id,
            record.incarnation,
            record.sequence,
            record.generation,
            now_ms,
            now_ms,
        )

    def is_from(self, record: AgentRecord) -> bool:
        """Whether the attempt accepts messages of this connection."""
        return (
            self.agent_id == record.agent_id
            and self.generation == record.generation
        )

    def change(
        self, phase: AttemptPhase, generation: int, now_ms: float
    ) -> None:
        """Enter a phase; ``generation`` is its connection, 0 for none."""
        self.phase = phase
        self.generation = generation
        self.changed_at = now_ms


@dataclass(slots=True)
class PendingCall:
    """A call without a final answer.

    Attributes:
        request: The message sent to agents, but for its remaining budget.
        idempotent: Whether the service allows the call to run twice.
        started_at: When the call was received, in clock milliseconds.
        attempts: Attempts without a known outcome; several only if the call
            is idempotent.
        sent_count: Number of attempts sent so far.
        tried_incarnations: Agent incarnations that the call was sent to.
        may_have_run: Whether a closed attempt may have run, so that the call
            can no longer be reported as not run.
        claim_row: The claim of the call's key, if there is one.
        claim_moves: How often the call tried to move its claim to another
            agent.
        last_attempt: The latest attempt, open or closed.
    """

    call: Call
    request: CallRequest
    idempotent: bool
    started_at: float
    attempts: list[Attempt] = field(default_factory=list)
    sent_count: int = 0
    tried_incarnations: list[str] = field(default_factory=list)
    may_have_run: bool = False
    claim_row: ClaimRow | None = None
    claim_moves: int = 0
    last_attempt: Attempt | None = None

    def is_only_at(self, attempt: Attempt) -> bool:
        """Whether no other attempt than this one may have run the call."""
        is_own = attempt.request_id == self.call.request_id
        return is_own and not self.idempotent

    def is_claimed_for(self, incarnation: str) -> bool:
        """Whether the call may be sent to this agent incarnation."""
        if self.idempotent or not self.call.key:
            return True
        row = self.claim_row
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
        """Return the open attempt with this id on this connection, if any."""
        for attempt in self.attempts:
            if attempt.request_id == request_id and attempt.is_from(record):
                return attempt
        return None


class Links(Protocol):
    """Sends messages to connected agents."""

    def send(self, agent_id: str, message: Message) -> bool:
        """Write a message; False if the agent is not connected."""

    def drop(self, agent_id: str) -> None:
        """Abort an agent's connection; the agent reconnects."""


class Callers(Protocol):
    """Delivers answers to callers."""

    def answer(self, request_id: str, answer: Answer) -> None:
        """Deliver the final answer of a request to its caller."""
