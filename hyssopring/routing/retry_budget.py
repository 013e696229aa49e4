"""Bounds how many extra sends an entry makes."""

from typing import Final

__all__ = ('RetryBudget',)

_SHARE: Final = 0.1
_MAX_SAVED: Final = 20.0


class RetryBudget:
    """Retries and hedges as a share of successes.

    Guards against the retry storm: when most calls fail, few successes
    fill the budget, so that retries cannot multiply the load of a service
    that is already overloaded or just coming back.
    """

    def __init__(
        self,
        share: float = _SHARE,
        max_saved: float = _MAX_SAVED,
    ) -> None:
        """Allow ``share`` extra sends per success, saved up to a burst."""
        self._share = share
        self._max_saved = max_saved
        self._saved = max_saved / 2

    def on_success(self) -> None:
        """Earn a share of one extra send."""
        self._saved = min(self._saved + self._share, self._max_saved)

    def try_spend(self) -> bool:
        """Spend one extra send; False when there is none to spend."""
        if self._saved < 1:
            return False
        self._saved -= 1
        return True
