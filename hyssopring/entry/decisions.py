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
_NO_ERROR = 'none'
_SUBJECTS: Final = ('request', 'task', 'job')
# Kept apart, so that a flood of good requests does not push them out.
_TROUBLE: Final = frozenset(
    (
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

    @classmethod
    def from_event(
        cls,
        event: Event,
        subject: str,
        fields: Fields,
    ) -> 'Decision':
        """Take over a log event's fields."""
        shown = {
            name: found
            for name, found in fields.items()
            if name not in {'agent', 'why', *_SUBJECTS}
        }
        rest = ' '.join(f'{name}={found}' for name, found in shown.items())
        why = str(fields.get('why', ''))
        return cls(
            at=time.time(),
            subject=subject,
            event=event.value,
            what=event.name,
            where=str(fields.get('agent', '')),
            why=f'{why} ({rest})' if why and rest else why or rest,
        )


class DecisionLog:
    """Bounded rings of decisions, oldest first."""

    def __init__(self) -> None:
        """Start empty."""
        self._requests: deque[Decision] = deque(maxlen=_REQUESTS)
        self._troubles: deque[Decision] = deque(maxlen=_TROUBLES)
        self._tasks: deque[Decision] = deque(maxlen=_TASKS)

    def take(self, event: Event, fields: Fields) -> None:
        """Keep an event that is about a request, a task or a job."""
        subject = _subject(fields)
        if not subject:
            return
        decision = Decision.from_event(event, subject, fields)
        self._ring(event, fields).append(decision)

    def explain(self, subject: str) -> list[Mapping[str, Any]]:
        """Return what is kept of one request, task or job, oldest first."""
        found = [
            decision
            for ring in (self._requests, self._troubles, self._tasks)
            for decision in ring
            if decision.subject == subject
        ]
        found.sort(key=lambda decision: decision.at)
        return [asdict(decision) for decision in found]

    def _ring(self, event: Event, fields: Fields) -> deque[Decision]:
        if fields.get('request') is None:
            return self._tasks
        has_failed = fields.get('error', _NO_ERROR) != _NO_ERROR
        if has_failed or event in _TROUBLE:
            return self._troubles
        return self._requests


def _subject(fields: Fields) -> str:
    subjects = (fields.get(name) for name in _SUBJECTS)
    return str(next((name for name in subjects if name is not None), ''))
