"""Random fault schedules with workers that restart under the same ID.

To run more seeds: ``python -m tests.test_jobs_returning_days FIRST LAST``.
"""

import sys

import pytest

from standins.jobs.returning_days import ReturningDay

SEEDS = (0, 1, 2)
# Schedules without keepers; seeds 10 and 17 once failed.
SEEDS_WITHOUT_KEEPERS = (10, 17, 23)


@pytest.mark.parametrize('seed', SEEDS)
def test_a_random_day_of_returning_workers(seed):
    """Guards against duplicate runs, lost ends and tasks left waiting."""
    assert not ReturningDay(seed).play()


@pytest.mark.parametrize('seed', SEEDS_WITHOUT_KEEPERS)
def test_a_random_day_of_returning_workers_and_batch_jobs(seed):
    """Guards against duplicate runs, lost ends and unfinished jobs."""
    assert not ReturningDay(seed, has_keepers=False).play()


def main(first, last):
    """Run the seeds of a range and print a line for each failure."""
    for seed in range(first, last + 1):
        left = ReturningDay(seed).play()
        if left:
            print(seed, left)


if __name__ == '__main__':
    main(*map(int, sys.argv[1:]))
