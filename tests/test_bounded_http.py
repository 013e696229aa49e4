"""Limits over the connections of a process's HTTP sites."""

import pytest
from twisted.internet.address import IPv4Address
from twisted.internet.task import Clock
from twisted.internet.testing import StringTransport
from twisted.web.resource import Resource

from hyssopring.body_budget import BodyBudget
from hyssopring.bounded_http import bounded_site
from hyssopring.clock import ManualClock
from hyssopring.connection_limit import ConnectionLimit
from hyssopring.http_limits import HttpLimits
from hyssopring.logs import Event
from hyssopring.read_turns import ReadTurns

BODY = 1000
BUDGET = 4000
CONNECTIONS = 20
HEAD = b'POST / HTTP/1.1\r\nHost: x\r\n'
CHUNKED = HEAD + b'Transfer-Encoding: chunked\r\n\r\n'
LENGTH = HEAD + b'Content-Length: %d\r\n\r\n'
SMALL = LENGTH % 3 + b'ana'


class Bodies(Resource):
    """Keeps the bodies that it is given; answers when told to."""

    isLeaf = True

    def __init__(self):
        super().__init__()
        self.bodies = []
        self.is_waiting = False
        self.waiting = []

    def render(self, request):
        self.bodies.append(request.content.read())
        if self.is_waiting:
            self.waiting.append(request)
            return 1
        return b'read'


class Port:
    def __init__(self):
        self.resource = Bodies()
        self.clock = ManualClock()
        self.reactor = Clock()
        self.limits = HttpLimits(
            BodyBudget(BUDGET),
            ConnectionLimit(CONNECTIONS),
            ReadTurns(self.reactor, self.clock),
        )
        self.site = bounded_site(self.resource, BODY, self.limits)
        self.site.timeOut = None
        self.channels = []

    def open(self, *parts):
        channel = self.site.buildProtocol(IPv4Address('TCP', '127.0.0.1', 1))
        channel.makeConnection(StringTransport())
        self.channels.append(channel)
        for part in parts:
            channel.dataReceived(part)
        return channel.transport

    def ends(self):
        """Disconnect those that are to be closed, as a reactor does."""
        for channel in self.channels:
            if channel.transport.disconnecting:
                channel.connectionLost(None)
        self.channels = [
            channel
            for channel in self.channels
            if not channel.transport.disconnecting
        ]


@pytest.fixture
def port(monkeypatch):
    running = Port()
    monkeypatch.setattr(
        'hyssopring.bounded_http.BoundedChannel.callLater',
        running.reactor.callLater,
    )
    return running


def status(transport):
    return transport.value().split(b' ', 2)[1:2]


def test_stalled_bodies_are_refused_and_small_requests_read(port):
    """Guards against memory that stalled bodies fill, and small ones refused."""
    stalled = [
        port.open(LENGTH % BODY, b'.' * (BODY - 1)) for _number in range(12)
    ]
    port.ends()
    assert port.limits.bodies.held_bytes <= BUDGET
    refused = [each for each in stalled if each.disconnecting]
    assert len(refused) >= 9
    for transport in refused:
        assert transport.value().startswith(b'HTTP/1.1 503 ')
        assert b'\r\nretry-after: 1\r\n' in transport.value()
        assert b'"ran": "not-run"' in transport.value()
    assert status(port.open(SMALL)) == [b'200']
    assert port.resource.bodies == [b'ana']


def test_refused_body_never_reaches_the_resource(port):
    """Guards against a request that runs after its refusal."""
    for _number in range(4):
        port.open(LENGTH % BODY, b'.' * (BODY - 1))
    refused = [
        channel for channel in port.channels if channel.transport.disconnecting
    ]
    assert refused
    for channel in refused:
        length = len(channel.transport.value())
        channel.dataReceived(b'.' + SMALL)
        assert len(channel.transport.value()) == length
    assert not port.resource.bodies


def test_heads_without_end_count_too(port):
    """Guards against memory that unfinished heads fill."""
    for _number in range(12):
        port.open(HEAD + b'x: ' + b'y' * BODY)
    assert port.limits.bodies.held_bytes <= BUDGET


def test_bodies_that_are_served_count_and_are_not_refused(port):
    """Guards against the refusal of a request that runs."""
    port.resource.is_waiting = True
    served = [port.open(LENGTH % 900 + b'.' * 900) for _number in range(3)]
    for _number in range(2):
        port.open(LENGTH % BODY, b'.' * (BODY - 1))
    assert not any(transport.value() for transport in served)
    assert not any(transport.disconnecting for transport in served)
    assert any(
        channel.transport.disconnecting for channel in port.channels[-2:]
    )
    for request in port.resource.waiting:
        request.write(b'done')
        request.finish()
    port.ends()
    assert {status(transport)[0] for transport in served} == {b'200'}
    assert port.limits.bodies.held_bytes < 2 * BODY


def test_lost_connection_frees_its_bytes(port):
    """Guards against a budget that fills for good."""
    port.open(LENGTH % BODY, b'.' * 900)
    assert port.limits.bodies.held_bytes > 900
    port.channels[0].connectionLost(None)
    assert port.limits.bodies.held_bytes == 0
    assert len(port.limits.connections) == 0


@pytest.mark.parametrize('start', [LENGTH % 10**9, CHUNKED + b'%x\r\n' % 10**6])
def test_body_far_too_large_gets_one_response_and_one_line(
    port, log_lines, start
):
    """Guards against a response and a line for each part of such a body."""
    transport = port.open(start)
    for _part in range(20):
        port.channels[0].dataReceived(b'.' * BODY)
    assert transport.value().count(b'HTTP/1.1') == 1
    assert status(transport) == [b'413']
    lines = [line for line in log_lines if line['event'] is Event.PEER_ERROR]
    assert len(lines) == 1


def test_connection_beyond_the_limit_closes_the_longest_idle(port):
    """Guards against idle connections that keep others out."""
    transports = [port.open() for _number in range(CONNECTIONS)]
    port.channels[0].dataReceived(SMALL)
    assert status(port.open(SMALL)) == [b'200']
    assert [each.disconnecting for each in transports[:3]] == [
        False,
        True,
        False,
    ]


def test_small_chunks_wait_for_later_turns(port):
    """Guards against connections that keep timers from running."""
    port.limits.bodies.max_bytes = 8 * 1024
    parse = ManualClockBody(port)
    transports = [
        port.open(CHUNKED, b'1\r\n.\r\n' * 10) for _number in range(8)
    ]
    assert parse.chunks < 80
    for _turn in range(10):
        port.reactor.advance(0)
    assert parse.chunks == 80
    assert not any(transport.disconnecting for transport in transports)
    for channel in port.channels:
        channel.dataReceived(b'0\r\n\r\n')
    for _turn in range(10):
        port.reactor.advance(0)
    assert {status(transport)[0] for transport in transports} == {b'200'}
    assert port.resource.bodies == [b'.' * 10] * 8


class ManualClockBody:
    """Lets each chunk take 1 ms."""

    def __init__(self, port):
        self.chunks = 0
        factory = port.site.requestFactory

        def request(*arguments):
            built = factory(*arguments)
            handle = built.handleContentChunk

            def take(part):
                self.chunks += 1
                port.clock.advance(1)
                handle(part)

            built.handleContentChunk = take
            return built

        port.site.requestFactory = request
