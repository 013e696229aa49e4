"""Reading in turns of the reactor."""

import pytest
from twisted.internet.task import Clock

from hyssopring.clock import ManualClock
from hyssopring.read_turns import ReadTurns


class Turns:
    def __init__(self):
        self.reactor = Clock()
        self.clock = ManualClock()
        self.turns = ReadTurns(self.reactor, self.clock)
        self.parsed = []


class Reader:
    def __init__(self, setup, name, millis):
        self.setup = setup
        self.name = name
        self.millis = millis

    def read_on(self):
        self.setup.turns.run(self.parse)

    def parse(self):
        self.setup.clock.advance(self.millis)
        self.setup.parsed.append(self.name)


@pytest.fixture
def setup():
    return Turns()


def test_short_reads_do_not_wait(setup):
    """Guards against a timer for each ordinary request."""
    Reader(setup, 'a', 1).read_on()
    assert not setup.turns.is_over
    assert not setup.reactor.getDelayedCalls()


def test_long_reads_are_spread_over_turns(setup):
    """Guards against ticks that wait for all connections of a crowd."""
    Reader(setup, 'first', 30).read_on()
    assert setup.turns.is_over
    for name in 'abc':
        setup.turns.wait(Reader(setup, name, 15))
    setup.reactor.callLater(0, setup.parsed.append, 'tick')
    setup.reactor.advance(0)
    assert setup.parsed == ['first', 'a', 'b', 'tick', 'c']
    assert not setup.reactor.getDelayedCalls()
