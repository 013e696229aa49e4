"""The end of a worker's incarnation, and which starts may have caused it."""

from dataclasses import dataclass
from typing import Final, Iterable

from hyssopring.clock import MILLIS_PER_SECOND
from hyssopring.jobs.attempts import Attempt

__all__ = ('PastIncarnation',)

# A start cannot be the cause of a crash if the worker still answered this long
# after it.
_CRASH_WINDOW_MS: Final = MILLIS_PER_SECOND
# An unanswered start may have arrived if the worker had answered another
# request at most this long before.
_REACHABLE_MS: Final = 600.0


@dataclass(frozen=True, slots=True)
class PastIncarnation:
    """An incarnation of a worker that has ended.

    Attributes:
        boot: ID of the incarnation.
        answered_at: When the worker last answered.
        failing_since: When the first poll after that failed, None if none did.
        is_planned: Whether the worker had announced that it leaves.
    """

    boot: str
    answered_at: float
    failing_since: float | None
    is_planned: bool

    def suspects(self, attempts: Iterable[Attempt]) -> list[Attempt]:
        """Return the attempts whose start may have crashed the worker."""
        if self.is_planned:
            return []
        return [attempt for attempt in attempts if self._is_suspect(attempt)]

    def _is_suspect(self, attempt: Attempt) -> bool:
        if not attempt.tries:
            # A former agent started it; the time of its start is unknown.
            return False
        if self.answered_at - attempt.ordered_at >= _CRASH_WINDOW_MS:
            return False
        return attempt.confirmed_at is not None or self._may_have_arrived(
            attempt
        )

    def _may_have_arrived(self, attempt: Attempt) -> bool:
        """Return whether an unanswered start may have reached the worker.

        A start that was repeated would have been listed by then.
        """
        if (
            attempt.tries > 1
            or attempt.ordered_at - self.answered_at > _REACHABLE_MS
        ):
            return False
        failing_since = self.failing_since
        return failing_since is None or attempt.ordered_at < failing_since
