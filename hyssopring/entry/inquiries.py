"""Asks agents what became of a request whose outcome was unknown.

The agents only look, so that asking changes nothing. "Not run" is passed on
only when the caller's link shows that this agent was the last that could have
run the request; another agent's "not run" would be no certainty.
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

_WAIT_MS = 1000.0
_MAX_AGENTS = 64
_MAX_OPEN = 1000
_ACCEPTED = 202

AnswerCallback = Callable[[Answer], None]

RUNNING = Answer(_ACCEPTED, body=b'{"outcome": "running"}\n')


@dataclass(frozen=True, slots=True)
class Inquiry:
    """What a caller asks about.

    Attributes:
        agent_id: The agent to ask, or empty for all that are connected.
        is_final: Whether that agent's "not run" is final.
    """

    request_id: str
    agent_id: str = ''
    is_final: bool = False


@dataclass(slots=True)
class _Open:
    inquiry: Inquiry
    done: AnswerCallback
    deadline: float
    generations: set[int] = field(default_factory=set)


class Inquiries:
    """Open inquiries of callers."""

    def __init__(self, clock: Clock, fleet: Fleet, links: Links) -> None:
        """Start with none."""
        self._clock = clock
        self._fleet = fleet
        self._links = links
        self._open: list[_Open] = []

    @property
    def is_busy(self) -> bool:
        """Whether a caller waits."""
        return bool(self._open)

    def ask(self, inquiry: Inquiry, done: AnswerCallback) -> None:
        """Call ``done`` once, with the answer for the caller."""
        if len(self._open) >= _MAX_OPEN:
            done(_failed(ErrorKind.OVERLOADED, 'too many inquiries'))
            return
        opened = _Open(inquiry, done, self._clock.now() + _WAIT_MS)
        query = OutcomeQuery(inquiry.request_id, peek=True)
        for record in self._asked(inquiry):
            if self._links.send(record.agent_id, query):
                opened.generations.add(record.generation)
        self._open.append(opened)
        self._expire(opened)

    def on_response(self, record: AgentRecord, response: CallResponse) -> bool:
        """Take an agent's response; False if nobody has asked for it."""
        found = [
            opened
            for opened in self._open
            if opened.inquiry.request_id == response.request_id
            and record.generation in opened.generations
        ]
        for opened in found:
            opened.generations.discard(record.generation)
            answer = _answer(opened.inquiry, response)
            if answer is None:
                self._expire(opened)
            else:
                self._finish(opened, answer)
        return bool(found)

    def tick(self) -> None:
        """End the inquiries that got no answer in time."""
        for opened in tuple(self._open):
            self._expire(opened)

    def _asked(self, inquiry: Inquiry) -> list[AgentRecord]:
        if not inquiry.agent_id:
            return list(self._fleet.agents[:_MAX_AGENTS])
        record = self._fleet.agent(inquiry.agent_id)
        return [] if record is None else [record]

    def _expire(self, opened: _Open) -> None:
        if opened.generations and self._clock.now() < opened.deadline:
            return
        failure = _failed(ErrorKind.OUTCOME_UNKNOWN, 'no agent remembers it')
        self._finish(opened, failure)

    def _finish(self, opened: _Open, answer: Answer) -> None:
        self._open.remove(opened)
        opened.done(answer)


def _failed(kind: ErrorKind, detail: str) -> Answer:
    failure = Failure(kind, detail)
    return Answer(failure.answer.status, failure=failure)


def _answer(inquiry: Inquiry, response: CallResponse) -> Answer | None:
    """Return what an agent's response settles, None if it settles nothing."""
    outcome = CallOutcome.from_wire(response.outcome)
    if outcome is CallOutcome.ANSWERED:
        return Answer(response.status, response.headers, response.body)
    if outcome is CallOutcome.RUNNING:
        return RUNNING
    kind = ErrorKind.from_wire(response.error)
    if outcome is CallOutcome.FAILED:
        return _failed(kind, response.detail)
    if outcome is CallOutcome.NOT_RUN and inquiry.is_final:
        return _failed(kind, response.detail)
    return None
