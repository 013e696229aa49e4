"""The announced state of an incarnation of a worker."""

from hyssopring.clock import ManualClock
from hyssopring.jobs.announced_state import AnnouncedState
from hyssopring.jobs.model import Size
from hyssopring.jobs.times import CAPACITY_TTL_MS
from hyssopring.jobs.worker_port import Announcement

ROOM = Size(4000, 8000, 0)


def told(sequence, room=ROOM, is_leaving=False):
    return Announcement(
        'i-1#1', 'service', room, ('a',), is_leaving, 0, sequence, 1000
    )


def test_a_late_report_changes_nothing():
    """Guards against resources of an outdated announcement."""
    state = AnnouncedState.of_boot(ManualClock(), told(5), 0)
    assert not state.update(told(4, Size(9000, 9000, 0), is_leaving=True))
    assert state.room == ROOM
    assert not state.is_leaving


def test_a_room_counts_for_a_while_only():
    """Guards against starts on resources that may have shrunk since."""
    clock = ManualClock()
    state = AnnouncedState.of_boot(clock, told(1), clock.now())
    clock.advance(CAPACITY_TTL_MS + 1)
    assert state.room == Size()
    assert state.update(told(2, Size(1000, 1000, 0)))
    assert state.room == Size(1000, 1000, 0)


def test_a_worker_that_withdraws_is_leaving():
    state = AnnouncedState.of_boot(ManualClock(), told(1), 0)
    state.withdraw()
    assert state.is_leaving
    assert state.withdrawn_at == 0
