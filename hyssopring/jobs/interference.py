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
from dataclasses import dataclass
from typing import Callable, Final, Iterable, Iterator

from hyssopring.jobs.fleet import Worker
from hyssopring.jobs.kalman_filter import KalmanFilter
from hyssopring.learning.learned_pairs import LearnedPairs
from hyssopring.learning.pairs import Pair, PairKey

__all__ = (
    'MAX_HEADROOM',
    'PRIOR',
    'InterferenceEstimate',
    'InterferenceModel',
    'LatencySample',
)

# The prior for the headroom that a core of an unknown image takes, and its
# variance. Of 36 pairs, ten took 0.2 to 0.5, two 0.16 and the others
# less than 0.1.
PRIOR: Final = Pair(0.15, 0.1)
# Higher headrooms count as equal: the task is nearly idle.
MAX_HEADROOM: Final = 6.0
# Below this headroom, the tail latency no longer depends on neighboring tasks.
_MIN_HEADROOM: Final = 0.4
# Samples are compared if the use of an image, in cores, has changed by more
# than this, and if they are at most this far apart.
_MIN_USE_CHANGE: Final = 0.1
_MAX_SAMPLE_GAP_MS: Final = 1200.0
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


def _to_estimate(pair: Pair) -> InterferenceEstimate:
    return InterferenceEstimate(max(pair.mean, 0), pair.variance**0.5)


_UNKNOWN_PAIR: Final = _to_estimate(PRIOR)


def _start_from_constant(_best_effort_image: str) -> Pair:
    return PRIOR


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

    def __init__(self, learned: LearnedPairs | None = None) -> None:
        """Start without observations.

        Args:
            learned: Start values of pairs that are not yet observed; None for
                the constant prior.
        """
        self._learned = learned
        self._filter_by_image: dict[str, KalmanFilter] = {}
        self._observation_by_task: dict[str, _Observation] = {}

    def observe_workers(self, workers: Iterable[Worker], now_ms: float) -> None:
        """Update the estimates from the reports of all workers."""
        observation_by_task: dict[str, _Observation] = {}
        for worker in workers:
            millicores_by_image: Counter[str] = Counter()
            for best_effort in worker.best_effort_tasks():
                millicores_by_image[best_effort.step.image] += best_effort.load
            for placed in worker.latency_critical_tasks():
                sample = LatencySample(
                    str(placed.name),
                    placed.step.image,
                    placed.load,
                    placed.step.target_ms,
                )
                observation_by_task[sample.task] = self._observe(
                    sample, millicores_by_image, now_ms
                )
        self._observation_by_task = observation_by_task
        if self._learned is not None:
            self._learned.update_priors(self.known_pairs(), now_ms)

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
        if core_change_by_image:
            self._update(
                current.sample.image,
                core_change_by_image,
                headrooms[0] - headrooms[1],
            )

    def _update(
        self,
        image: str,
        core_change_by_image: dict[str, float],
        lost_headroom: float,
    ) -> None:
        """Update the filter of a latency-critical image."""
        kalman_filter = self._filter_by_image.get(image)
        if kalman_filter is None:
            kalman_filter = KalmanFilter(self._start_of(image))
            self._filter_by_image[image] = kalman_filter
        if self._learned is not None:
            self._make_room(image, core_change_by_image)
        images = kalman_filter.mean_by_image.keys() | core_change_by_image
        if len(images) <= _MAX_IMAGES:
            kalman_filter.update(core_change_by_image, lost_headroom)
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
