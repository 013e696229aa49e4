"""Queries agents for the outcome of a request whose outcome was unknown.

Agents only look up the request, so a query changes nothing. "Not run" is
passed on only if the caller's link proves that no other agent could have run
the request; otherwise "not run" from one agent confirms nothing.
"""

from dataclasses import dataclass, field
from typing import Callable

from hyssopring.clock import Clock
from hyssopring.entry.calls import Answer, Links
from hyssopring.errors import ErrorKind, Failure
from hyssopring.membership import AgentRecord, Fleet
from hyssopring.outcomes import CallOutcome
from hyssopring.protocol.messages import CallResponse, OutcomeQuery

__all__ = ('RUNNING', 'AnswerCallback', 'Inquiries', 'Inquiry')

_RESPONSE_TIMEOUT_MS = 1000.0
_MAX_AGENTS = 64
_MAX_OPEN = 1000
_ACCEPTED = 202

AnswerCallback = Callable[[Answer], None]

RUNNING = Answer(_ACCEPTED, body=b'{"outcome": "running"}\n')


@dataclass(frozen=True, slots=True)
class Inquiry:
    """A caller's inquiry about a request.

    Attributes:
        request_id: The request whose outcome is unknown.
        agent_id: The agent to query, or empty for all connected agents.
        is_final: Whether "not run" from that agent is final.
    """

    request_id: str
    agent_id: str = ''
    is_final: bool = False


@dataclass(slots=True)
class _OpenInquiry:
    """An inquiry that awaits responses on the connections ``generations``."""

    inquiry: Inquiry
    done: AnswerCallback
    deadline: float
    generations: set[int] = field(default_factory=set)


class Inquiries:
    """Open inquiries of callers."""

    def __init__(self, clock: Clock, fleet: Fleet, links: Links) -> None:
        """Start without inquiries."""
        self._clock = clock
        self._fleet = fleet
        self._links = links
        self._open: list[_OpenInquiry] = []

    @property
    def is_busy(self) -> bool:
        """Whether any inquiry is open."""
        return bool(self._open)

    def ask(self, inquiry: Inquiry, done: AnswerCallback) -> None:
        """Query the agents; call ``done`` once, with the caller's answer."""
        if len(self._open) >= _MAX_OPEN:
            done(
                _build_failure_answer(
                    ErrorKind.OVERLOADED, 'too many inquiries'
                )
            )
            return
        open_inquiry = _OpenInquiry(
            inquiry, done, self._clock.now() + _RESPONSE_TIMEOUT_MS
        )
        query = OutcomeQuery(inquiry.request_id, peek=True)
        for record in self._agents_to_query(inquiry):
            if self._links.send(record.agent_id, query):
                open_inquiry.generations.add(record.generation)
        self._open.append(open_inquiry)
        self._finish_if_overdue(open_inquiry)

    def on_response(self, record: AgentRecord, response: CallResponse) -> bool:
        """Handle an agent's response; False if no inquiry awaits it."""
        matching = [
            open_inquiry
            for open_inquiry in self._open
            if open_inquiry.inquiry.request_id == response.request_id
            and record.generation in open_inquiry.generations
        ]
        for open_inquiry in matching:
            open_inquiry.generations.discard(record.generation)
            answer = _build_answer(open_inquiry.inquiry, response)
            if answer is None:
                self._finish_if_overdue(open_inquiry)
            else:
                self._finish(open_inquiry, answer)
        return bool(matching)

    def tick(self) -> None:
        """Fail the inquiries whose timeout has passed."""
        for open_inquiry in tuple(self._open):
            self._finish_if_overdue(open_inquiry)

    def _agents_to_query(self, inquiry: Inquiry) -> list[AgentRecord]:
        if not inquiry.agent_id:
            return list(self._fleet.agents[:_MAX_AGENTS])
        record = self._fleet.agent(inquiry.agent_id)
        return [] if record is None else [record]

    def _finish_if_overdue(self, open_inquiry: _OpenInquiry) -> None:
        if (
            open_inquiry.generations
            and self._clock.now() < open_inquiry.deadline
        ):
            return
        failure = _build_failure_answer(
            ErrorKind.OUTCOME_UNKNOWN, 'no agent remembers it'
        )
        self._finish(open_inquiry, failure)

    def _finish(self, open_inquiry: _OpenInquiry, answer: Answer) -> None:
        self._open.remove(open_inquiry)
        open_inquiry.done(answer)


def _build_failure_answer(kind: ErrorKind, detail: str) -> Answer:
    failure = Failure(kind, detail)
    return Answer(failure.answer.status, failure=failure)


def _build_answer(inquiry: Inquiry, response: CallResponse) -> Answer | None:
    """Return the answer that a response determines, or None."""
    outcome = CallOutcome.from_wire(response.outcome)
    if outcome is CallOutcome.ANSWERED:
        return Answer(response.status, response.headers, response.body)
    if outcome is CallOutcome.RUNNING:
        return RUNNING
    kind = ErrorKind.from_wire(response.error)
    if outcome is CallOutcome.FAILED:
        return _build_failure_answer(kind, response.detail)
    if outcome is CallOutcome.NOT_RUN and inquiry.is_final:
        return _build_failure_answer(kind, response.detail)
    return None
