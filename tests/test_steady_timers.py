"""Timers of the reactor while the time of day steps."""

import time

import pytest
from twisted.internet.selectreactor import SelectReactor

from hyssopring.clock import ManualClock
from hyssopring.steady_timers import use_steady_timers


@pytest.mark.parametrize('step_s', [-3600, 0, 3600])
def test_calls_are_due_by_the_steady_clock(step_s, monkeypatch):
    """Guards against heartbeats that stop while the time of day is set back."""
    clock = ManualClock(5000)
    reactor = SelectReactor()
    use_steady_timers(reactor, clock)
    calls = []
    reactor.callLater(2, calls.append, 'due')
    wall_s = time.time() + step_s
    monkeypatch.setattr(time, 'time', lambda: wall_s)
    clock.advance(1900)
    reactor.runUntilCurrent()
    assert not calls
    assert reactor.timeout() == pytest.approx(0.1)
    clock.advance(200)
    reactor.runUntilCurrent()
    assert calls == ['due']
