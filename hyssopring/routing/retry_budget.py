"""Limit the retries and hedges of an entry."""

from typing import Final

__all__ = ('RetryBudget',)

_SHARE_PER_SUCCESS: Final = 0.1
_MAX_TOKENS: Final = 20.0


class RetryBudget:
    """Token bucket that allows retries and hedges per successful call.

    It prevents retry storms: when most calls fail, few successes refill the
    budget, so that retries cannot multiply the load of a service that is
    overloaded or just recovering.
    """

    def __init__(
        self,
        share: float = _SHARE_PER_SUCCESS,
        max_tokens: float = _MAX_TOKENS,
    ) -> None:
        """Create a budget that is half full.

        Args:
            share: Extra sends earned per successful call.
            max_tokens: Largest number of extra sends in a burst.
        """
        self._share = share
        self._max_tokens = max_tokens
        self._tokens = max_tokens / 2

    def on_success(self) -> None:
        """Add the share of an extra send that a successful call earns."""
        self._tokens = min(self._tokens + self._share, self._max_tokens)

    def try_spend(self) -> bool:
        """Spend one extra send; return False if none is left."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
