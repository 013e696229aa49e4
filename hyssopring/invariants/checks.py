"""Checks a promise at the step that would break it."""

from hyssopring.logs import Event, log_event
from hyssopring.metrics import Metrics

__all__ = ('InvariantError', 'Invariants')


class InvariantError(AssertionError):
    """A promise was about to be broken, in a run that stops at the first."""


class Invariants:
    """Counts, logs and refuses steps that would break a promise.

    Tests set ``is_strict`` so that a violation fails the run at once; a
    daemon goes on and refuses only the offending step.
    """

    is_strict = False

    def __init__(self, metrics: Metrics) -> None:
        """Count checks and violations in ``metrics``."""
        self._metrics = metrics

    def check(self, holds: bool, promise: str, subject: object) -> bool:
        """Return whether the promise holds; report it if it does not."""
        self._metrics.count('invariant_checks_total')
        if holds:
            return True
        self._metrics.count('invariant_violations_total')
        log_event(Event.INVARIANT_VIOLATED, promise=promise, subject=subject)
        if self.is_strict:
            raise InvariantError(f'{promise}: {subject}')
        return False
