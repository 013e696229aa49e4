"""Rolling replacements of entries and VMs; seeds that failed are kept."""

import pytest

from standins.jobs.rolling_days import RollingDay


@pytest.mark.parametrize('seed', [31, 58, 69, 113, 157, 244, 3010])
def test_rolling_day_keeps_the_promises(seed):
    """Entries and VMs are replaced in turn, with slow links, store and workers.

    The workers' record asserts that no task runs twice, starts after its end
    was recorded, or exceeds a worker's capacity. Without faults each keeper
    for which there is capacity runs within the rule's bound. At the end each
    accepted batch job has ended, each keeper that was not cancelled runs, and
    nothing else does.
    """
    day = RollingDay(seed)
    assert not day.play(), day.faults
