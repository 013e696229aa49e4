"""What a task of a step takes from each latency-critical image."""

from dataclasses import dataclass
from typing import Final, Iterable

from hyssopring.jobs.image_tolerance import ImageTolerance
from hyssopring.jobs.interference import ImageEstimates, InterferenceEstimate
from hyssopring.jobs.model import Step

__all__ = ('NEGLIGIBLE_INTERFERENCE', 'RoundEstimates', 'StepImpact')

# Headroom is the ratio of a task's latency target to its tail latency. A
# best-effort task that takes less than this much of it, at the upper bound of
# the estimate, may start before the last one started has been measured.
NEGLIGIBLE_INTERFERENCE: Final = 0.35
_MILLIS_PER_CORE: Final = 1000

# The latency-critical images on a worker, and the image of one more task.
_AddedImage = tuple[frozenset[str], str]


@dataclass(frozen=True, slots=True)
class StepImpact:
    """The headroom that a best-effort task takes, by latency-critical image.

    Attributes:
        mean_by_image: What it is expected to take.
        upper_bound_by_image: The most that it may take.
        disturbed_images: The images from which it may take more than a
            negligible part.
        max_mean: The largest of ``mean_by_image``.
    """

    mean_by_image: dict[str, float]
    upper_bound_by_image: dict[str, float]
    disturbed_images: frozenset[str]
    max_mean: float

    @classmethod
    def from_estimates(
        cls, cores: float, estimate_by_image: dict[str, InterferenceEstimate]
    ) -> 'StepImpact':
        """Scale the estimates per core to a task's cores."""
        mean_by_image = {
            image: cores * estimate.mean
            for image, estimate in estimate_by_image.items()
        }
        upper_bound_by_image = {
            image: cores * estimate.upper_bound
            for image, estimate in estimate_by_image.items()
        }
        return cls(
            mean_by_image,
            upper_bound_by_image,
            frozenset(
                image
                for image, upper_bound in upper_bound_by_image.items()
                if upper_bound >= NEGLIGIBLE_INTERFERENCE
            ),
            max(mean_by_image.values(), default=0),
        )


class RoundEstimates:
    """The estimates of interference during one planning round.

    A round asks for the same pairs of images on each worker, and no report is
    applied meanwhile, so that each is computed once.
    """

    def __init__(
        self,
        estimates: ImageEstimates,
        tolerance: ImageTolerance | None = None,
    ) -> None:
        """Compute nothing yet.

        Args:
            tolerance: What latency-critical images tolerate; None to ignore
                it.
        """
        self._estimates = estimates
        self._tolerance = tolerance
        self._latency_critical_images: set[str] = set()
        self._estimate_by_pair: dict[tuple[str, str], InterferenceEstimate] = {}
        self._impact_by_task: dict[tuple[str, int], StepImpact] = {}
        self._last: tuple[Step, StepImpact] | None = None
        self._lost_tolerance: dict[_AddedImage, float] = {}

    def add_images(self, images: Iterable[str]) -> None:
        """Include the images of latency-critical tasks in all impacts."""
        if not self._latency_critical_images.issuperset(images):
            self._latency_critical_images.update(images)
            self._impact_by_task.clear()
            self._last = None

    def lost_tolerance(self, images: frozenset[str], image: str) -> float:
        """Return the share of best-effort images that a worker loses.

        Args:
            images: The latency-critical images on the worker.
            image: The image of one more latency-critical task.
        """
        lost = self._lost_tolerance.get((images, image))
        if lost is None:
            lost = self.tolerated_share(images) - self.tolerated_share(
                images | {image}
            )
            self._lost_tolerance[images, image] = lost
        return lost

    def tolerated_share(self, images: frozenset[str]) -> float:
        """Return the share of best-effort images that all of them tolerate."""
        if self._tolerance is None:
            return 1
        return self._tolerance.tolerated_share(images)

    def per_core(
        self, latency_critical_image: str, best_effort_image: str
    ) -> InterferenceEstimate:
        """Return what a core of the second image takes from the first."""
        pair = (latency_critical_image, best_effort_image)
        estimate = self._estimate_by_pair.get(pair)
        if estimate is None:
            estimate = self._estimates.per_core(*pair)
            self._estimate_by_pair[pair] = estimate
        return estimate

    def impact_of(self, step: Step) -> StepImpact:
        """Return what a task of a step takes from each image that was added."""
        if self._last is not None and self._last[0] is step:
            return self._last[1]
        key = (step.image, step.size.cpu_millis)
        impact = self._impact_by_task.get(key)
        if impact is None:
            impact = StepImpact.from_estimates(
                step.size.cpu_millis / _MILLIS_PER_CORE,
                {
                    image: self.per_core(image, step.image)
                    for image in self._latency_critical_images
                },
            )
            self._impact_by_task[key] = impact
        self._last = (step, impact)
        return impact
