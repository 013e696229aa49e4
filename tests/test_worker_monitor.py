"""Polls of one worker and the hold on its tasks."""

from twisted.internet.defer import succeed
from twisted.internet.task import Clock as Reactor

from hyssopring.jobs.fences import FenceCounter
from hyssopring.jobs.model import Size
from hyssopring.jobs.worker_monitor import WorkerMonitor
from hyssopring.jobs.worker_port import Announcement, Listing
from standins.jobs.processes import ReactorClock

CAPACITY = Size(1000, 1000, 0)
ANNOUNCEMENT = Announcement(
    'boot', 'service', CAPACITY, (), False, 0, 1, 1000, 'worker'
)
STARTS = 3000
INTERVAL_S = 0.01


class IdleWorker:
    """Answers each poll at once."""

    def poll(self, _request):
        return succeed(Listing(1000, (), ()))


def test_a_new_agent_s_worker_has_room_at_once():
    """Guards against a hold of 6 s that rounding makes longer than 6 s."""
    reactor = Reactor()
    for _start in range(STARTS):
        reactor.advance(INTERVAL_S)
        monitor = WorkerMonitor(
            Reactor(),
            ReactorClock(reactor),
            IdleWorker(),
            FenceCounter(lambda: 1),
        )
        monitor.announce(ANNOUNCEMENT)
        assert monitor.capacity == CAPACITY
