"""What fillers of an image do to keepers of another, learned from figures.

Answers the pattern of pairs that differ: of nine images of fillers some two
disturb a keeper's image, and the others may run beside it at full pace.

A keeper's headroom is its target as a part of its tail: 1 at the target, more
below it. It falls in line with the cores that fillers use beside it, so that a
change of headroom tells of the images whose use has changed. Each keeper's
image has a Kalman filter for constants (Kalman 1960; recursive least squares
with a prior) with the whole covariance: images that always change together
stay uncertain, each by itself.
"""

from collections import Counter
from dataclasses import dataclass, field
from itertools import product
from typing import Final, Iterable

from hyssopring.jobs.fleet import Worker

__all__ = (
    'MAX_HEADROOM',
    'InterferenceEstimate',
    'InterferenceModel',
    'KeeperFigure',
)

# Headroom that a core of an unknown image takes, and its deviation squared. Of
# 36 pairs that were measured ten took 0.2 to 0.5, two 0.16, the others less
# than 0.1.
_PRIOR: Final = 0.15
_PRIOR_VARIANCE: Final = 0.1
# Headroom moves by some 0.36 from one figure to the next with no filler
# changed.
_NOISE_VARIANCE: Final = 0.13
# Headrooms above this are alike: the keeper is at rest.
MAX_HEADROOM: Final = 6.0
# Below this the tail no longer follows what is beside the keeper.
_LEAST_HEADROOM: Final = 0.4
# Changes of use, in cores, and pauses, in ms, that say something.
_LEAST_CHANGE: Final = 0.1
_LONGEST_PAUSE_MS: Final = 1200.0
# Rounding may leave less than nothing after many figures.
_LEAST_VARIANCE: Final = 1e-6
# Images of fillers that are remembered for each keeper's image.
_MAX_IMAGES: Final = 40
_MILLIS: Final = 1000


@dataclass(frozen=True, slots=True)
class InterferenceEstimate:
    """The headroom that a core of a filler takes of a keeper.

    Attributes:
        mean: The most likely figure, never below nothing.
        deviation: Its standard deviation; large for a pair not seen yet.
    """

    mean: float
    deviation: float

    @property
    def upper_bound(self) -> float:
        """What has to be reckoned with: the mean and one deviation."""
        return self.mean + self.deviation


_UNKNOWN_PAIR: Final = InterferenceEstimate(_PRIOR, _PRIOR_VARIANCE**0.5)


@dataclass(slots=True)
class _Filter:
    """What each image of fillers takes of one image of keepers."""

    means: dict[str, float] = field(default_factory=dict)
    variances: dict[tuple[str, str], float] = field(default_factory=dict)

    def add(self, image: str) -> None:
        """Know the image from now on."""
        if image not in self.means:
            self.means[image] = _PRIOR
            self.variances[image, image] = _PRIOR_VARIANCE

    def learn(self, change: dict[str, float], lost: float) -> None:
        """Headroom of ``lost`` went as the images' use rose by ``change``."""
        for image in change:
            self.add(image)
        gains = self._gains(change)
        spread = _NOISE_VARIANCE + _dot(gains, change)
        wrong = lost - _dot(self.means, change)
        for image, gain in gains.items():
            self.means[image] += gain * wrong / spread
        for one, other in product(gains, repeat=2):
            known = self.variances.get((one, other), 0)
            known -= gains[one] * gains[other] / spread
            self.variances[one, other] = known

    def _gains(self, change: dict[str, float]) -> dict[str, float]:
        """Return how much each mean follows what the change shows."""
        return {
            image: sum(
                self.variances.get((image, other), 0) * cores
                for other, cores in change.items()
            )
            for image in self.means
        }


def _dot(by_image: dict[str, float], change: dict[str, float]) -> float:
    return sum(by_image[image] * cores for image, cores in change.items())


@dataclass(frozen=True, slots=True)
class KeeperFigure:
    """What one listing says of a keeper with a target, in milliseconds."""

    task: str
    image: str
    tail_ms: int
    target_ms: int

    @property
    def headroom(self) -> float:
        """The target as a part of the tail; a tail of 0 is none yet."""
        return min(MAX_HEADROOM, self.target_ms / max(self.tail_ms, 1))


@dataclass(frozen=True, slots=True)
class _Seen:
    """A keeper's figure and what fillers used beside it, in 1/1000 cores."""

    at: float
    figure: KeeperFigure
    use: Counter[str]


class InterferenceModel:
    """Learns which fillers disturb which keepers."""

    def __init__(self) -> None:
        """Know no pair."""
        self._filter_by_image: dict[str, _Filter] = {}
        self._seen_by_task: dict[str, _Seen] = {}

    def observe_workers(self, workers: Iterable[Worker], now: float) -> None:
        """Learn from what the workers' reports say of their tasks."""
        seen: dict[str, _Seen] = {}
        for worker in workers:
            use: Counter[str] = Counter()
            for filler in worker.best_effort_tasks():
                use[filler.step.image] += filler.load
            for placed in worker.latency_critical_tasks():
                keeper = KeeperFigure(
                    str(placed.name),
                    placed.step.image,
                    placed.load,
                    placed.step.target_ms,
                )
                seen[keeper.task] = self._look_at(keeper, use, now)
        self._seen_by_task = seen

    def observe_worker(
        self,
        keepers: Iterable[KeeperFigure],
        use: Counter[str],
        now: float,
    ) -> None:
        """Learn from one worker's figures: ``use`` is in 1/1000 cores."""
        self._seen_by_task = {
            keeper.task: self._look_at(keeper, use, now) for keeper in keepers
        }

    def per_core(self, keeper: str, filler: str) -> InterferenceEstimate:
        """Return what a core of a filler's image takes of a keeper's."""
        known = self._filter_by_image.get(keeper)
        if known is None or filler not in known.means:
            return _UNKNOWN_PAIR
        variance = max(known.variances[filler, filler], _LEAST_VARIANCE)
        return InterferenceEstimate(max(known.means[filler], 0), variance**0.5)

    def _look_at(
        self,
        keeper: KeeperFigure,
        use: Counter[str],
        now: float,
    ) -> _Seen:
        before = self._seen_by_task.get(keeper.task)
        if before is not None and before.figure.tail_ms == keeper.tail_ms:
            return before
        seen = _Seen(now, keeper, use)
        if before is not None and keeper.tail_ms and before.figure.tail_ms:
            self._compare(before, seen)
        return seen

    def _compare(self, before: _Seen, after: _Seen) -> None:
        headrooms = (before.figure.headroom, after.figure.headroom)
        if max(headrooms) < _LEAST_HEADROOM:
            return
        if after.at - before.at > _LONGEST_PAUSE_MS:
            return
        change = {
            filler: cores
            for filler in after.use.keys() | before.use.keys()
            if abs(cores := (after.use[filler] - before.use[filler]) / _MILLIS)
            > _LEAST_CHANGE
        }
        image = after.figure.image
        known = self._filter_by_image.setdefault(image, _Filter())
        if change and len(known.means.keys() | change.keys()) <= _MAX_IMAGES:
            known.learn(change, headrooms[0] - headrooms[1])
