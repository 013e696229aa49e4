"""A Kalman filter for the interference with one latency-critical image."""

from dataclasses import dataclass, field
from itertools import product
from typing import Callable, Final, Iterable

from hyssopring.learning.pairs import Pair

__all__ = ('KalmanFilter',)

# An error counts for at most this many standard deviations: a sample may cover
# only a part of the use that it is compared with.
_MAX_DEVIATIONS: Final = 3.0
# Rounding errors may make a variance negative after many samples.
_MIN_VARIANCE: Final = 1e-6


@dataclass(slots=True)
class KalmanFilter:
    """What each best-effort image takes from one latency-critical image.

    Attributes:
        start_of: Returns the start values of an image that is new.
        mean_by_image: Headroom per core, the last updated images last.
        covariances: By pairs of images; pairs without one have covariance 0.
    """

    start_of: Callable[[str], Pair]
    mean_by_image: dict[str, float] = field(default_factory=dict)
    covariances: dict[tuple[str, str], float] = field(default_factory=dict)

    def add_image(self, image: str) -> None:
        """Start from the prior for an image that is new."""
        if image not in self.mean_by_image:
            start = self.start_of(image)
            self.mean_by_image[image] = start.mean
            self.covariances[image, image] = start.variance

    def pair(self, image: str) -> Pair:
        """Return the estimate for an image that is held."""
        variance = max(self.covariances[image, image], _MIN_VARIANCE)
        return Pair(self.mean_by_image[image], variance)

    def remove(self, image: str) -> Pair:
        """Remove an image and return its estimate."""
        pair = self.pair(image)
        self.mean_by_image.pop(image)
        self.covariances = {
            images: covariance
            for images, covariance in self.covariances.items()
            if image not in images
        }
        return pair

    def update(
        self,
        core_change_by_image: dict[str, float],
        lost_headroom: float,
        noise_variance: float,
    ) -> None:
        """Correct the estimates by one change of use and of headroom.

        Args:
            noise_variance: How much the change of headroom varies at random.
        """
        for image in core_change_by_image:
            self.add_image(image)
        gain_by_image = self._gains(core_change_by_image)
        variance = noise_variance + _dot(gain_by_image, core_change_by_image)
        error = lost_headroom - _dot(self.mean_by_image, core_change_by_image)
        for image, gain in gain_by_image.items():
            self.mean_by_image[image] += gain * error / variance
        for first, second in product(gain_by_image, repeat=2):
            covariance = self.covariances.get((first, second), 0)
            covariance -= (
                gain_by_image[first] * gain_by_image[second] / variance
            )
            self.covariances[first, second] = covariance

    def update_robustly(
        self,
        core_change_by_image: dict[str, float],
        lost_headroom: float,
        noise_variance: float,
    ) -> None:
        """Correct the estimates like ``update``, but limit outliers."""
        variance = self.variance_of(core_change_by_image) + noise_variance
        expected = _dot(self.mean_by_image, core_change_by_image)
        limit = _MAX_DEVIATIONS * variance**0.5
        error = min(limit, max(-limit, lost_headroom - expected))
        self.update(core_change_by_image, expected + error, noise_variance)

    def variance_of(self, core_change_by_image: dict[str, float]) -> float:
        """Return the variance of the headroom that a change of use takes."""
        for image in core_change_by_image:
            self.add_image(image)
        return sum(
            self.covariances.get((first, second), 0) * cores * other_cores
            for first, cores in core_change_by_image.items()
            for second, other_cores in core_change_by_image.items()
        )

    def widen(self, images: Iterable[str], part: float) -> None:
        """Increase the variances of images by a part of themselves."""
        for image in images:
            self.covariances[image, image] *= 1 + part

    def merge(self, image: str, pair: Pair) -> None:
        """Merge another estimate by precision; the image must be held."""
        self.update({image: 1}, pair.mean, pair.variance)

    def move_to_end(self, images: Iterable[str]) -> None:
        """Record that images were updated last."""
        for image in images:
            self.mean_by_image[image] = self.mean_by_image.pop(image)

    def _gains(
        self, core_change_by_image: dict[str, float]
    ) -> dict[str, float]:
        """Return the gain of each image's mean, before normalization."""
        return {
            image: sum(
                self.covariances.get((image, other), 0) * cores
                for other, cores in core_change_by_image.items()
            )
            for image in self.mean_by_image
        }


def _dot(
    factor_by_image: dict[str, float],
    core_change_by_image: dict[str, float],
) -> float:
    return sum(
        factor_by_image[image] * cores
        for image, cores in core_change_by_image.items()
    )
