"""Random days on which workers start again under their ids.

Longer runs: ``python -m tests.test_jobs_returning_days FIRST LAST``.
"""

import sys

import pytest

from standins.jobs.returning_days import ReturningDay

SEEDS = (0, 1, 2)
# Played as they were before there were tasks that last; 10 and 17 had failed.
SEEDS_WITHOUT_KEEPERS = (10, 17, 23)


@pytest.mark.parametrize('seed', SEEDS)
def test_a_random_day_of_returning_workers(seed):
    """Guards against two runs, lost ends, and jobs or tasks left waiting."""
    assert not ReturningDay(seed).play()


@pytest.mark.parametrize('seed', SEEDS_WITHOUT_KEEPERS)
def test_a_random_day_of_returning_workers_and_batch_jobs(seed):
    """Guards against two runs, lost ends and jobs that never finish."""
    assert not ReturningDay(seed, has_keepers=False).play()


def main(first, last):
    """Play days by hand, one line each that fails."""
    for seed in range(first, last + 1):
        left = ReturningDay(seed).play()
        if left:
            print(seed, left)


if __name__ == '__main__':
    main(*map(int, sys.argv[1:]))
