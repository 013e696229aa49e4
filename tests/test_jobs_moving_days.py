"""Random runs in which keepers' tasks move while owners and links fail.

More seeds: ``python -m tests.test_jobs_moving_days FIRST LAST``.
"""

import sys

import pytest

from standins.jobs.moving_days import MovingDay


@pytest.mark.parametrize('seed', [1085, 1001])
def test_random_run_with_moving_tasks(seed):
    """Guards against a second run of a task of which a later owner has no row.

    The stand-in workers assert that no task runs twice.
    """
    MovingDay(seed).play()


def main(first, last):
    """Run a range of seeds and print a line for each that fails."""
    for seed in range(first, last + 1):
        try:
            MovingDay(seed).play()
        except AssertionError as error:
            print(seed, error)


if __name__ == '__main__':
    main(*map(int, sys.argv[1:]))
