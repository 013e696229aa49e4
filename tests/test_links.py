"""Tests of both ends of the inner port, connected without a network."""

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
from hyssopring.protocol import connection as protocol_connection
from hyssopring.protocol import messages
from standins.virtual import Loop, VirtualCallers, VirtualStore
from standins.table import Table

SECRET = 'a-secret-of-the-inner-port'
ADDRESS = '10.0.0.1:7000'


class InMemoryNetwork:
    """Connects each dialled address to one entry, in memory.

    Attributes:
        pumps: One per connection; ``flush`` delivers its messages.
        is_reachable: Whether dialling succeeds.
    """

    def __init__(self, monkeypatch):
        self.clock = ManualClock(1000)
        self.pumps = []
        self.is_reachable = True
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
        connecting = Deferred()
        if not self.is_reachable:
            connecting.errback(ConnectionError('no response'))
            return connecting
        client = factory.buildProtocol(None)
        server = self.entry_links.buildProtocol(None)
        pump = connect(
            server, makeFakeServer(server), client, makeFakeClient(client)
        )
        self.pumps.append(pump)
        return connecting

    def agent(self, secret=SECRET, seeds=(ADDRESS,), incarnation='run-1'):
        links = EntryLinks(None, self.clock, secret)
        core = AgentCore(
            self.clock,
            AgentIdentity(
                'agent-0', incarnation, 'office', 'r', messages.Resources(4, 4)
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
def network(monkeypatch):
    return InMemoryNetwork(monkeypatch)


def test_agent_is_accepted_and_records_the_entry(network):
    links = network.agent()
    network.run(links, 200)
    assert links.connected == 1 and len(network.entry.fleet) == 1
    assert links.core.directory.members == (network.entry.identity.member,)


@pytest.mark.parametrize(
    'address', ['', 'a', 'a:', ':1', 'a:b', 'a:0', 'a:-1', 'a:70000', 'a: 1']
)
def test_invalid_address_keeps_no_other_from_being_dialled(
    network, address, errors
):
    """Guards against an agent that connects to no entry any more."""
    links = network.agent(seeds=(address, ADDRESS))
    network.run(links, 20_000)
    assert links.connected == 1 and len(errors) == 1


@pytest.mark.parametrize(
    ('version', 'secret'),
    [(99, SECRET), (messages.PROTOCOL_VERSION, 'a wrong one')],
)
def test_refused_agent_backs_off(network, monkeypatch, version, secret):
    """An agent has another protocol version or secret than its entry.

    This happens during an upgrade. Without backoff, its refused connections
    would fill the log.
    """
    links = network.agent(secret=secret)
    monkeypatch.setattr('hyssopring.agent.core.PROTOCOL_VERSION', version)
    network.run(links, 60_000)
    assert links.connected == 0 and len(network.entry.fleet) == 0
    assert 2 <= len(network.pumps) <= 5


def test_message_before_the_handshake_is_refused(network):
    server = network.entry_links.buildProtocol(None)
    client = protocol_connection.InnerConnection(
        network.clock,
        lambda connection: None,
        lambda connection, message: None,
        lambda connection, detail: None,
        lambda connection: None,
    )
    pump = connect(
        server, makeFakeServer(server), client, makeFakeClient(client)
    )
    client.send(messages.TaskReport((), complete=True))
    pump.flush()
    assert server.transport.disconnecting or server.transport.disconnected


def test_seed_that_leads_to_a_connected_entry_does_not_replace_it(network):
    """A load balancer leads to an entry that is connected already.

    If each new connection replaced the old one, the outcome of the calls in
    flight would be unknown every time.
    """
    links = network.agent(seeds=('balancer:7000',))
    network.run(links, 200)
    first = links._link_by_entry['entry-0']
    network.run(links, 90_000)
    assert len(network.pumps) >= 2
    assert links._link_by_entry['entry-0'] is first
    assert links.connected == 1


def test_messages_of_a_replaced_connection_are_ignored_by_both_ends(network):
    """Messages arrive on a connection that a newer one has replaced.

    This happens after a pause of the agent's VM. If they were handled, a
    caller could receive an outdated response.
    """
    links = network.agent()
    network.run(links, 200)
    old_client = links._link_by_entry['entry-0'].connection
    old_server = network.entry_links._connection_by_agent['agent-0']
    received_by_entry, received_by_agent = [], []
    network.entry.on_message = lambda message, record: received_by_entry.append(
        message
    )
    links.core.on_message = lambda message, entry_id: received_by_agent.append(
        message
    )
    network.entry_links._connection_by_agent['agent-0'] = object()
    links._link_by_entry['entry-0'] = object()
    old_client.send(messages.Pong(1))
    old_server.send(messages.Ping(1))
    network.pumps[0].flush()
    assert received_by_entry == [] and received_by_agent == []


def test_silent_connection_is_dialled_again(network):
    """An open connection stops delivering bytes while new ones work."""
    links = network.agent()
    network.run(links, 200)
    silent = links._link_by_entry['entry-0'].connection
    network.pumps.clear()
    for _ in range(40):
        network.run(links, 100)
        links.close_silent_connections()
        if silent.transport.disconnecting and not network.pumps:
            silent.connectionLost()
    assert len(network.pumps) == 1 and links.connected == 1
