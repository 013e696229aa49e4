"""The latest routing and placement decisions, kept for ``explain``.

Each decision is one numbered log event, and the same call adds it to these
ring buffers, so that ``explain`` and the log agree. The buffers are bounded:
they hold recent events, the log holds all.
"""

import time
from collections import deque
from dataclasses import asdict, dataclass
from typing import Any, Final, Mapping

from hyssopring.logs import Event, Fields

__all__ = ('Decision', 'DecisionLog')

_MAX_REQUEST_EVENTS = 8192
_MAX_FAILURE_EVENTS = 4096
_MAX_TASK_EVENTS = 8192
_SUBJECT_FIELDS: Final = ('request', 'task', 'job')
# Have a ring buffer of their own, so that successful requests don't evict them.
_FAILURE_EVENTS: Final = frozenset(
    (
        Event.REQUEST_FAILED,
        Event.REQUEST_REFUSED,
        Event.REQUEST_RETRIED,
        Event.REQUEST_OUTCOME_ASKED,
        Event.REQUEST_DUPLICATE_REFUSED,
    )
)


@dataclass(frozen=True, slots=True)
class Decision:
    """One decision about one request, task or job.

    Attributes:
        at: Seconds since 1970, as in the log.
        subject: Id of the request, task or job.
        event: Number of the log event.
        what: Name of the log event.
        where: Agent that was chosen or that answered, or empty.
        why: The reason; for an answer its status, error kind and duration.
    """

    at: float
    subject: str
    event: int
    what: str
    where: str
    why: str


@dataclass(frozen=True, slots=True)
class _LoggedEvent:
    """An event as logged; formatted only when ``explain`` needs it."""

    at: float
    subject: str
    event: Event
    fields: Fields


class DecisionLog:
    """Bounded ring buffers of decisions, oldest first."""

    def __init__(self) -> None:
        """Start empty."""
        self._requests: deque[_LoggedEvent] = deque(maxlen=_MAX_REQUEST_EVENTS)
        self._failures: deque[_LoggedEvent] = deque(maxlen=_MAX_FAILURE_EVENTS)
        self._tasks: deque[_LoggedEvent] = deque(maxlen=_MAX_TASK_EVENTS)

    def record(self, event: Event, fields: Fields) -> None:
        """Add an event if its subject is a request, a task or a job."""
        subject = _subject_of(fields)
        if subject:
            logged = _LoggedEvent(time.time(), subject, event, fields)
            self._ring_for(event, fields).append(logged)

    def explain(self, subject: str) -> list[Mapping[str, Any]]:
        """Return the decisions on a request, task or job, oldest first."""
        matches = [
            logged
            for ring in (self._requests, self._failures, self._tasks)
            for logged in ring
            if logged.subject == subject
        ]
        matches.sort(key=lambda logged: logged.at)
        return [asdict(_build_decision(logged)) for logged in matches]

    def _ring_for(self, event: Event, fields: Fields) -> deque[_LoggedEvent]:
        if 'request' not in fields:
            return self._tasks
        return self._failures if event in _FAILURE_EVENTS else self._requests


def _build_decision(logged: _LoggedEvent) -> Decision:
    """Return a logged event as a readable decision."""
    value_by_name = {
        name: field_value
        for name, field_value in logged.fields.items()
        if name not in {'agent', 'why', *_SUBJECT_FIELDS}
    }
    details = ' '.join(
        f'{name}={field_value}' for name, field_value in value_by_name.items()
    )
    why = str(logged.fields.get('why', ''))
    return Decision(
        at=logged.at,
        subject=logged.subject,
        event=logged.event.value,
        what=logged.event.name,
        where=str(logged.fields.get('agent', '')),
        why=f'{why} ({details})' if why and details else why or details,
    )


def _subject_of(fields: Fields) -> str:
    for field_name in _SUBJECT_FIELDS:
        subject = fields.get(field_name)
        if subject is not None:
            return str(subject)
    return ''
