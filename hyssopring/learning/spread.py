"""A distribution of positive values in bounded memory."""

import math
from dataclasses import dataclass, field
from typing import Final, Iterable

from hdrh.histogram import HdrHistogram

__all__ = ('Spread',)

# A spread takes 5 KB with one significant digit and seven times that with two.
_SIGNIFICANT_DIGITS: Final = 1
# The histogram holds whole numbers, so that smaller units keep its precision.
_UNITS_PER_ONE: Final = 1000
_MAX_UNITS: Final = 10**10
_PERCENT: Final = 100
# Above this count, all counts are halved, so that recent values outweigh
# older ones.
_MAX_COUNT: Final = 512


def _histogram() -> HdrHistogram:
    return HdrHistogram(1, _MAX_UNITS, _SIGNIFICANT_DIGITS)


@dataclass(slots=True)
class Spread:
    """Counts of values; a quantile is within 7% of the exact one.

    Attributes:
        count: The number of values that are still counted.
        total: Their sum.
        log_total: The sum of their logarithms.
        log_square_total: The sum of the squares of their logarithms.
    """

    count: int = 0
    total: float = 0
    log_total: float = 0
    log_square_total: float = 0
    _histogram: HdrHistogram = field(default_factory=_histogram)

    @property
    def mean(self) -> float:
        """Return the mean, 0 without values."""
        return self.total / self.count if self.count else 0

    @property
    def log_variance(self) -> float:
        """Return the variance of the logarithms, infinite without values."""
        if not self.count:
            return math.inf
        log_mean = self.log_total / self.count
        return max(self.log_square_total / self.count - log_mean**2, 0)

    def record(self, number: float, count: int = 1) -> None:
        """Count a value one or more times; clamp it to the range."""
        units = min(max(round(number * _UNITS_PER_ONE), 1), _MAX_UNITS)
        self._histogram.record_value(units, count)
        clamped = units / _UNITS_PER_ONE
        self.count += count
        self.total += count * clamped
        self.log_total += count * math.log(clamped)
        self.log_square_total += count * math.log(clamped) ** 2
        if self.count > _MAX_COUNT:
            self._halve()

    def quantile(self, share: float) -> float:
        """Return the value that a share of the values does not exceed."""
        units: int = self._histogram.get_value_at_percentile(share * _PERCENT)
        return units / _UNITS_PER_ONE

    def counts(self, max_count: int) -> list[tuple[float, int]]:
        """Return values and their counts, scaled down to ``max_count``.

        Counts are rounded cumulatively, so that rare values keep their share.
        """
        share = min(1, max_count / self.count) if self.count else 0
        scaled = []
        seen = 0
        for index, count in enumerate(self._histogram.counts):
            if not count:
                continue
            before = round(seen * share)
            seen += count
            kept = round(seen * share) - before
            if kept:
                scaled.append((self._middle_of(index), kept))
        return scaled

    def _middle_of(self, index: int) -> float:
        """Return the middle of a bucket.

        With its end, values would grow each time they are stored and loaded.
        """
        units: int = self._histogram.get_value_from_index(index)
        next_units: int = self._histogram.get_value_from_index(index + 1)
        return (units + next_units) / 2 / _UNITS_PER_ONE

    def _halve(self) -> None:
        mean = self.mean
        halved = Spread.from_counts(self.counts(self.count // 2))
        self.count = halved.count
        # The histogram's values are rounded; the exact mean is kept.
        self.total = mean * halved.count
        self.log_total = halved.log_total
        self.log_square_total = halved.log_square_total
        self._histogram = halved._histogram

    @classmethod
    def from_counts(cls, counts: Iterable[tuple[float, int]]) -> 'Spread':
        """Create a spread of counted values."""
        spread = cls()
        for number, count in counts:
            spread.record(number, count)
        return spread
