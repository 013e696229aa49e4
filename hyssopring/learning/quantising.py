"""Whole numbers for the values of a summary."""

import math
from dataclasses import dataclass
from typing import Final

from hyssopring.learning.pairs import Pair
from hyssopring.learning.summary import Counts

__all__ = (
    'Quantiser',
    'decode_counts',
    'decode_pair',
    'encode_counts',
    'encode_pair',
)


@dataclass(frozen=True, slots=True)
class Quantiser:
    """Encodes positive values by their logarithm.

    Attributes:
        least: The value that is encoded as 0; smaller ones are, too.
        step: The relative distance between neighbouring values.
    """

    least: float
    step: float

    def encode(self, number: float) -> int:
        """Return the nearest whole number."""
        return round(math.log(max(number, self.least) / self.least) / self.step)

    def decode(self, code: int, most: float) -> float:
        """Return the value of a code.

        Raises:
            ValueError: The value is above ``most``, or the code negative.
        """
        if not 0 <= code <= self.encode(most):
            raise ValueError(f'{code} is out of range')
        return self.least * math.exp(code * self.step)


# Pairs take 0 to 0.5 of headroom a core; those that take most of it, 1.
_MEAN_STEP: Final = 0.005
_MAX_MEAN: Final = 2.0
_DEVIATIONS: Final = Quantiser(0.001, 0.1)
_MAX_DEVIATION: Final = 1.0
# Finer than the buckets of a ``Spread``.
_RUNS: Final = Quantiser(0.001, 0.03)
_MAX_RUN: Final = 10_000_000.0
_MAX_ENDS: Final = 1000


def encode_pair(pair: Pair) -> tuple[int, int]:
    """Return the codes of mean and deviation."""
    mean = min(max(pair.mean, -_MAX_MEAN), _MAX_MEAN)
    deviation = min(pair.variance**0.5, _MAX_DEVIATION)
    return round(mean / _MEAN_STEP), _DEVIATIONS.encode(deviation)


def decode_pair(mean: int, deviation: int) -> Pair:
    """Return the pair of two codes.

    Raises:
        ValueError: A code is out of range.
    """
    if abs(mean) > _MAX_MEAN / _MEAN_STEP:
        raise ValueError(f'mean {mean} is out of range')
    return Pair(
        mean * _MEAN_STEP, _DEVIATIONS.decode(deviation, _MAX_DEVIATION) ** 2
    )


def encode_counts(counts: Counts) -> list[int]:
    """Return distances of codes and counts in turn."""
    encoded: list[int] = []
    last = 0
    for number, count in counts:
        code = _RUNS.encode(min(number, _MAX_RUN))
        encoded.extend((code - last, count))
        last = code
    return encoded


def decode_counts(encoded: list[int]) -> Counts:
    """Return values and counts.

    Raises:
        ValueError: A value or the sum of the counts is out of range.
    """
    counts = []
    code = 0
    ends = 0
    for distance, count in _in_pairs(encoded):
        code += distance
        ends += count
        if count <= 0 or ends > _MAX_ENDS:
            raise ValueError(f'count {count} is out of range')
        counts.append((_RUNS.decode(code, _MAX_RUN), count))
    return counts


def _in_pairs(encoded: list[int]) -> list[tuple[int, int]]:
    return list(zip(encoded[::2], encoded[1::2], strict=True))
