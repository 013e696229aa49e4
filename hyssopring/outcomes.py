"""What an agent can say of a call."""

import enum

__all__ = ('CallOutcome',)


class CallOutcome(enum.Enum):
    """Outcome of a call, in ``CallResponse.outcome``.

    NOT_RUN is final: the agent refuses a late copy of the request for good.
    RUNNING (also while it waits for a slot) and UNSEEN settle nothing; they
    are said only to a look (``peek``).
    """

    ANSWERED = 'answered'
    NOT_RUN = 'not-run'
    FAILED = 'failed'
    UNKNOWN = 'unknown'
    RUNNING = 'running'
    UNSEEN = 'unseen'

    @classmethod
    def from_wire(cls, text: str) -> 'CallOutcome':
        """Return the outcome; a text that is not known means UNKNOWN."""
        try:
            return cls(text)
        except ValueError:
            return cls.UNKNOWN
