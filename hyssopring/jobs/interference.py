"""Interference between best-effort and latency-critical tasks, per image.

Interference differs widely between pairs of images: of nine images of
best-effort tasks, about two slow a given latency-critical image, and the others
can run beside it at full pace.

Headroom falls linearly with the cores that best-effort tasks use beside a
latency-critical task. Two samples are compared: their difference is evidence
about the images whose use differs. One pair are two successive samples of a
task. Its own load changes between them, together with the loads of other
tasks, so that it is confounded with the interference of what has started or
was throttled meanwhile. The other pair are samples of two tasks of one step at
nearly the same time: replicas share the load of their job, whose changes cancel
out.

Each latency-critical image has a Kalman filter for constants (Kalman 1960;
recursive least squares with a prior) with the full covariance: images whose use
always changes together each stay uncertain.
"""

from collections import Counter
from dataclasses import dataclass
from typing import Callable, Final, Iterable, Iterator, Protocol

from hyssopring.jobs.fleet import PlacedAttempt, Worker
from hyssopring.jobs.kalman_filter import KalmanFilter
from hyssopring.jobs.latency_samples import (
    MAX_HEADROOM,
    LatencyObservation,
    LatencySample,
)
from hyssopring.learning.learned_pairs import LearnedPairs
from hyssopring.learning.pairs import Pair, PairKey

__all__ = (
    'MAX_HEADROOM',
    'PRIOR',
    'ImageEstimates',
    'InterferenceEstimate',
    'InterferenceModel',
    'LatencySample',
)

# The prior for the headroom that a core of an unknown image takes, and its
# variance. Of 36 pairs, ten took 0.2 to 0.5, two 0.16 and the others
# less than 0.1.
PRIOR: Final = Pair(0.15, 0.1)
# Below this headroom, the tail latency no longer depends on neighboring tasks.
_MIN_HEADROOM: Final = 0.4
# Samples of a task, and samples of two replicas, are compared if they are at
# most this far apart.
_MAX_SAMPLE_GAP_MS: Final = 1200.0
_MAX_REPLICA_GAP_MS: Final = 600.0
# Headroom varies by about 0.36 between two samples of a task with unchanged
# best-effort use. Two replicas also differ in their speed.
_NOISE_VARIANCE: Final = 0.13
_REPLICA_NOISE_VARIANCE: Final = 0.26
# A comparison whose outcome is already known this well, as a part of the noise
# variance, is skipped: it would cost time and tell nothing. Each one widens the
# variances by a part of themselves, as interference may change.
_MIN_INFORMATION: Final = 0.02
_WIDENED_PART: Final = 0.005
# Best-effort images that are kept per latency-critical image.
_MAX_IMAGES: Final = 40


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


def _to_estimate(pair: Pair) -> InterferenceEstimate:
    return InterferenceEstimate(max(pair.mean, 0), pair.variance**0.5)


_UNKNOWN_PAIR: Final = _to_estimate(PRIOR)


def _start_from_constant(_best_effort_image: str) -> Pair:
    return PRIOR


