"""What is known of the interference of a pair of images."""

from dataclasses import dataclass

__all__ = ('Pair', 'PairKey')

# The image of a latency-critical task, and that of a best-effort task.
PairKey = tuple[str, str]


@dataclass(frozen=True, slots=True)
class Pair:
    """The headroom that a core of the second image takes from the first.

    Attributes:
        mean: May be negative, by noise.
    """

    mean: float
    variance: float

    def merged(self, other: 'Pair') -> 'Pair':
        """Return the estimate from both, weighted by precision."""
        share = other.variance / (self.variance + other.variance)
        return Pair(
            share * self.mean + (1 - share) * other.mean,
            share * self.variance,
        )

    def widened(self, factor: float, added_variance: float) -> 'Pair':
        """Return the estimate with a larger variance."""
        return Pair(self.mean, factor * self.variance + added_variance)
