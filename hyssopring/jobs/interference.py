"""Interference between best-effort and latency-critical tasks, per image.

Interference differs widely between pairs of images: of nine images of
best-effort tasks, about two slow a given latency-critical image, and the others
can run beside it at full pace.

Headroom is the ratio of a task's latency target to its tail latency: 1 at the
target, more below it. It falls linearly with the cores that best-effort tasks
use beside it, so that a change of headroom is evidence about the images whose
use has changed. Each latency-critical image has a Kalman filter for constants
(Kalman 1960; recursive least squares with a prior) with the full covariance:
images whose use always changes together each stay uncertain.
"""

from collections import Counter
from dataclasses import dataclass, field
from itertools import product
from typing import Final, Iterable, Protocol

from hyssopring.jobs.fleet import PlacedAttempt, Worker

__all__ = (
    'MAX_HEADROOM',
    'ImageEstimates',
    'InterferenceEstimate',
    'InterferenceModel',
    'LatencySample',
)

# The prior for the headroom that a core of an unknown image takes, and its
# variance. Of 36 pairs, ten took 0.2 to 0.5, two 0.16 and the others
# less than 0.1.
_PRIOR_MEAN: Final = 0.15
_PRIOR_VARIANCE: Final = 0.1
# Headroom varies by about 0.36 between samples with unchanged best-effort use.
_NOISE_VARIANCE: Final = 0.13
# Higher headrooms count as equal: the task is nearly idle.
MAX_HEADROOM: Final = 6.0
# Below this headroom, the tail latency no longer depends on neighboring tasks.
_MIN_HEADROOM: Final = 0.4
# Samples are compared if the use of an image, in cores, has changed by more
# than this, and if they are at most this far apart.
_MIN_USE_CHANGE: Final = 0.1
_MAX_SAMPLE_GAP_MS: Final = 1200.0
# Rounding errors may make a variance negative after many samples.
_MIN_VARIANCE: Final = 1e-6
# Best-effort images that are kept per latency-critical image.
_MAX_IMAGES: Final = 40
_MILLIS_PER_CORE: Final = 1000


@dataclass(frozen=True, slots=True)
class InterferenceEstimate:
    """The headroom that one core of a best-effort task takes from a task.

    Attributes:
        mean: The expected headroom, never negative.
        deviation: The standard deviation; large for a pair not yet observed.
    """

    mean: float
    deviation: float

    @property
    def upper_bound(self) -> float:
        """Return the mean plus one standard deviation."""
        return self.mean + self.deviation


class ImageEstimates(Protocol):
    """Estimates of interference by pair of images."""

    def per_core(
        self, latency_critical_image: str, best_effort_image: str
    ) -> InterferenceEstimate:
        """Return what a core of the second image takes from the first."""


_UNKNOWN_PAIR: Final = InterferenceEstimate(_PRIOR_MEAN, _PRIOR_VARIANCE**0.5)


@dataclass(slots=True)
class _KalmanFilter:
    """What each best-effort image takes from one latency-critical image.

    Attributes:
        mean_by_image: Headroom per core.
        covariances: By pairs of images; pairs without one have covariance 0.
    """

    mean_by_image: dict[str, float] = field(default_factory=dict)
    covariances: dict[tuple[str, str], float] = field(default_factory=dict)

    def add_image(self, image: str) -> None:
        """Start from the prior for an image that is new."""
        if image not in self.mean_by_image:
            self.mean_by_image[image] = _PRIOR_MEAN
            self.covariances[image, image] = _PRIOR_VARIANCE

    def update(
        self, core_change_by_image: dict[str, float], lost_headroom: float
    ) -> None:
        """Correct the estimates by one change of use and of headroom."""
        for image in core_change_by_image:
            self.add_image(image)
        gain_by_image = self._gains(core_change_by_image)
        variance = _NOISE_VARIANCE + _dot(gain_by_image, core_change_by_image)
        error = lost_headroom - _dot(self.mean_by_image, core_change_by_image)
        for image, gain in gain_by_image.items():
            self.mean_by_image[image] += gain * error / variance
        for first, second in product(gain_by_image, repeat=2):
            covariance = self.covariances.get((first, second), 0)
            covariance -= (
                gain_by_image[first] * gain_by_image[second] / variance
            )
            self.covariances[first, second] = covariance

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


@dataclass(frozen=True, slots=True)
class LatencySample:
    """The tail latency and target of a latency-critical task, in ms."""

    task: str
    image: str
    tail_ms: int
    target_ms: int

    @property
    def headroom(self) -> float:
        """Return the ratio of target to tail, at most ``MAX_HEADROOM``.

        A tail of 0 means that none has been measured yet.
        """
        return min(MAX_HEADROOM, self.target_ms / max(self.tail_ms, 1))


