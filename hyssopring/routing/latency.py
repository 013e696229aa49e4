"""Recent latencies of a service, for hedges, stalls and expected times."""

from collections import deque
from typing import Final

__all__ = ('LatencyWindow',)

_KEPT: Final = 500
_REFRESH: Final = 50
_HEDGE_QUANTILE: Final = 0.95
_UNKNOWN_MS: Final = 1000.0


class LatencyWindow:
    """The latest answers' latencies in milliseconds."""

    def __init__(self) -> None:
        """Start without knowledge: quantiles are long, so nothing is sent."""
        self._recent: deque[float] = deque(maxlen=_KEPT)
        self._unsorted = 0
        self._median: float = 0
        self._p95 = _UNKNOWN_MS

    @property
    def median_ms(self) -> float:
        """The median, 0 before enough answers were seen."""
        return self._median

    @property
    def p95_ms(self) -> float:
        """The 95th percentile; one second before enough were seen."""
        return self._p95

    def add(self, took_ms: float) -> None:
        """Take one answer's latency."""
        self._recent.append(took_ms)
        self._unsorted += 1
        if self._unsorted >= _REFRESH:
            self._unsorted = 0
            self._refresh()

    def _refresh(self) -> None:
        ranked = sorted(self._recent)
        self._median = ranked[len(ranked) // 2]
        self._p95 = ranked[int(len(ranked) * _HEDGE_QUANTILE)]
