"""Random faults in virtual time; seeds that failed are kept."""

import pytest

from standins.jobs.copy_days import CopyDay
from standins.jobs.evacuation_days import EvacuationDay
from standins.jobs.faults import RandomDay


@pytest.mark.parametrize(
    'seed, has_keepers',
    [*((seed, True) for seed in range(6)), (26, False)],
)
def test_random_day_keeps_the_promises(seed, has_keepers):
    """Jobs arrive while processes, workers, links and the store fail at random.

    The workers' record asserts that no task runs twice, starts after its end
    was recorded, or exceeds a worker's capacity. At the end each accepted job
    has ended, and without faults each keeper runs within the rule's bound. A
    seed that failed before there were keepers runs without them.
    """
    day = RandomDay(seed, has_keepers=has_keepers)
    assert not day.play(), day.faults


@pytest.mark.parametrize('seed', range(4))
def test_random_day_with_copies_keeps_the_promises(seed):
    """As above, with copies of tasks, slow workers and long runs.

    No task has three attempts at a time, and no other task has two.
    """
    day = CopyDay(seed, has_keepers=seed % 2 == 0)
    assert not day.play(), day.faults
    assert day.deployment.run_recorder.copy_count


@pytest.mark.parametrize('seed', range(4))
def test_random_day_with_evacuations_keeps_the_promises(seed):
    """As above, with keepers that are moved out of evacuated zones.

    Guards against moves that run a task twice or leave it stopped.
    """
    day = EvacuationDay(seed)
    assert not day.play(), day.faults
    assert day.stopped_keepers
