"""Score of a simulated day of keepers, best-effort and small tasks."""

import statistics
from dataclasses import dataclass

from bench.colocation_day import COOLDOWN_S, LOAD_S
from bench.colocation_load import LARGE_QUEUE, SMALL_QUEUE

# Weights of keepers, large and small jobs in the score: users of the simulated
# days depend on keepers most.
KEEPER_WEIGHT = 0.56
LARGE_WEIGHT = 0.36
SMALL_WEIGHT = 0.08
# A second over target through interference costs as much as this many seconds
# without the keeper.
INTERFERENCE_PENALTY = 4
# A job is weighted by its work relative to the mean of its kind, within limits.
MIN_JOB_WEIGHT = 0.3
MAX_JOB_WEIGHT = 4


@dataclass(frozen=True)
class Score:
    """Earned shares of the possible credit, and two explaining figures.

    Attributes:
        worth: Weighted sum of the shares of large jobs, small jobs and keepers.
        harmed_s: Keeper-seconds over target through interference.
        filler_cores: Mean number of cores used by best-effort tasks.
    """

    worth: float
    large: float
    small: float
    keepers: float
    harmed_s: float
    filler_cores: float

    @classmethod
    def from_day(cls, day):
        """Score a simulated day."""
        large = _credit(_jobs_of(day, LARGE_QUEUE))
        small = _credit(_jobs_of(day, SMALL_QUEUE))
        times = day.times
        own_over_s = times.over - times.harmed
        credited_s = (
            times.at_work - own_over_s - INTERFERENCE_PENALTY * times.harmed
        )
        keepers = max(0, credited_s / day.keeper_s)
        used_core_s = sum(
            worker.used_core_s for worker in day.deployment.workers
        )
        return cls(
            KEEPER_WEIGHT * keepers
            + LARGE_WEIGHT * large
            + SMALL_WEIGHT * small,
            large,
            small,
            keepers,
            times.harmed,
            used_core_s / (LOAD_S + COOLDOWN_S),
        )


def _jobs_of(day, queue):
    return [
        submitted
        for submitted in day.submitted_by_id.values()
        if submitted.job.queue is queue
    ]


def _credit(jobs):
    """Return the share of the possible credit that jobs of a kind earned."""
    mean = statistics.mean(job.work_core_s for job in jobs)
    weights = [
        min(
            MAX_JOB_WEIGHT,
            MIN_JOB_WEIGHT + (1 - MIN_JOB_WEIGHT) * job.work_core_s / mean,
        )
        for job in jobs
    ]
    earned = sum(
        weight * job.credit for weight, job in zip(weights, jobs, strict=True)
    )
    return earned / sum(weights)
