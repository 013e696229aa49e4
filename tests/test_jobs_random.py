"""Random days in virtual time; each seed that ever failed stays here."""

import pytest

from standins.jobs.faults import RandomDay


@pytest.mark.parametrize(
    'seed, has_keepers',
    [*((seed, True) for seed in range(6)), (26, False)],
)
def test_random_day_keeps_the_promises(seed, has_keepers):
    """Jobs come while processes, workers, links and the store fail at random.

    The book of the workers asserts that no task runs twice, starts after its
    end was noted, or takes a worker over its room; afterwards each accepted
    job has ended, and in all calm each task that lasts runs by the rule's
    bound. A seed that failed before there were such tasks is played as it was.
    """
    day = RandomDay(seed, has_keepers=has_keepers)
    assert not day.play(), day.faults
