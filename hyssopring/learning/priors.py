"""Priors of unknown pairs of images, estimated from the known pairs.

This is empirical Bayes: the known pairs are a sample of the distribution that
an unknown pair is drawn from. The pairs of the same best-effort image count
first, then all pairs, then the constant.
"""

from dataclasses import dataclass
from typing import Final, Iterable

from hyssopring.learning.pairs import Pair, PairKey

__all__ = ('PairPriors',)

# What a less specific estimate counts, in fully known pairs. With fewer, two
# harmless pairs would let many tasks of an image start beside a third keeper.
_PSEUDO_PAIRS: Final = 3


@dataclass(slots=True)
class _Sample:
    """Weighted moments of known pairs."""

    weight: float = 0
    total: float = 0
    square_total: float = 0

    def add(self, pair: Pair, weight: float) -> None:
        """Add a pair; one that is hardly known has a low weight."""
        mean = max(pair.mean, 0)
        self.weight += weight
        self.total += weight * mean
        self.square_total += weight * (mean**2 + pair.variance)

    def shrunk_towards(self, prior: Pair) -> Pair:
        """Return the estimate for a further pair."""
        weight = self.weight + _PSEUDO_PAIRS
        total = self.total + _PSEUDO_PAIRS * prior.mean
        square_total = self.square_total + _PSEUDO_PAIRS * (
            prior.mean**2 + prior.variance
        )
        mean = total / weight
        return Pair(mean, square_total / weight - mean**2)


class PairPriors:
    """Priors by best-effort image, computed once for each update."""

    def __init__(self, constant: Pair) -> None:
        """Start from the constant, which holds until pairs are known."""
        self._constant = constant
        self._overall = constant
        self._prior_by_image: dict[str, Pair] = {}

    def update(self, pairs: Iterable[tuple[PairKey, Pair]]) -> None:
        """Estimate all priors from the known pairs.

        A pair weighs as much as its own evidence is worth beside the prior
        that it started from. Otherwise hardly observed pairs, which repeat the
        prior, would confirm it.
        """
        overall = _Sample()
        sample_by_image: dict[str, _Sample] = {}
        for (_latency_critical, best_effort), pair in pairs:
            prior = self.of_image(best_effort)
            weight = 1 - pair.variance / prior.variance
            if weight > 0:
                overall.add(pair, weight)
                sample_by_image.setdefault(best_effort, _Sample()).add(
                    pair, weight
                )
        self._overall = overall.shrunk_towards(self._constant)
        self._prior_by_image = {
            image: sample.shrunk_towards(self._overall)
            for image, sample in sample_by_image.items()
        }

    def of_image(self, best_effort_image: str) -> Pair:
        """Return the prior of an unknown pair with this image."""
        return self._prior_by_image.get(best_effort_image, self._overall)
