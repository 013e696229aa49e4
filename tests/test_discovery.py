"""Tests of how agents without a connection find the entries; no network."""

import random

import pytest
from border_support import PreparedStore
from twisted.internet.defer import succeed

from hyssopring.clock import ManualClock
from hyssopring.jobs.discovery import EntryDiscovery
from hyssopring.jobs.documents import EntryRow
from hyssopring.jobs.row_keys import ENTRIES_TABLE
from hyssopring.jobs.rows import Page, Row, RowKey

TICK_MS = 10
PAGE = Page(
    (Row(RowKey(ENTRIES_TABLE, '', 'z'), EntryRow('z:1', '1').to_text(), 1),),
    False,
    9,
)


class Dialler:
    def __init__(self):
        self.connected = ()
        self.addresses = []

    def add_addresses(self, addresses):
        self.addresses.extend(addresses)


class Agent:
    """An agent that starts when it is created."""

    def __init__(self, seed):
        self.clock, self.dialler = ManualClock(), Dialler()
        self.store = PreparedStore(succeed(PAGE))
        self.discovery = EntryDiscovery(
            self.clock, self.store, self.dialler, random.Random(seed)
        )

    def ms_until_read(self):
        began = self.clock.now()
        while self.store.responses:
            self.clock.advance(TICK_MS)
            self.discovery.tick()
        return self.clock.now() - began


@pytest.mark.parametrize('seed', range(20))
def test_agent_whose_seeds_are_stale_knows_the_entries_soon(seed):
    """Guards against keepers that wait for agents after all power was lost."""
    agent = Agent(seed)
    assert agent.ms_until_read() <= 250
    assert agent.dialler.addresses == ['z:1']


def test_agents_that_start_together_do_not_read_at_once():
    """Guards against a store that is overloaded as power returns."""
    reads = [Agent(seed).ms_until_read() for seed in range(200)]
    assert min(reads) >= 100
    assert max(reads.count(at) for at in reads) <= 40


def test_agent_that_loses_its_entries_waits_before_it_reads():
    """Guards against reads of all agents while a single entry restarts."""
    agent = Agent(1)
    agent.dialler.connected = ('entry-0',)
    agent.discovery.tick()
    agent.dialler.connected = ()
    assert agent.ms_until_read() >= 800
