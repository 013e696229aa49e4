"""Which best-effort images run unthrottled beside latency-critical images.

Images interfere through what they share on a worker, such as a cache or a disk,
so that a best-effort image slows all latency-critical images that depend on the
same resource. Each further latency-critical image on a worker leaves it to
fewer best-effort images.
"""

from math import erf, prod, sqrt
from typing import Final, Iterable

from hyssopring.jobs.interference import ImageEstimates, InterferenceEstimate

__all__ = ('ImageTolerance',)

# A pair whose interference per core is below this is tolerated.
_TOLERATED_PER_CORE: Final = 0.15
# The smallest deviation that an estimate is taken to have.
_MIN_DEVIATION: Final = 0.01
# The probability that an image tolerates another one of which nothing is known.
_UNKNOWN_CHANCE: Final = 0.5
# The most best-effort images that are considered, which bounds the time.
_MAX_BEST_EFFORT_IMAGES: Final = 64


class ImageTolerance:
    """What latency-critical images tolerate, by one state of the estimates."""

    def __init__(
        self, estimates: ImageEstimates, best_effort_images: Iterable[str]
    ) -> None:
        """Compute nothing yet.

        Args:
            best_effort_images: The images to consider.
        """
        self._estimates = estimates
        self._best_effort_images = sorted(best_effort_images)[
            :_MAX_BEST_EFFORT_IMAGES
        ]
        self._chances_by_image: dict[str, list[float]] = {}
        self._share_by_images: dict[frozenset[str], float] = {}

    def tolerated_share(self, images: frozenset[str]) -> float:
        """Return the expected share of best-effort images that all tolerate.

        Args:
            images: The latency-critical images on a worker.
        """
        share = self._share_by_images.get(images)
        if share is None:
            share = self._compute_share(images)
            self._share_by_images[images] = share
        return share

    def _compute_share(self, images: frozenset[str]) -> float:
        if not images:
            return 1
        chances = zip(*map(self._chances, images), strict=True)
        products = [prod(of_image) for of_image in chances]
        return sum(products) / len(products)

    def _chances(self, image: str) -> list[float]:
        """Return the probability that each best-effort image is tolerated."""
        if not self._best_effort_images:
            return [_UNKNOWN_CHANCE]
        chances = self._chances_by_image.get(image)
        if chances is None:
            chances = [
                _chance_tolerated(self._estimates.per_core(image, best_effort))
                for best_effort in self._best_effort_images
            ]
            self._chances_by_image[image] = chances
        return chances


def _chance_tolerated(estimate: InterferenceEstimate) -> float:
    deviation = max(estimate.deviation, _MIN_DEVIATION)
    distance = (_TOLERATED_PER_CORE - estimate.mean) / deviation
    return (1 + erf(distance / sqrt(2))) / 2
