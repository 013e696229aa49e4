"""Polls of one worker and the hold on its tasks."""

from dataclasses import replace

from twisted.internet.defer import Deferred, succeed
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
LISTING = Listing(1000, (), ())
STARTS = 3000
INTERVAL_S = 0.01


class IdleWorker:
    """Answers each poll at once, until it is silent."""

    def __init__(self):
        self.is_silent = False

    def poll(self, _request):
        return Deferred() if self.is_silent else succeed(LISTING)


def new_monitor(reactor, worker):
    return WorkerMonitor(
        Reactor(),
        ReactorClock(reactor),
        worker,
        FenceCounter(ReactorClock(reactor), lambda: 1),
    )


def test_a_new_agent_s_worker_has_room_at_once():
    """Guards against a hold of 6 s that rounding makes longer than 6 s."""
    reactor = Reactor()
    for _start in range(STARTS):
        reactor.advance(INTERVAL_S)
        monitor = new_monitor(reactor, IdleWorker())
        monitor.announce(ANNOUNCEMENT)
        assert monitor.capacity == CAPACITY


def test_no_start_is_sent_while_another_incarnation_is_announced():
    """Guards against a hold that the next one takes after its first listing."""
    worker = IdleWorker()
    monitor = new_monitor(Reactor(), worker)
    monitor.announce(ANNOUNCEMENT)
    assert monitor.is_answering
    worker.is_silent = True
    monitor.announce(replace(ANNOUNCEMENT, boot='next', sequence=1))
    assert not monitor.is_answering
