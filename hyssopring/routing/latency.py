"""Recent latencies of a service, for hedging, stall and probe limits."""

from collections import deque
from typing import Final

__all__ = ('LatencyWindow',)

_MAX_SAMPLES: Final = 500
_REFRESH_INTERVAL: Final = 50
_HEDGE_QUANTILE: Final = 0.95
_DEFAULT_P95_MS: Final = 1000.0


class LatencyWindow:
    """Quantiles of the latest answers' latencies, in milliseconds."""

    def __init__(self) -> None:
        """Start without samples and with a p95 too long for hedging."""
        self._samples: deque[float] = deque(maxlen=_MAX_SAMPLES)
        self._new_samples = 0
        self._median: float = 0
        self._p95 = _DEFAULT_P95_MS

    @property
    def median_ms(self) -> float:
        """The median, 0 until enough answers were received."""
        return self._median

    @property
    def p95_ms(self) -> float:
        """The 95th percentile, one second until enough were received."""
        return self._p95

    def add(self, took_ms: float) -> None:
        """Add the latency of one answer."""
        self._samples.append(took_ms)
        self._new_samples += 1
        if self._new_samples >= _REFRESH_INTERVAL:
            self._new_samples = 0
            self._refresh()

    def _refresh(self) -> None:
        ordered = sorted(self._samples)
        self._median = ordered[len(ordered) // 2]
        self._p95 = ordered[int(len(ordered) * _HEDGE_QUANTILE)]