class InterferenceModel:
    """Estimate which best-effort images slow which latency-critical ones."""

    def __init__(self, learned: LearnedPairs | None = None) -> None:
        """Start without observations.

        Args:
            learned: Start values of pairs that are not yet observed; None for
                the constant prior.
        """
        self._learned = learned
        self._filter_by_image: dict[str, KalmanFilter] = {}
        self._observation_by_task: dict[str, LatencyObservation] = {}
        self._latest_by_step: dict[str, LatencyObservation] = {}

    def observe_workers(self, workers: Iterable[Worker], now_ms: float) -> None:
        """Update the estimates from the reports of all workers."""
        observation_by_task: dict[str, LatencyObservation] = {}
        for worker in workers:
            observation_by_task.update(self._observations_on(worker, now_ms))
        self._observation_by_task = observation_by_task
        self._latest_by_step = {
            step: observation
            for step, observation in self._latest_by_step.items()
            if now_ms - observation.observed_at_ms <= _MAX_REPLICA_GAP_MS
        }
        if self._learned is not None:
            self._learned.update_priors(self.known_pairs(), now_ms)

    def _observations_on(
        self, worker: Worker, now_ms: float
    ) -> dict[str, LatencyObservation]:
        """Return the latest observations of the tasks on a worker.

        Most workers have not reported since the last round, and their
        best-effort tasks need not be counted.
        """
        observation_by_task: dict[str, LatencyObservation] = {}
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
            kalman_filter is not None
            and best_effort_image in kalman_filter.mean_by_image
        ):
            return _to_estimate(kalman_filter.pair(best_effort_image))
        if self._learned is None:
            return _UNKNOWN_PAIR
        return _to_estimate(
            self._learned.start((latency_critical_image, best_effort_image))
        )

    def best_effort_images(self) -> set[str]:
        """Return the best-effort images of all known pairs."""
        return {images[1] for images, _pair in self.known_pairs()}

    def known_pairs(self) -> Iterator[tuple[PairKey, Pair]]:
        """Iterate over all pairs that were observed or loaded."""
        for image, kalman_filter in self._filter_by_image.items():
            for best_effort_image in kalman_filter.mean_by_image:
                pair = kalman_filter.pair(best_effort_image)
                yield (image, best_effort_image), pair
        if self._learned is not None:
            yield from self._learned

    def forget(self) -> None:
        """Forget all pairs."""
        self._filter_by_image.clear()
        if self._learned is not None:
            self._learned.clear()

    def add_learned(self, pairs: Iterable[tuple[PairKey, Pair]]) -> None:
        """Merge pairs that another owner has learned, by precision."""
        if self._learned is None:
            return
        for images, pair in pairs:
            kalman_filter = self._filter_by_image.get(images[0])
            if kalman_filter and images[1] in kalman_filter.mean_by_image:
                kalman_filter.merge(images[1], pair)
            else:
                self._learned.add(images, pair)

    def _observe(
        self,
        sample: LatencySample,
        millicores_by_image: Counter[str],
        now_ms: float,
    ) -> LatencyObservation:
        """Return the task's latest observation; an equal tail is no new one."""
        previous = self._observation_by_task.get(sample.task)
        if previous is not None and previous.sample.tail_ms == sample.tail_ms:
            return previous
        observation = LatencyObservation(now_ms, sample, millicores_by_image)
        if sample.tail_ms:
            if previous is not None and previous.sample.tail_ms:
                self._compare(
                    previous, observation, _MAX_SAMPLE_GAP_MS, _NOISE_VARIANCE
                )
            self._compare_with_replica(observation)
        return observation

    def _compare_with_replica(self, observation: LatencyObservation) -> None:
        """Compare a sample with the latest one of the same step."""
        step = observation.sample.step
        replica = self._latest_by_step.get(step)
        self._latest_by_step[step] = observation
        if replica is not None:
            self._compare(
                replica,
                observation,
                _MAX_REPLICA_GAP_MS,
                _REPLICA_NOISE_VARIANCE,
            )

    def _compare(
        self,
        previous: LatencyObservation,
        current: LatencyObservation,
        max_gap_ms: float,
        noise_variance: float,
    ) -> None:
        headrooms = (previous.sample.headroom, current.sample.headroom)
        gap_ms = current.observed_at_ms - previous.observed_at_ms
        if max(headrooms) < _MIN_HEADROOM or gap_ms > max_gap_ms:
            return
        core_change_by_image = current.core_changes_since(previous)
        if core_change_by_image:
            self._update(
                current.sample.image,
                core_change_by_image,
                headrooms[0] - headrooms[1],
                noise_variance,
            )

    def _update(
        self,
        image: str,
        core_change_by_image: dict[str, float],
        lost_headroom: float,
        noise_variance: float,
    ) -> None:
        """Update the filter of a latency-critical image."""
        kalman_filter = self._filter_by_image.get(image)
        if kalman_filter is None:
            kalman_filter = KalmanFilter(self._start_of(image))
            self._filter_by_image[image] = kalman_filter
        if self._learned is not None:
            self._make_room(image, core_change_by_image)
        images = kalman_filter.mean_by_image.keys() | core_change_by_image
        if len(images) > _MAX_IMAGES:
            return
        known_variance = kalman_filter.variance_of(core_change_by_image)
        if known_variance < _MIN_INFORMATION * noise_variance:
            kalman_filter.widen(core_change_by_image, _WIDENED_PART)
        else:
            kalman_filter.update_robustly(
                core_change_by_image, lost_headroom, noise_variance
            )
        kalman_filter.move_to_end(core_change_by_image)

    def _start_of(self, image: str) -> Callable[[str], Pair]:
        learned = self._learned
        if learned is None:
            return _start_from_constant
        return lambda best_effort_image: learned.take(
            (image, best_effort_image)
        )

    def _make_room(self, image: str, changed_images: Iterable[str]) -> None:
        """Put aside the pairs that were updated least recently.

        Without it, images that are no longer used would keep new ones out.
        """
        kalman_filter = self._filter_by_image[image]
        new_images = set(changed_images) - kalman_filter.mean_by_image.keys()
        excess = len(new_images) + len(kalman_filter.mean_by_image)
        excess -= _MAX_IMAGES
        for best_effort_image in list(kalman_filter.mean_by_image):
            if excess <= 0:
                return
            if best_effort_image not in changed_images:
                excess -= 1
                self._put_aside((image, best_effort_image))

    def _put_aside(self, images: PairKey) -> None:
        assert self._learned is not None, 'only where learning is on'
        pair = self._filter_by_image[images[0]].remove(images[1])
        self._learned.add(images, pair)


def _millicores_by_image(worker: Worker) -> Counter[str]:
    """Return what each best-effort image uses, in thousandths of a core."""
    millicores_by_image: Counter[str] = Counter()
    for best_effort in worker.best_effort_tasks():
        millicores_by_image[best_effort.step.image] += best_effort.load
    return millicores_by_image
