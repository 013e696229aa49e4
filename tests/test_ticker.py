"""The timer that runs only while there is work."""

import pytest
from twisted.internet.task import Clock

from hyssopring.ticker import Ticker


def test_ticker_runs_only_while_there_is_work():
    reactor, pending, calls = Clock(), ['call'], []
    ticker = Ticker(
        reactor, 0.02, lambda: calls.append(1), lambda: bool(pending)
    )
    assert not reactor.getDelayedCalls()
    ticker.wake()
    ticker.wake()
    reactor.advance(0.02)
    reactor.advance(0.02)
    assert len(calls) == 2
    pending.clear()
    reactor.advance(0.02)
    assert len(calls) == 3 and not reactor.getDelayedCalls()


def test_ticker_continues_after_an_error():
    """One tick fails on a bad value.

    If the timer stopped, no later deadline would be enforced and callers would
    wait for a response that never arrives.
    """
    reactor = Clock()
    ticker = Ticker(reactor, 0.02, lambda: 1 / 0, lambda: True)
    ticker.wake()
    with pytest.raises(ZeroDivisionError):
        reactor.advance(0.02)
    assert reactor.getDelayedCalls()
