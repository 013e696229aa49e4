"""The decision which runs are outliers, and what a copy of one would gain."""

from dataclasses import dataclass
from typing import Final

__all__ = ('HIGH_SHARE', 'RunEvidence', 'copy_gain_ms', 'is_outlier')

# Shorter runs are not copied: an order, a start and a stop take about as long.
_MIN_RUN_MS: Final = 300.0
# The share of runs of a key that end before one counts as an outlier.
HIGH_SHARE: Final = 0.95
# A run is an outlier if it takes this many times what its siblings take.
_SIBLINGS_FACTOR: Final = 1.5
# Tasks report progress in steps; this much may be done and not shown yet.
_UNSHOWN_SHARE: Final = 0.05


@dataclass(frozen=True, slots=True)
class RunEvidence:
    """What is known of a running attempt.

    Attributes:
        run_ms: How long it has run.
        progress_ms: How long its reported progress has taken at least.
        done_share: The reported share of its work; None if its step's tasks
            do not report progress.
        siblings_ms: How long its work takes its siblings on other workers;
            None if too few are known.
        high_quantile_ms: The time within which ``HIGH_SHARE`` of the runs of
            its key end; None if too few are known.
        expected_ms: The expected run time of a new attempt.
    """

    run_ms: float
    progress_ms: float
    done_share: float | None
    siblings_ms: float | None
    high_quantile_ms: float | None
    expected_ms: float


def is_outlier(run: RunEvidence) -> bool:
    """Return whether a run is far longer than its peers' runs."""
    if run.run_ms < _MIN_RUN_MS:
        return False
    if run.high_quantile_ms is not None and run.run_ms > run.high_quantile_ms:
        return True
    return run.siblings_ms is not None and _is_behind(run, run.siblings_ms)


def _is_behind(run: RunEvidence, siblings_ms: float) -> bool:
    """Return whether its siblings have been 1.5 times as fast so far."""
    limit_ms = _SIBLINGS_FACTOR * siblings_ms
    if run.run_ms > limit_ms:
        return True
    if run.done_share is None or run.progress_ms < _MIN_RUN_MS:
        return False
    return run.progress_ms > limit_ms * (run.done_share + _UNSHOWN_SHARE)


def copy_gain_ms(run: RunEvidence) -> float:
    """Return how much earlier a copy would end; negative if later.

    A run without reported progress is expected to last as long again as it
    has run: long runs are the more likely the longer a run has lasted.
    """
    done_share = run.done_share or 0
    left_ms = run.run_ms
    if done_share > 0:
        left_ms = run.run_ms * (1 - done_share) / done_share
    return left_ms - (run.siblings_ms or run.expected_ms)
