"""The closed list of error kinds and the response of each."""

import enum
from dataclasses import dataclass
from types import MappingProxyType
from typing import Any, Final, Mapping

from hyssopring.clock import MILLIS_PER_SECOND

__all__ = (
    'ANSWERS_BY_KIND',
    'ErrorAnswer',
    'ErrorKind',
    'Failure',
    'RunState',
)


class RunState(enum.Enum):
    """Whether the failed request was executed."""

    NOT_RUN = 'not-run'
    RAN = 'ran'
    UNKNOWN = 'unknown'


class ErrorKind(enum.Enum):
    """The kinds of failure of requests and of operators' calls."""

    MALFORMED = 'malformed'
    TOO_LARGE = 'too-large'
    UNAUTHORIZED = 'unauthorized'
    NOT_FOUND = 'not-found'
    UNKNOWN_SERVICE = 'unknown-service'
    INVALID = 'invalid'
    CONFLICT = 'conflict'
    IMPOSSIBLE = 'impossible'
    QUOTA = 'quota'
    OVERLOADED = 'overloaded'
    NO_BACKEND = 'no-backend'
    DEADLINE = 'deadline'
    STOPPING = 'stopping'
    STORE_UNAVAILABLE = 'store-unavailable'
    BACKEND_FAILED = 'backend-failed'
    TRUNCATED = 'truncated'
    OUTCOME_UNKNOWN = 'outcome-unknown'
    PROTOCOL = 'protocol'
    INTERNAL = 'internal'

    @classmethod
    def from_wire(cls, text: str) -> 'ErrorKind':
        """Return the kind of a text, PROTOCOL if it is unknown."""
        try:
            return cls(text)
        except ValueError:
            return cls.PROTOCOL


@dataclass(frozen=True)
class ErrorAnswer:
    """The response of an error kind.

    Attributes:
        status: HTTP status code.
        run_state: Whether the request was executed.
        retry_after_ms: Delay before a retry, None if a retry cannot help.
    """

    status: int
    run_state: RunState
    retry_after_ms: int | None = None


ANSWERS_BY_KIND: Final[Mapping[ErrorKind, ErrorAnswer]] = MappingProxyType(
    {
        ErrorKind.MALFORMED: ErrorAnswer(400, RunState.NOT_RUN),
        ErrorKind.TOO_LARGE: ErrorAnswer(413, RunState.NOT_RUN),
        ErrorKind.UNAUTHORIZED: ErrorAnswer(401, RunState.NOT_RUN),
        ErrorKind.NOT_FOUND: ErrorAnswer(404, RunState.NOT_RUN),
        ErrorKind.UNKNOWN_SERVICE: ErrorAnswer(404, RunState.NOT_RUN),
        ErrorKind.INVALID: ErrorAnswer(422, RunState.NOT_RUN),
        ErrorKind.CONFLICT: ErrorAnswer(409, RunState.NOT_RUN),
        ErrorKind.IMPOSSIBLE: ErrorAnswer(422, RunState.NOT_RUN),
        ErrorKind.QUOTA: ErrorAnswer(429, RunState.NOT_RUN, 1000),
        ErrorKind.OVERLOADED: ErrorAnswer(503, RunState.NOT_RUN, 500),
        ErrorKind.NO_BACKEND: ErrorAnswer(503, RunState.NOT_RUN, 1000),
        ErrorKind.DEADLINE: ErrorAnswer(504, RunState.NOT_RUN, 500),
        ErrorKind.STOPPING: ErrorAnswer(503, RunState.NOT_RUN, 100),
        ErrorKind.STORE_UNAVAILABLE: ErrorAnswer(503, RunState.NOT_RUN, 2000),
        ErrorKind.BACKEND_FAILED: ErrorAnswer(502, RunState.UNKNOWN, 1000),
        ErrorKind.TRUNCATED: ErrorAnswer(502, RunState.RAN),
        ErrorKind.OUTCOME_UNKNOWN: ErrorAnswer(504, RunState.UNKNOWN, 1000),
        ErrorKind.PROTOCOL: ErrorAnswer(502, RunState.UNKNOWN, 1000),
        ErrorKind.INTERNAL: ErrorAnswer(500, RunState.UNKNOWN),
    }
)


@dataclass(frozen=True)
class Failure:
    """An error with its kind and a description.

    Attributes:
        kind: Kind of the error.
        detail: Cause in one line, for people.
        retry_after_ms: Overrides the delay of the kind's response.
    """

    kind: ErrorKind
    detail: str = ''
    retry_after_ms: int | None = None

    @property
    def answer(self) -> ErrorAnswer:
        """The response of the kind, with the delay of this failure."""
        default = ANSWERS_BY_KIND[self.kind]
        if self.retry_after_ms is None:
            return default
        return ErrorAnswer(
            default.status, default.run_state, self.retry_after_ms
        )

    @property
    def document(self) -> dict[str, Any]:
        """The JSON document of the response."""
        answer = self.answer
        return {
            'error': self.kind.value,
            'ran': answer.run_state.value,
            'detail': self.detail,
            'retry_after_ms': answer.retry_after_ms,
        }

    @property
    def retry_after_s(self) -> int | None:
        """Seconds before a retry, None if a retry cannot help."""
        delay_ms = self.answer.retry_after_ms
        return None if delay_ms is None else -(-delay_ms // MILLIS_PER_SECOND)
