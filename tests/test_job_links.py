"""When each end of a connection between processes counts as silent."""

from twisted.internet.testing import StringTransport

from hyssopring.clock import ManualClock
from hyssopring.jobs.links import LinkDialler, LinkListener
from hyssopring.jobs.links.timing import LINK_CODEC
from hyssopring.jobs.messages import (
    PROTOCOL_RELEASE,
    AgentGreeting,
    EntryGreeting,
    Grant,
    ReportRequest,
    WorkerReport,
)

_TICK_MS = 100


class _Connection:
    """Records what is sent, and receives when the test says so."""

    def __init__(self, clock):
        self._clock = clock
        self.last_received_at = clock.now()
        self.sent = []
        self.is_aborted = False

    def receive(self):
        self.last_received_at = self._clock.now()

    def send(self, message):
        self.sent.append(message)

    def abort(self):
        self.is_aborted = True


def _ignore(*_arguments):
    """Ignore an event of a connection."""


def _report(next_ms):
    return WorkerReport(
        *(1, 'boot', 'service', [], 1000, 1000, 0, False, 0, 0),
        *([], [], [], 0, 0, 0, 0, ''),
        next_ms,
    )


class _Accepted:
    """An entry with the connection of one agent."""

    def __init__(self):
        self.clock = ManualClock(1000)
        self.listener = LinkListener(
            self.clock, 'entry', _ignore, _ignore, _ignore
        )
        self.connection = _Connection(self.clock)
        protocol = self.listener.buildProtocol(None)
        self._receive = protocol._on_message
        protocol._on_open(self.connection)
        self.receive(AgentGreeting('agent', 'zone'))

    def receive(self, message):
        self.connection.receive()
        self._receive(self.connection, message)

    def run(self, milliseconds):
        for _tick in range(milliseconds // _TICK_MS):
            self.clock.advance(_TICK_MS)
            self.listener.close_silent_connections()


def test_entry_waits_for_the_next_report_that_an_agent_announced():
    """Guards against an entry that closes connections with spaced reports."""
    entry = _Accepted()
    entry.receive(_report(next_ms=3500))
    entry.run(4900)
    assert not entry.connection.is_aborted
    entry.run(200)
    assert entry.connection.is_aborted


def test_entry_closes_a_connection_without_announced_reports_after_2_s():
    """Guards against a longer wait for agents of earlier releases."""
    entry = _Accepted()
    entry.receive(_report(next_ms=0))
    entry.run(2000)
    assert not entry.connection.is_aborted
    entry.run(200)
    assert entry.connection.is_aborted


def test_owner_waits_2_s_for_a_report_that_it_requested():
    """Guards against a new owner that takes a lost agent for a quiet one."""
    entry = _Accepted()
    entry.receive(_report(next_ms=5000))
    entry.run(500)
    for _request in range(3):
        entry.listener.send('agent', ReportRequest([]))
        entry.run(600)
    assert not entry.connection.is_aborted
    entry.run(500)
    assert entry.connection.is_aborted


def test_owner_keeps_an_agent_that_responds():
    entry = _Accepted()
    entry.receive(_report(next_ms=5000))
    entry.run(3000)
    entry.listener.send('agent', ReportRequest([]))
    entry.run(400)
    entry.receive(_report(next_ms=5000))
    entry.run(5000)
    assert not entry.connection.is_aborted


class _Dialled:
    """A connection to an entry, kept by an agent or by another entry."""

    def __init__(self, greeting, release=PROTOCOL_RELEASE, entries=1):
        self.clock = ManualClock(1000)
        self.dialler = LinkDialler(
            None, self.clock, greeting, _ignore, _ignore, _ignore
        )
        addresses = [f'10.0.0.{number}:1' for number in range(1, entries + 1)]
        self.dialler.add_addresses(addresses)
        self.connections = []
        for number, address in enumerate(addresses):
            dialled = self.dialler._by_address[address]
            self.connections.append(_Connection(self.clock))
            dialled._opened(self.connections[-1])
            dialled._received(
                self.connections[-1], EntryGreeting(f'entry-{number}', release)
            )
        self.connection = self.connections[0]

    def run(self, milliseconds, responds=False):
        for _tick in range(milliseconds // _TICK_MS):
            self.clock.advance(_TICK_MS)
            self.dialler.tick()
            for connection in self.connections if responds else ():
                connection.receive()


def test_agent_keeps_a_connection_on_which_no_response_is_due():
    """Guards against connections that are dialled anew between reports."""
    agent = _Dialled(AgentGreeting('agent', 'zone'))
    agent.dialler.send('entry-0', _report(next_ms=5000))
    agent.connection.receive()
    agent.run(4900)
    assert not agent.connection.is_aborted


def test_agent_closes_a_connection_without_a_response():
    """Guards against an agent that waits for an entry that was lost."""
    agent = _Dialled(AgentGreeting('agent', 'zone'))
    agent.run(3000)
    agent.dialler.send('entry-0', _report(next_ms=5000))
    agent.run(1500)
    assert not agent.connection.is_aborted
    agent.run(200)
    assert agent.connection.is_aborted


def test_agent_waits_2_s_for_an_entry_that_has_not_greeted():
    agent = _Dialled(AgentGreeting('agent', 'zone'))
    dialled = agent.dialler._by_address['10.0.0.1:1']
    dialled._closed(agent.connection)
    connection = _Connection(agent.clock)
    dialled._opened(connection)
    agent.run(2000)
    assert not connection.is_aborted
    agent.run(200)
    assert connection.is_aborted


def test_agent_dials_a_replaced_connection_again():
    """Guards against an address that is never dialled again.

    Nothing is sent on a connection that a newer one to the same entry has
    replaced, so that its end is not noticed if its VM has been lost.
    """
    agent = _Dialled(AgentGreeting('agent', 'zone'), entries=2)
    moved = agent.dialler._by_address['10.0.0.2:1']
    moved.entry_id = 'entry-0'
    agent.dialler.handle_greeting(moved)
    agent.run(9900)
    assert not agent.connection.is_aborted
    agent.run(200)
    assert agent.connection.is_aborted


def _pings_in_10_s(release, entries):
    entry = _Dialled(EntryGreeting('own', 2), release, entries)
    entry.run(10_000, responds=True)
    assert not any(each.is_aborted for each in entry.connections)
    return entry.connection.sent[1:]


def test_entries_ping_many_others_less_often():
    """Guards against pings whose number is the square of that of entries."""
    pings = _pings_in_10_s(PROTOCOL_RELEASE, entries=20)
    assert {ping.next_ms for ping in pings} == {2000}
    assert len(pings) == 5


def test_entries_ping_others_of_earlier_releases_twice_a_second():
    """Guards against an earlier release that closes a quiet connection."""
    pings = _pings_in_10_s(release=1, entries=20)
    assert len(pings) >= 18
    assert Grant not in map(type, pings)


def test_entry_believes_no_endless_interval():
    """Guards against a wrong announcement that keeps a dead connection."""
    entry = _Accepted()
    entry.receive(_report(next_ms=10**12))
    entry.run(11_500)
    assert not entry.connection.is_aborted
    entry.run(200)
    assert entry.connection.is_aborted


class _Transport(StringTransport):
    def setTcpNoDelay(self, enabled):
        """See ``ITCPTransport``."""


class _Unidentified:
    """An entry with a connection that has not greeted, on a transport."""

    def __init__(self, listener):
        self.transport = _Transport()
        self.protocol = listener.buildProtocol(None)
        self.protocol.makeConnection(self.transport)

    def announce(self, length):
        self.protocol.dataReceived(length.to_bytes(4, 'big') + b'.')


def _listener():
    return LinkListener(ManualClock(1000), 'entry', _ignore, _ignore, _ignore)


def test_a_peer_without_a_greeting_sends_no_long_frame():
    """Guards against memory for frames of anybody."""
    peer = _Unidentified(_listener())
    peer.announce(1024 * 1024)
    assert peer.transport.disconnected


def test_a_peer_that_has_greeted_sends_long_frames():
    """Guards against refusing relayed responses of other entries."""
    peer = _Unidentified(_listener())
    greeting = LINK_CODEC.encode(EntryGreeting('other', PROTOCOL_RELEASE))
    peer.protocol.dataReceived(len(greeting).to_bytes(4, 'big') + greeting)
    peer.announce(1024 * 1024)
    assert not peer.transport.disconnected


def test_the_oldest_of_many_peers_without_a_greeting_is_closed():
    """Guards against descriptors that silent peers use up."""
    listener = _listener()
    peers = [_Unidentified(listener) for _number in range(257)]
    assert [peer.transport.disconnected for peer in peers].count(True) == 1
    assert peers[0].transport.disconnected
