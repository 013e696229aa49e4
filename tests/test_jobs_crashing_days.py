"""Random days on which some tasks crash their workers, in virtual time."""

import pytest

from standins.jobs.crashing_days import CrashingDay


@pytest.mark.parametrize('seed', [7, 10, 22])
def test_crashing_day_keeps_the_promises(seed):
    """Guards against starts without end, and innocents given up, under faults.

    At the end each job with a crashing task has failed, and each other one that
    nobody has cancelled is completed.
    """
    day = CrashingDay(seed)
    assert not day.play(), day.faults
