"""How a worker's life ended, as its agent saw it."""

from dataclasses import dataclass
from typing import Final, Iterable

from hyssopring.clock import MILLIS_PER_SECOND
from hyssopring.jobs.attempts import Attempt

__all__ = ('PastIncarnation',)

# An attempt that was started this long before the worker was last heard of
# has not crashed it by being started.
_STARTING_MS: Final = MILLIS_PER_SECOND
# A start without an answer may have arrived if the worker had answered
# another call this long before.
_ALIVE_MS: Final = 600.0


@dataclass(frozen=True, slots=True)
class PastIncarnation:
    """A worker's life that is over.

    Attributes:
        heard_at: When the worker answered last.
        failing_since: When the first look after that failed, None if none has.
        is_planned: It had said that it leaves.
    """

    boot: str
    heard_at: float
    failing_since: float | None
    is_planned: bool

    def suspects(self, attempts: Iterable[Attempt]) -> list[Attempt]:
        """Return the attempts whose start may have ended this life."""
        if self.is_planned:
            return []
        return [attempt for attempt in attempts if self._is_suspect(attempt)]

    def _is_suspect(self, attempt: Attempt) -> bool:
        if not attempt.tries:
            # A former agent ordered it: when it was started is not known.
            return False
        if self.heard_at - attempt.ordered_at >= _STARTING_MS:
            return False
        return attempt.confirmed_at is not None or self._may_have_come(attempt)

    def _may_have_come(self, attempt: Attempt) -> bool:
        """Whether an unanswered start may have reached the worker alive.

        One that was repeated has had time to be listed.
        """
        if attempt.tries > 1 or attempt.ordered_at - self.heard_at > _ALIVE_MS:
            return False
        failing_since = self.failing_since
        return failing_since is None or attempt.ordered_at < failing_since
