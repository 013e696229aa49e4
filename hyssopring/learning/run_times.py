"""How long tasks really run, learned from the ends of earlier tasks.

The caller's estimate is the prior. Runs are kept both as times and as ratios
of real to estimated time. Ratios let jobs of different sizes in one queue
share evidence; times are the better predictor where estimates are arbitrary.
The narrower of the two distributions predicts.
"""

import math
from collections import OrderedDict
from dataclasses import dataclass, field
from typing import Final, Mapping

from hyssopring.jobs.model import Job
from hyssopring.learning.spread import Spread
from hyssopring.learning.summary import StoredRuns

__all__ = ('MAX_KEYS', 'RunTimes', 'run_time_key')

MAX_KEYS: Final = 200
# The estimate counts as much as this many ends.
_PRIOR_ENDS: Final = 4
# A quantile near the end of the distribution needs some ends above it.
_MIN_QUANTILE_ENDS: Final = 20
# Times predict only if their distribution is clearly narrower: with equal
# estimates, the two differ by rounding alone.
_NARROWER: Final = 0.9
# What the next owner gets of a key: enough for a quantile. All keys together
# take 12 KB of the summary.
_STORED_ENDS: Final = 40
# The stored runs of a key are made anew after this many further ends, as a
# share of the counted ones.
_STORED_CHANGE_SHARE: Final = 0.1


def run_time_key(job: Job, step_index: int) -> str:
    """Return the key under which the runs of a step's tasks are counted.

    It is the image, or the queue and the position of the step for tasks
    without an image.
    """
    image = job.steps[step_index].image
    if image:
        return f'image:{image}'
    return f'queue:{job.queue.name}:{step_index}'


@dataclass(slots=True)
class _RunsOfKey:
    """The runs of tasks with one key.

    Attributes:
        times_ms: Run times.
        ratios: Ratios of run time to estimate.
        unstored_ends: Ends since ``to_stored`` made its last result.
    """

    times_ms: Spread = field(default_factory=Spread)
    ratios: Spread = field(default_factory=Spread)
    unstored_ends: int = 0
    _stored: StoredRuns | None = None

    def record(self, estimate_ms: float, run_ms: float) -> None:
        """Count a run; without an estimate it has no ratio."""
        self.unstored_ends += 1
        self.times_ms.record(run_ms)
        if estimate_ms > 0:
            self.ratios.record(run_ms / estimate_ms)

    def add(self, stored: StoredRuns) -> None:
        """Count runs that another owner has seen."""
        self.unstored_ends += stored.ends
        for run_ms, times_count in stored.times_ms:
            self.times_ms.record(run_ms, times_count)
        for ratio, ratio_count in stored.ratios:
            self.ratios.record(ratio, ratio_count)

    def to_stored(self) -> StoredRuns:
        """Return the runs in brief; the same object until they change."""
        change = _STORED_CHANGE_SHARE * self.times_ms.count
        if self._stored is None or self.unstored_ends > change:
            self.unstored_ends = 0
            self._stored = StoredRuns(
                self.times_ms.counts(_STORED_ENDS),
                self.ratios.counts(_STORED_ENDS),
            )
        return self._stored

    def predictor(self, estimate_ms: float) -> tuple[Spread, float]:
        """Return the spread that predicts best, and the factor to ms."""
        times_variance = self.times_ms.log_variance
        are_times_narrower = (
            times_variance < _NARROWER * self.ratios.log_variance
        )
        if estimate_ms <= 0 or are_times_narrower:
            return self.times_ms, 1
        return self.ratios, estimate_ms


class RunTimes:
    """Bounded distributions of run times by key."""

    def __init__(self) -> None:
        """Start without ends."""
        self._runs_by_key: OrderedDict[str, _RunsOfKey] = OrderedDict()

    def __len__(self) -> int:
        """Return the number of keys."""
        return len(self._runs_by_key)

    def record(self, key: str, estimate_ms: float, run_ms: float) -> None:
        """Count a run that ended ``done`` on a worker at full pace.

        Args:
            key: See ``run_time_key``.
            estimate_ms: The caller's estimate, 0 if unknown.
        """
        if not (math.isfinite(run_ms) and run_ms > 0):
            return
        self._runs_of(key).record(estimate_ms, run_ms)
        if len(self._runs_by_key) > MAX_KEYS:
            self._evict()

    def clear(self) -> None:
        """Forget all ends."""
        self._runs_by_key.clear()

    def add(self, runs_by_key: Mapping[str, StoredRuns]) -> None:
        """Count the runs that another owner has seen."""
        for key, stored in runs_by_key.items():
            self._runs_of(key).add(stored)
            if len(self._runs_by_key) > MAX_KEYS:
                self._evict()

    def to_stored(self) -> dict[str, StoredRuns]:
        """Return the runs in brief by key, for the next owner."""
        return {
            key: runs.to_stored() for key, runs in self._runs_by_key.items()
        }

    def expected_ms(self, key: str, estimate_ms: float) -> float:
        """Return the expected run time.

        It is the caller's estimate without ends; each end counts more.
        """
        runs = self._runs_by_key.get(key)
        if runs is None:
            return estimate_ms
        spread, factor_ms = runs.predictor(estimate_ms)
        prior_ends = _PRIOR_ENDS if estimate_ms > 0 else 0
        ends = prior_ends + spread.count
        if not ends:
            return estimate_ms
        learned_ms = spread.mean * factor_ms
        return (
            prior_ends / ends * estimate_ms + spread.count / ends * learned_ms
        )

    def quantile_ms(
        self, key: str, estimate_ms: float, share: float
    ) -> float | None:
        """Return the time within which a share of the tasks ends.

        Returns:
            None if too few ends are known.
        """
        runs = self._runs_by_key.get(key)
        if runs is None:
            return None
        spread, factor_ms = runs.predictor(estimate_ms)
        if spread.count < _MIN_QUANTILE_ENDS:
            return None
        return spread.quantile(share) * factor_ms

    def _runs_of(self, key: str) -> _RunsOfKey:
        """Return the runs of a key, which is now the last one used."""
        runs = self._runs_by_key.get(key)
        if runs is None:
            runs = _RunsOfKey()
            self._runs_by_key[key] = runs
        self._runs_by_key.move_to_end(key)
        return runs

    def _evict(self) -> None:
        """Drop the key with the fewest ends of the less recent half.

        A new key keeps its place until it has been unused for a while.
        """
        less_recent = list(self._runs_by_key)[: len(self._runs_by_key) // 2]
        self._runs_by_key.pop(
            min(
                less_recent,
                key=lambda key: self._runs_by_key[key].times_ms.count,
            )
        )
