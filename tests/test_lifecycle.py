"""The graceful shutdown of a process."""

import pytest
from twisted.internet.task import Clock as Reactor

from hyssopring.lifecycle import Lifecycle
from standins.jobs.processes import ReactorClock

DRAIN_MS = 1500
STEP_S = 0.01
MARGIN_S = 0.5


class StoppableReactor(Reactor):
    """A virtual reactor that records when it is stopped."""

    def __init__(self):
        super().__init__()
        self.stopped_at = None

    def stop(self):
        self.stopped_at = self.seconds()


class Requests:
    """Requests that arrive at given times and take some time each.

    Attributes:
        answered: When each request was answered.
    """

    def __init__(self, reactor, arrivals_s, served_s):
        self.count = 0
        self.has_come = False
        self.answered = []
        self.reactor = reactor
        self.served_s = served_s
        for arrival_s in arrivals_s:
            reactor.callLater(arrival_s, self.come)

    def come(self):
        if self.reactor.stopped_at is None:
            self.count += 1
            self.has_come = True
            self.reactor.callLater(self.served_s, self.answer)

    def answer(self):
        self.count -= 1
        self.answered.append(self.reactor.seconds())

    def is_idle(self):
        is_idle = not self.count and not self.has_come
        self.has_come = False
        return is_idle


def drained(arrivals_s, served_s):
    """Return the reactor and the requests after a shutdown."""
    reactor = StoppableReactor()
    requests = Requests(reactor, arrivals_s, served_s)
    lifecycle = Lifecycle(reactor, ReactorClock(reactor), 'entry')
    lifecycle.drain(requests.is_idle, DRAIN_MS)
    for _step in range(round((DRAIN_MS / 1000 + 1) / STEP_S)):
        reactor.advance(STEP_S)
    return reactor, requests


@pytest.mark.parametrize('arrival_s', [0.01, 0.1, 0.24, 0.29])
@pytest.mark.parametrize('served_s', [0.01, 0.2])
def test_a_request_that_comes_last_is_answered(arrival_s, served_s):
    """Guards against a process that ends while it serves a request."""
    reactor, requests = drained([arrival_s], served_s)
    assert requests.answered
    assert reactor.stopped_at >= requests.answered[0] + 0.2


def test_an_idle_process_ends_soon():
    reactor, _requests = drained([], 0)
    assert reactor.stopped_at < MARGIN_S


def test_requests_without_end_do_not_prolong_the_shutdown():
    arrivals_s = [number / 20 for number in range(60)]
    reactor, _requests = drained(arrivals_s, 0.2)
    assert reactor.stopped_at < DRAIN_MS / 1000 + MARGIN_S


def test_a_timer_goes_on_after_an_error_which_is_logged_once(errors):
    """Guards against a process that runs on without its periodic work."""
    reactor = StoppableReactor()
    lifecycle = Lifecycle(reactor, ReactorClock(reactor), 'entry')
    calls = []

    def act():
        calls.append(reactor.seconds())
        if len(calls) in {1, 2, 4}:
            raise RecursionError

    lifecycle.every(1, act)
    for _second in range(6):
        reactor.advance(1)
    assert len(calls) == 6
    assert len(errors) == 1 and errors[0]['peer'] == 'entry'
