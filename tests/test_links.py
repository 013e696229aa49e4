"""The inner port's two shells against each other, without a network."""

import random
from types import SimpleNamespace

import pytest
from twisted.internet.defer import Deferred
from twisted.test.iosim import connect, makeFakeClient, makeFakeServer

from hyssopring.agent import links as agent_links
from hyssopring.agent.core import AgentCore, AgentIdentity
from hyssopring.agent.links import EntryLinks
from hyssopring.clock import ManualClock
from hyssopring.entry.core import EntryCore, EntryIdentity
from hyssopring.entry.links import AgentLinks
from hyssopring.membership import EntryDirectory
from hyssopring.metrics import Metrics
from hyssopring.protocol import connection as inner
from hyssopring.protocol import messages as m
from standins.virtual import Loop, VirtualCallers, VirtualStore
from standins.table import Table

SECRET = 'a-secret-of-the-inner-port'
ADDRESS = '10.0.0.1:7000'


class Wire:
    """Leads every dialled address to one entry; keeps the pumps."""

    def __init__(self, monkeypatch):
        self.clock = ManualClock(1000)
        self.pumps = []
        self.is_answering = True
        self.entry_links = AgentLinks(self.clock, SECRET)
        self.entry = EntryCore(
            self.clock,
            EntryIdentity('entry-0', 'paddock', ADDRESS),
            VirtualStore(Loop(), Table()),
            self.entry_links,
            VirtualCallers(),
            Metrics(),
            random.Random(1),
        )
        self.entry_links.attach(self.entry)
        monkeypatch.setattr(agent_links, 'HostnameEndpoint', self.endpoint)

    def endpoint(self, reactor, host, port, timeout):
        return SimpleNamespace(connect=self.connect)

    def connect(self, factory):
        answer = Deferred()
        if not self.is_answering:
            answer.errback(ConnectionError('nobody there'))
            return answer
        client = factory.buildProtocol(None)
        server = self.entry_links.buildProtocol(None)
        pump = connect(
            server, makeFakeServer(server), client, makeFakeClient(client)
        )
        self.pumps.append(pump)
        return answer

    def agent(self, secret=SECRET, seeds=(ADDRESS,), incarnation='run-1'):
        links = EntryLinks(None, self.clock, secret)
        core = AgentCore(
            self.clock,
            AgentIdentity(
                'agent-0', incarnation, 'office', 'r', m.Resources(4, 4)
            ),
            links,
            None,
            None,
            Metrics(),
            EntryDirectory(self.clock, 'agent-0', seeds, random.Random(2)),
        )
        links.attach(core)
        return links

    def run(self, links, millis=0):
        for _ in range(max(int(millis / 100), 1)):
            self.clock.advance(100)
            links.dial()
            for pump in self.pumps:
                pump.flush()


@pytest.fixture
def wire(monkeypatch):
    return Wire(monkeypatch)


def test_agent_is_greeted_and_learns_the_entry(wire):
    links = wire.agent()
    wire.run(links, 200)
    assert links.connected == 1 and len(wire.entry.fleet) == 1
    assert links.core.directory.members == (wire.entry.identity.member,)


@pytest.mark.parametrize(
    ('version', 'secret'), [(99, SECRET), (m.PROTOCOL_VERSION, 'a wrong one')]
)
def test_refused_agent_backs_off(wire, monkeypatch, version, secret):
    """After a half-done upgrade a log fills with refusals.

    An agent of another version, or with another secret, dials as fast as one
    whose entry is being replaced.
    """
    links = wire.agent(secret=secret)
    monkeypatch.setattr('hyssopring.agent.core.PROTOCOL_VERSION', version)
    wire.run(links, 60_000)
    assert links.connected == 0 and len(wire.entry.fleet) == 0
    assert 2 <= len(wire.pumps) <= 5


def test_what_comes_before_the_greeting_is_refused(wire):
    server = wire.entry_links.buildProtocol(None)
    client = inner.InnerConnection(
        wire.clock,
        lambda c: None,
        lambda c, g: None,
        lambda c, d: None,
        lambda c: None,
    )
    pump = connect(
        server, makeFakeServer(server), client, makeFakeClient(client)
    )
    client.send(m.TaskReport((), complete=True))
    pump.flush()
    assert server.transport.disconnecting or server.transport.disconnected


def test_seed_that_leads_to_a_connected_entry_does_not_replace_it(wire):
    """Each time that the balancer is tried, calls in flight are in doubt."""
    links = wire.agent(seeds=('balancer:7000',))
    wire.run(links, 200)
    first = links._link_by_entry['entry-0']
    wire.run(links, 90_000)
    assert len(wire.pumps) >= 2
    assert links._link_by_entry['entry-0'] is first
    assert links.connected == 1


def test_messages_of_a_replaced_connection_are_ignored_by_both_ends(wire):
    """A caller gets an answer that a dead connection still delivered.

    The agent's VM is restored from a pause; a newer connection has taken the
    place of its old one, on which bytes still arrive.
    """
    links = wire.agent()
    wire.run(links, 200)
    old_client = links._link_by_entry['entry-0'].connection
    old_server = wire.entry_links._connection_by_agent['agent-0']
    taken, given = [], []
    wire.entry.on_message = lambda message, record: taken.append(message)
    links.core.on_message = lambda message, entry_id: given.append(message)
    wire.entry_links._connection_by_agent['agent-0'] = object()
    links._link_by_entry['entry-0'] = object()
    old_client.send(m.Pong(1))
    old_server.send(m.Ping(1))
    wire.pumps[0].flush()
    assert taken == [] and given == []


def test_silent_connection_is_dialled_again(wire):
    """Bytes stop for good on an open connection while new ones work."""
    links = wire.agent()
    wire.run(links, 200)
    silent = links._link_by_entry['entry-0'].connection
    wire.pumps.clear()
    for _ in range(40):
        wire.run(links, 100)
        links.close_silent_connections()
        if silent.transport.disconnecting and not wire.pumps:
            silent.connectionLost()
    assert len(wire.pumps) == 1 and links.connected == 1
