"""The timer that runs only while something waits."""

import pytest
from twisted.internet.task import Clock

from hyssopring.ticker import Ticker


def test_idle_ticker_sets_no_timer_and_wakes_for_work():
    reactor, waiting, ran = Clock(), ['call'], []
    ticker = Ticker(reactor, 0.02, lambda: ran.append(1), lambda: bool(waiting))
    assert not reactor.getDelayedCalls()
    ticker.wake()
    ticker.wake()
    reactor.advance(0.02)
    reactor.advance(0.02)
    assert len(ran) == 2
    waiting.clear()
    reactor.advance(0.02)
    assert len(ran) == 3 and not reactor.getDelayedCalls()


def test_ticker_goes_on_after_an_error():
    """A caller would wait past its deadline for an answer that never comes.

    One tick fails on a bad value; if the timer were not armed again, no later
    deadline would ever take effect.
    """
    reactor = Clock()
    ticker = Ticker(reactor, 0.02, lambda: 1 / 0, lambda: True)
    ticker.wake()
    with pytest.raises(ZeroDivisionError):
        reactor.advance(0.02)
    assert reactor.getDelayedCalls()
