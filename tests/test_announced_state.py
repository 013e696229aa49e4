"""The announced state of an incarnation of a worker."""

from hyssopring.clock import ManualClock
from hyssopring.jobs.announced_state import AnnouncedState
from hyssopring.jobs.model import Size
from hyssopring.jobs.times import CAPACITY_TTL_MS
from hyssopring.jobs.worker_port import Announcement

CAPACITY = Size(4000, 8000, 0)


def announcement(sequence, capacity=CAPACITY, is_leaving=False):
    return Announcement(
        'i-1#1', 'service', capacity, ('a',), is_leaving, 0, sequence, 1000
    )


def test_a_late_report_changes_nothing():
    """Guards against resources of an outdated announcement."""
    state = AnnouncedState.from_announcement(ManualClock(), announcement(5), 0)
    assert not state.update(
        announcement(4, Size(9000, 9000, 0), is_leaving=True)
    )
    assert state.capacity == CAPACITY
    assert not state.is_leaving


def test_a_capacity_counts_for_a_while_only():
    """Guards against starts on resources that may have shrunk since."""
    clock = ManualClock()
    state = AnnouncedState.from_announcement(
        clock, announcement(1), clock.now()
    )
    clock.advance(CAPACITY_TTL_MS + 1)
    assert state.capacity == Size()
    assert state.update(announcement(2, Size(1000, 1000, 0)))
    assert state.capacity == Size(1000, 1000, 0)


def test_a_worker_that_deregisters_is_leaving():
    state = AnnouncedState.from_announcement(ManualClock(), announcement(1), 0)
    state.deregister()
    assert state.is_leaving
    assert state.deregistered_at == 0
