"""Counters, gauges and latency histograms of one process."""

from collections import Counter
from typing import Callable

from hdrh.histogram import HdrHistogram

__all__ = ('Metrics',)

_MIN_DURATION_US = 1
_MAX_DURATION_US = 60_000_000
_SIGNIFICANT_DIGITS = 3
_US_PER_MS = 1000
_PERCENTILES = (50.0, 90.0, 99.0, 99.9)
_PERCENT_PER_UNIT = 100.0


class Metrics:
    """Metrics of one process, rendered in the Prometheus text format."""

    def __init__(self, prefix: str = 'hyssopring') -> None:
        """Initialize without metrics; series are called ``<prefix>_<name>``."""
        self._prefix = prefix
        self._count_by_name: Counter[str] = Counter()
        self._gauge_by_name: dict[str, float] = {}
        self._histogram_by_name: dict[str, HdrHistogram] = {}
        self._collectors: list[Callable[[], None]] = []

    def collect(self, collector: Callable[[], None]) -> None:
        """Register a function that sets gauges before each rendering."""
        self._collectors.append(collector)

    def count(self, name: str, amount: int = 1) -> None:
        """Add ``amount`` to a counter; a name may carry labels in braces."""
        self._count_by_name[name] += amount

    def gauge(self, name: str, level: float) -> None:
        """Set a gauge to ``level``."""
        self._gauge_by_name[name] = level

    def observe(self, name: str, millis: float) -> None:
        """Record a duration in milliseconds in a histogram."""
        histogram = self._histogram_by_name.get(name)
        if histogram is None:
            histogram = HdrHistogram(
                _MIN_DURATION_US,
                _MAX_DURATION_US,
                _SIGNIFICANT_DIGITS,
            )
            self._histogram_by_name[name] = histogram
        micros = int(millis * _US_PER_MS)
        histogram.record_value(
            min(max(micros, _MIN_DURATION_US), _MAX_DURATION_US)
        )

    def counter(self, name: str) -> int:
        """Return the value of a counter."""
        return self._count_by_name[name]

    def percentile(self, name: str, percent: float) -> float:
        """Return a percentile of a histogram in milliseconds, 0 if empty."""
        histogram = self._histogram_by_name.get(name)
        if histogram is None:
            return 0
        return histogram.get_value_at_percentile(percent) / _US_PER_MS

    def render(self) -> str:
        """Return all series in the Prometheus text format."""
        for collector in self._collectors:
            collector()
        lines = [
            f'{self._prefix}_{name} {level}'
            for name, level in sorted(self._count_by_name.items())
        ]
        lines.extend(
            f'{self._prefix}_{name} {level:.12g}'
            for name, level in sorted(self._gauge_by_name.items())
        )
        for name, histogram in sorted(self._histogram_by_name.items()):
            lines.extend(self._summary(name, histogram))
        lines.append('')
        return '\n'.join(lines)

    def _summary(self, name: str, histogram: HdrHistogram) -> list[str]:
        series = f'{self._prefix}_{name}_ms'
        total = histogram.get_total_count()
        lines = [
            f'{series}{{quantile="{percent / _PERCENT_PER_UNIT:g}"}} '
            f'{self.percentile(name, percent):g}'
            for percent in _PERCENTILES
        ]
        lines.append(f'{series}_count {total}')
        return lines
