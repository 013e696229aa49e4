"""Random days in virtual time; each seed that ever failed stays here."""

import pytest

from standins.jobs.faults import RandomDay


@pytest.mark.parametrize('seed', [*range(6), 26])
def test_random_day_keeps_the_promises(seed):
    """Jobs come while processes, workers, links and the store fail at random.

    The book of the workers asserts that no task runs twice, starts after its
    end was noted, or takes a worker over its room; afterwards each accepted
    job has ended.
    """
    day = RandomDay(seed)
    assert not day.play(), day.faults
