"""The summary of what an owner has learned, for the next owner."""

from dataclasses import dataclass, field
from typing import Final, Mapping, Sequence

from hyssopring.learning.pairs import Pair, PairKey

__all__ = ('Counts', 'StoredRuns', 'Summary')

# Values with the number of ends that had them.
Counts = Sequence[tuple[float, int]]

# The reader may serve other workers than the writer did.
_LOAD_FACTOR: Final = 1.25
# Interference changes with the load of services over hours: after one, a pair
# that was known exactly is about as uncertain as an unknown one.
_DRIFT_VARIANCE_PER_MS: Final = 0.1 / 3_600_000
# Ends of this age count half.
_RUNS_HALF_LIFE_MS: Final = 3_600_000.0
# A pair is written again if its mean has moved by this much headroom, or its
# variance by this factor.
_MIN_MEAN_CHANGE: Final = 0.02
_MIN_VARIANCE_FACTOR: Final = 1.3
# A write is due if at least this share of the pairs has changed.
_MIN_CHANGED_SHARE: Final = 0.02


@dataclass(frozen=True, slots=True)
class StoredRuns:
    """The runs of one key, scaled down to a few dozen ends.

    Attributes:
        times_ms: Run times.
        ratios: Ratios of run time to estimate.
    """

    times_ms: Counts
    ratios: Counts

    @property
    def ends(self) -> int:
        """Return the number of ends."""
        return sum(count for _time_ms, count in self.times_ms)

    def scaled(self, factor: float) -> 'StoredRuns':
        """Return the runs with smaller counts."""
        return StoredRuns(
            _scaled(self.times_ms, factor), _scaled(self.ratios, factor)
        )


@dataclass(frozen=True, slots=True)
class Summary:
    """What an owner has learned.

    Attributes:
        saved_ms: When it was made, in ms since 1970.
        pair_by_images: Known pairs of images.
        runs_by_key: Runs by the key of ``run_times.run_time_key``.
        speed_by_boot: Relative speeds of workers by incarnation.
    """

    saved_ms: float = 0
    pair_by_images: Mapping[PairKey, Pair] = field(default_factory=dict)
    runs_by_key: Mapping[str, StoredRuns] = field(default_factory=dict)
    speed_by_boot: Mapping[str, float] = field(default_factory=dict)

    def aged(self, now_ms: float, useless_variance: float) -> 'Summary':
        """Return what the summary still tells at a later time.

        Args:
            now_ms: The time in ms since 1970. Clocks of VMs differ a little,
                so a summary from the near future counts as new.
            useless_variance: Pairs of this variance and above are left out.
        """
        age_ms = max(0, now_ms - self.saved_ms)
        widened_by_images = {
            images: pair.widened(_LOAD_FACTOR, age_ms * _DRIFT_VARIANCE_PER_MS)
            for images, pair in self.pair_by_images.items()
        }
        factor = 0.5 ** (age_ms / _RUNS_HALF_LIFE_MS)
        return Summary(
            self.saved_ms,
            {
                images: pair
                for images, pair in widened_by_images.items()
                if pair.variance < useless_variance
            },
            {
                key: runs.scaled(factor)
                for key, runs in self.runs_by_key.items()
            },
            self.speed_by_boot,
        )

    def has_changed_since(self, saved: 'Summary') -> bool:
        """Whether it differs enough for another write."""
        if self.speed_by_boot != saved.speed_by_boot:
            return True
        if self.runs_by_key != saved.runs_by_key:
            return True
        changed = sum(
            _has_changed(saved.pair_by_images.get(images), pair)
            for images, pair in self.pair_by_images.items()
        )
        return changed > _MIN_CHANGED_SHARE * len(self.pair_by_images)


def _has_changed(saved: Pair | None, current: Pair) -> bool:
    if saved is None:
        return True
    variances = (saved.variance, current.variance)
    return abs(current.mean - saved.mean) > _MIN_MEAN_CHANGE or max(
        variances
    ) > _MIN_VARIANCE_FACTOR * min(variances)


def _scaled(counts: Counts, factor: float) -> Counts:
    """Return smaller counts, rounded cumulatively to keep rare values."""
    scaled = []
    seen = 0
    for number, count in counts:
        before = round(seen * factor)
        seen += count
        kept = round(seen * factor) - before
        if kept:
            scaled.append((number, kept))
    return scaled
