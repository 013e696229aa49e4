"""What copies need to know of the run times of earlier tasks."""

from typing import Protocol

__all__ = ('RunTimeSource',)


class RunTimeSource(Protocol):
    """Predicts run times by key; see ``hyssopring.learning.RunTimes``."""

    def expected_ms(self, key: str, estimate_ms: float) -> float:
        """Return the expected run time.

        Args:
            estimate_ms: The caller's estimate, 0 if unknown.
        """

    def quantile_ms(
        self, key: str, estimate_ms: float, share: float
    ) -> float | None:
        """Return the time within which a share of the tasks ends.

        Returns:
            None if too few ends are known.
        """
