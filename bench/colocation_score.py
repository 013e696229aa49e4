"""What a played day of keepers, fillers and small tasks is worth."""

import statistics
from dataclasses import dataclass

from bench.colocation_day import AFTER_S, LOAD_S
from bench.colocation_jobs import LARGE, SMALL

# What keepers, large jobs and small ones are owed of all: a user of the drawn
# days counts on keepers most.
KEEPER_PART = 0.56
LARGE_PART = 0.36
SMALL_PART = 0.08
# A second in which a filler puts a keeper over its target counts as so many
# in which the keeper is away.
HARM_X = 4
# A job counts by its work beside the mean of its kind, up to a limit.
LEAST_WEIGHT = 0.3
MOST_WEIGHT = 4


@dataclass(frozen=True)
class Score:
    """Shares of what is owed, and two figures that explain them."""

    worth: float
    large: float
    small: float
    keepers: float
    harmed_s: float
    filler_cores: float

    @classmethod
    def from_day(cls, day):
        """Score a day that was played."""
        large = _credit(_handed(day, LARGE))
        small = _credit(_handed(day, SMALL))
        times = day.times
        own = times.over - times.harmed
        well = times.at_work - own - HARM_X * times.harmed
        keepers = max(0, well / day.keeper_s)
        used = sum(worker.used_core_s for worker in day.deployment.workers)
        return cls(
            KEEPER_PART * keepers + LARGE_PART * large + SMALL_PART * small,
            large,
            small,
            keepers,
            times.harmed,
            used / (LOAD_S + AFTER_S),
        )


def _handed(day, queue):
    return [each for each in day.handed.values() if each.job.queue is queue]


def _credit(handed):
    """Return the share of what jobs of one kind are owed."""
    mean = statistics.mean(each.work for each in handed)
    owed = [
        min(
            MOST_WEIGHT,
            LEAST_WEIGHT + (1 - LEAST_WEIGHT) * each.work / mean,
        )
        for each in handed
    ]
    earned = sum(
        weight * each.credit for weight, each in zip(owed, handed, strict=True)
    )
    return earned / sum(owed)
