"""Random runs in virtual time in which some tasks crash their workers."""

import pytest

from standins.jobs.crashing_days import CrashingDay


@pytest.mark.parametrize(
    'seed, has_keepers',
    [
        (7, False),
        (10, False),
        (22, False),
        (122, True),
        (311, False),
        (318, False),
    ],
)
def test_random_run_with_crashing_tasks(seed, has_keepers):
    """Guards against endless starts, and failures of other jobs, under faults.

    At the end, each job with a crashing task has failed, and each other job
    that was not cancelled is completed. Without faults, each task of a keeper
    runs within the bound of the rule. The seeds without keepers have failed
    with earlier versions.
    """
    day = CrashingDay(seed, has_keepers=has_keepers)
    assert not day.play(), day.faults
