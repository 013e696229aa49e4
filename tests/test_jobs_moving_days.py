"""Random days on which lasting tasks move while owners and links fail.

Longer runs: ``python -m tests.test_jobs_moving_days FIRST LAST``.
"""

import sys

import pytest

from standins.jobs.moving_days import MovingDay


@pytest.mark.parametrize('seed', [1085, 1001])
def test_a_day_of_lasting_tasks_that_move(seed):
    """Guards against two runs of a task that a later owner does not know of.

    The workers' book asserts it all the while.
    """
    MovingDay(seed).play()


def main(first, last):
    """Play days by hand, one line each that fails."""
    for seed in range(first, last + 1):
        try:
            MovingDay(seed).play()
        except AssertionError as broken:
            print(seed, broken)


if __name__ == '__main__':
    main(*map(int, sys.argv[1:]))
