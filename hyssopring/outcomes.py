"""Outcomes of calls to backend servers."""

import enum

__all__ = ('CallOutcome',)


class CallOutcome(enum.Enum):
    """Outcome of a call, in ``CallResponse.outcome``.

    NOT_RUN is final: the agent rejects later copies of the request. RUNNING
    (which includes waiting for a slot) and UNSEEN are not final; they are sent
    only in response to an ``OutcomeQuery`` with ``peek``.
    """

    ANSWERED = 'answered'
    NOT_RUN = 'not-run'
    FAILED = 'failed'
    UNKNOWN = 'unknown'
    RUNNING = 'running'
    UNSEEN = 'unseen'

    @classmethod
    def from_wire(cls, text: str) -> 'CallOutcome':
        """Return the outcome of a text, UNKNOWN if it is not an outcome."""
        try:
            return cls(text)
        except ValueError:
            return cls.UNKNOWN