@dataclass(frozen=True, slots=True)
class _Observation:
    """A sample, and what each best-effort image used beside the task.

    Attributes:
        millicores_by_image: Thousandths of a core.
    """

    observed_at_ms: float
    sample: LatencySample
    millicores_by_image: Counter[str]


class InterferenceModel:
    """Estimate which best-effort images slow which latency-critical ones."""

    def __init__(self) -> None:
        """Start without observations."""
        self._filter_by_image: dict[str, _KalmanFilter] = {}
        self._observation_by_task: dict[str, _Observation] = {}

    def observe_workers(self, workers: Iterable[Worker], now_ms: float) -> None:
        """Update the estimates from the reports of all workers."""
        observation_by_task: dict[str, _Observation] = {}
        for worker in workers:
            observation_by_task.update(self._observations_on(worker, now_ms))
        self._observation_by_task = observation_by_task

    def _observations_on(
        self, worker: Worker, now_ms: float
    ) -> dict[str, _Observation]:
        """Return the latest observations of the tasks on a worker.

        Most workers have not reported since the last round, and their
        best-effort tasks need not be counted.
        """
        observation_by_task: dict[str, _Observation] = {}
        changed: list[PlacedAttempt] = []
        for task, placed in worker.placed_by_task.items():
            if not placed.step.target_ms:
                continue
            previous = self._observation_by_task.get(task)
            if previous is None or previous.sample.tail_ms != placed.load:
                changed.append(placed)
            else:
                observation_by_task[task] = previous
        if changed:
            millicores_by_image = _millicores_by_image(worker)
        for placed in changed:
            sample = LatencySample(
                str(placed.name),
                placed.step.image,
                placed.load,
                placed.step.target_ms,
            )
            observation_by_task[sample.task] = self._observe(
                sample, millicores_by_image, now_ms
            )
        return observation_by_task

    def observe_worker(
        self,
        samples: Iterable[LatencySample],
        millicores_by_image: Counter[str],
        now_ms: float,
    ) -> None:
        """Update the estimates from the tasks of the only worker.

        Args:
            millicores_by_image: What each best-effort image uses, in
                thousandths of a core.
        """
        self._observation_by_task = {
            sample.task: self._observe(sample, millicores_by_image, now_ms)
            for sample in samples
        }

    def per_core(
        self, latency_critical_image: str, best_effort_image: str
    ) -> InterferenceEstimate:
        """Return what a core of the second image takes from the first."""
        kalman_filter = self._filter_by_image.get(latency_critical_image)
        if (
            kalman_filter is None
            or best_effort_image not in kalman_filter.mean_by_image
        ):
            return _UNKNOWN_PAIR
        variance = max(
            kalman_filter.covariances[best_effort_image, best_effort_image],
            _MIN_VARIANCE,
        )
        return InterferenceEstimate(
            max(kalman_filter.mean_by_image[best_effort_image], 0),
            variance**0.5,
        )

    def _observe(
        self,
        sample: LatencySample,
        millicores_by_image: Counter[str],
        now_ms: float,
    ) -> _Observation:
        """Return the task's latest observation; an equal tail is no new one."""
        previous = self._observation_by_task.get(sample.task)
        if previous is not None and previous.sample.tail_ms == sample.tail_ms:
            return previous
        observation = _Observation(now_ms, sample, millicores_by_image)
        if previous is not None and sample.tail_ms and previous.sample.tail_ms:
            self._compare(previous, observation)
        return observation

    def _compare(self, previous: _Observation, current: _Observation) -> None:
        headrooms = (previous.sample.headroom, current.sample.headroom)
        if max(headrooms) < _MIN_HEADROOM:
            return
        if (
            current.observed_at_ms - previous.observed_at_ms
            > _MAX_SAMPLE_GAP_MS
        ):
            return
        core_change_by_image = {
            best_effort_image: cores
            for best_effort_image in current.millicores_by_image.keys()
            | previous.millicores_by_image.keys()
            if abs(
                cores := (
                    current.millicores_by_image[best_effort_image]
                    - previous.millicores_by_image[best_effort_image]
                )
                / _MILLIS_PER_CORE
            )
            > _MIN_USE_CHANGE
        }
        image = current.sample.image
        kalman_filter = self._filter_by_image.setdefault(image, _KalmanFilter())
        if (
            core_change_by_image
            and len(
                kalman_filter.mean_by_image.keys() | core_change_by_image.keys()
            )
            <= _MAX_IMAGES
        ):
            kalman_filter.update(
                core_change_by_image, headrooms[0] - headrooms[1]
            )


def _millicores_by_image(worker: Worker) -> Counter[str]:
    """Return what each best-effort image uses, in thousandths of a core."""
    millicores_by_image: Counter[str] = Counter()
    for best_effort in worker.best_effort_tasks():
        millicores_by_image[best_effort.step.image] += best_effort.load
    return millicores_by_image
