"""Days of rolling replacements; each seed that ever failed stays here."""

import pytest

from standins.jobs.rolling_days import RollingDay


@pytest.mark.parametrize('seed', [31, 58, 69, 113, 157, 244, 3010])
def test_rolling_day_keeps_the_promises(seed):
    """Entries and VMs are replaced in turn over slow links, stores, workers.

    The book of the workers asserts that no task runs twice, starts after its
    end was noted, or takes a worker over its room. In all calm each
    keeper with room runs by the rule's bound; at the end each accepted batch job has ended, each
    keeper that nobody cancelled runs, and nothing else does.
    """
    day = RollingDay(seed)
    assert not day.play(), day.faults
