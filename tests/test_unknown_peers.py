"""Connections of agents before they are authenticated."""

import pytest
from twisted.internet.testing import StringTransport

from hyssopring.clock import ManualClock
from hyssopring.entry.links import AgentLinks
from hyssopring.protocol.codec import encode
from hyssopring.protocol.connection import prove
from hyssopring.protocol.frames import MAX_FRAME_BYTES
from hyssopring.protocol.messages import PROTOCOL_VERSION, Hello, Resources

ALLOWED = 16
LONG = (1024 * 1024).to_bytes(4, 'big') + b'.' * 1000


class Transport(StringTransport):
    def setTcpNoDelay(self, enabled):
        """See ``ITCPTransport``."""


class Core:
    """A core that accepts all agents."""

    class identity:
        entry_id = 'entry'

    def admission_failure(self, hello):
        return None

    def on_hello(self, hello):
        return hello

    def on_message(self, message, record):
        pass

    def on_disconnected(self, record):
        pass


@pytest.fixture
def links():
    accepting = AgentLinks(ManualClock(1000), 'secret', ALLOWED)
    accepting.attach(Core())
    return accepting


def connect(links):
    protocol = links.buildProtocol(None)
    protocol.makeConnection(Transport())
    return protocol


def greet(links, protocol):
    nonce = links._session_by_connection[protocol].nonce
    hello = Hello(
        PROTOCOL_VERSION,
        'agent',
        'incarnation',
        'zone',
        'rack',
        prove('secret', nonce, 'agent'),
        Resources(1.0, 1.0),
        0,
    )
    frame = encode(hello)
    protocol.dataReceived(len(frame).to_bytes(4, 'big') + frame)


def test_oldest_unknown_peer_is_closed_for_one_more(links):
    """Guards against silent connections that keep agents out."""
    protocols = [connect(links) for _number in range(ALLOWED)]
    assert not any(each.transport.disconnecting for each in protocols)
    connect(links)
    assert protocols[0].transport.disconnecting
    assert not any(each.transport.disconnecting for each in protocols[1:])


def test_unknown_peer_sends_no_long_frame(links, errors):
    """Guards against long frames that fill the memory before a greeting."""
    protocol = connect(links)
    protocol.dataReceived(LONG)
    assert protocol.transport.disconnecting
    assert errors


def test_known_agent_stays_and_sends_long_frames(links):
    """Guards against closing agents when unknown peers come."""
    agent = connect(links)
    greet(links, agent)
    assert agent.MAX_LENGTH == MAX_FRAME_BYTES
    agent.dataReceived(LONG)
    for _number in range(2 * ALLOWED):
        connect(links)
    assert not agent.transport.disconnecting


def test_closed_unknown_peers_count_no_more(links):
    """Guards against a limit that fills for good."""
    for _number in range(2 * ALLOWED):
        connect(links).connectionLost()
    protocols = [connect(links) for _number in range(ALLOWED)]
    assert not any(each.transport.disconnecting for each in protocols)
