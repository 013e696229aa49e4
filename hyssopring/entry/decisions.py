"""The latest routing and placement decisions, kept for ``explain``.

Every decision is one numbered log line; the same call feeds these rings, so
what an operator is told and what the log says cannot differ. The rings are
bounded: an entry explains what is recent, its log the rest.
"""

import time
from collections import deque
from dataclasses import asdict, dataclass
from typing import Any, Final, Mapping

from hyssopring.logs import Event, Fields

__all__ = ('Decision', 'DecisionLog')

_REQUESTS = 8192
_TROUBLES = 4096
_TASKS = 8192
_SUBJECTS: Final = ('request', 'task', 'job')
# Kept apart, so that a flood of good requests does not push them out.
_TROUBLE: Final = frozenset(
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
        event: Number of the log event, ``what`` its name.
        where: Agent that was chosen or has answered, or empty.
        why: The reason; for an answer its status, error kind and duration.
    """

    at: float
    subject: str
    event: int
    what: str
    where: str
    why: str


@dataclass(frozen=True, slots=True)
class _KeptEvent:
    """An event as it was logged; made readable only when asked for."""

    at: float
    subject: str
    event: Event
    fields: Fields


class DecisionLog:
    """Bounded rings of decisions, oldest first."""

    def __init__(self) -> None:
        """Start empty."""
        self._requests: deque[_KeptEvent] = deque(maxlen=_REQUESTS)
        self._troubles: deque[_KeptEvent] = deque(maxlen=_TROUBLES)
        self._tasks: deque[_KeptEvent] = deque(maxlen=_TASKS)

    def take(self, event: Event, fields: Fields) -> None:
        """Keep an event that is about a request, a task or a job."""
        subject = _subject(fields)
        if subject:
            kept = _KeptEvent(time.time(), subject, event, fields)
            self._ring(event, fields).append(kept)

    def explain(self, subject: str) -> list[Mapping[str, Any]]:
        """Return what is kept of one request, task or job, oldest first."""
        found = [
            kept
            for ring in (self._requests, self._troubles, self._tasks)
            for kept in ring
            if kept.subject == subject
        ]
        found.sort(key=lambda kept: kept.at)
        return [asdict(_decision(kept)) for kept in found]

    def _ring(self, event: Event, fields: Fields) -> deque[_KeptEvent]:
        if 'request' not in fields:
            return self._tasks
        return self._troubles if event in _TROUBLE else self._requests


def _decision(kept: _KeptEvent) -> Decision:
    """Make a kept event readable."""
    shown = {
        name: found
        for name, found in kept.fields.items()
        if name not in {'agent', 'why', *_SUBJECTS}
    }
    rest = ' '.join(f'{name}={found}' for name, found in shown.items())
    why = str(kept.fields.get('why', ''))
    return Decision(
        at=kept.at,
        subject=kept.subject,
        event=kept.event.value,
        what=kept.event.name,
        where=str(kept.fields.get('agent', '')),
        why=f'{why} ({rest})' if why and rest else why or rest,
    )


def _subject(fields: Fields) -> str:
    for name in _SUBJECTS:
        subject = fields.get(name)
        if subject is not None:
            return str(subject)
    return ''
