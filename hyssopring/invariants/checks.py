"""Run-time checks of invariants before the steps that could violate them."""

from hyssopring.logs import Event, log_event
from hyssopring.metrics import Metrics

__all__ = ('InvariantError', 'Invariants')


class InvariantError(AssertionError):
    """An invariant was violated while ``Invariants.is_strict`` is set."""


class Invariants:
    """Checks invariants; counts and logs violations.

    Tests set ``is_strict`` so that a violation raises an error. A daemon
    continues, and the caller of ``check`` rejects only the violating step.
    """

    is_strict = False

    def __init__(self, metrics: Metrics) -> None:
        """Initialize the checks; ``metrics`` counts them and violations."""
        self._metrics = metrics

    def check(self, holds: bool, invariant: str, subject: object) -> bool:
        """Return whether an invariant holds; count and log a violation.

        Args:
            holds: Whether the invariant holds.
            invariant: The invariant as a sentence, for the log.
            subject: What the check is about, for the log.

        Raises:
            InvariantError: The invariant is violated and ``is_strict`` is set.
        """
        self._metrics.count('invariant_checks_total')
        if holds:
            return True
        self._metrics.count('invariant_violations_total')
        log_event(Event.INVARIANT_VIOLATED, promise=invariant, subject=subject)
        if self.is_strict:
            raise InvariantError(f'{invariant}: {subject}')
        return False
