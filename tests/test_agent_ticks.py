"""How often an agent's process does its periodic work."""

from types import SimpleNamespace

import pytest
from twisted.internet.task import Clock as Reactor

from hyssopring.platform.agent_process import AgentProcess


class _Process(AgentProcess):
    """An agent's process without connections and ports."""

    def __init__(self, is_settled, is_complete):
        self.reactor = Reactor()
        self.ticks = 0
        self._reactor = self.reactor
        self.core = SimpleNamespace(is_settled=is_settled, tick=self._count)
        self._dialler = SimpleNamespace(
            is_complete=is_complete, tick=lambda: None
        )
        self._discovery = SimpleNamespace(tick=lambda: None)

    def _count(self):
        self.ticks += 1

    def ticks_in_1_s(self):
        self._tick()
        for _step in range(99):
            self.reactor.advance(0.01)
        return self.ticks


def test_settled_agent_wakes_up_less_often():
    """Guards against the cost of timers where nothing changes."""
    assert _Process(is_settled=True, is_complete=True).ticks_in_1_s() == 4


@pytest.mark.parametrize(
    ('is_settled', 'is_complete'), [(False, True), (True, False)]
)
def test_agent_wakes_up_often_while_something_is_due(is_settled, is_complete):
    """Guards against late stops of tasks whose grant has expired."""
    assert _Process(is_settled, is_complete).ticks_in_1_s() == 10


def test_agent_goes_on_after_an_error():
    """Guards against an agent that sends no report after an error."""
    process = _Process(is_settled=False, is_complete=True)
    process.core.tick = lambda: 1 / 0
    with pytest.raises(ZeroDivisionError):
        process._tick()
    process.core.tick = process._count
    process.reactor.advance(0.1)
    assert process.ticks == 1
