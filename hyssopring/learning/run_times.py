"""How long tasks really run, learned from the ends of earlier tasks.

The caller's estimate is the prior. Runs are kept both as times and as ratios
of real to estimated time. Ratios let jobs of different sizes in one queue
share evidence; times are the better predictor where estimates are arbitrary.
The narrower of the two distributions predicts.
"""

import math
from collections import OrderedDict
from dataclasses import dataclass, field
from typing import Final, Iterator

from hyssopring.jobs.model import Job
from hyssopring.learning.spread import Spread

__all__ = ('MAX_KEYS', 'RunTimes', 'RunsOfKey', 'run_time_key')

MAX_KEYS: Final = 200
# The estimate counts as much as this many ends.
_PRIOR_ENDS: Final = 4
# A quantile near the end of the distribution needs some ends above it.
_MIN_QUANTILE_ENDS: Final = 20
# Times predict only if their distribution is clearly narrower: with equal
# estimates, the two differ by rounding alone.
_NARROWER: Final = 0.9


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
class RunsOfKey:
    """The runs of tasks with one key.

    Attributes:
        times_ms: Run times.
        ratios: Ratios of run time to estimate.
    """

    times_ms: Spread = field(default_factory=Spread)
    ratios: Spread = field(default_factory=Spread)

    def record(self, estimate_ms: float, run_ms: float) -> None:
        """Count a run; without an estimate it has no ratio."""
        self.times_ms.record(run_ms)
        if estimate_ms > 0:
            self.ratios.record(run_ms / estimate_ms)

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
        self._runs_by_key: OrderedDict[str, RunsOfKey] = OrderedDict()

    def __iter__(self) -> Iterator[tuple[str, RunsOfKey]]:
        """Iterate over keys and their runs, the least recent first."""
        return iter(self._runs_by_key.items())

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
        runs = self._runs_by_key.get(key)
        if runs is None:
            runs = RunsOfKey()
            self._runs_by_key[key] = runs
        self._runs_by_key.move_to_end(key)
        runs.record(estimate_ms, run_ms)
        if len(self._runs_by_key) > MAX_KEYS:
            self._evict()

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
