"""Input from outside: HTTP requests and inner frames, valid or malformed."""

import json
import struct

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from support import booking_deployment
from twisted.internet.address import IPv4Address
from twisted.internet.testing import StringTransport

from hyssopring.bounded_http import bounded_site
from hyssopring.clock import ManualClock
from hyssopring.entry.callers import CallerResource, WaitingCallers
from hyssopring.entry.http_calls import HttpRequest, call_from_http
from hyssopring.entry.links import AgentLinks
from hyssopring.http_limits import HttpLimits
from hyssopring.protocol.codec import encode
from hyssopring.protocol.connection import InnerConnection, prove
from hyssopring.protocol.messages import (
    CallResponse,
    Header,
    Heartbeat,
    Hello,
    Resources,
)

FUZZ = settings(
    max_examples=300, deadline=None, derandomize=True, database=None
)
LIMIT = 1000


class Port:
    """The callers' port of a virtual entry, with a connection per request."""

    def __init__(self):
        self.deployment = booking_deployment()
        core = self.deployment.entry(0).core
        waiting = WaitingCallers('secret')
        core.router._calls._callers = waiting
        resource = CallerResource(
            self.deployment.loop.clock, core, waiting, 2000.0
        )
        self.site = bounded_site(
            resource,
            LIMIT,
            HttpLimits.from_settings(None, ManualClock(), 16 * LIMIT, 100),
        )
        self.site.timeOut = None

    def send(self, *parts):
        protocol = self.site.buildProtocol(IPv4Address('TCP', '127.0.0.1', 1))
        transport = StringTransport()
        protocol.makeConnection(transport)
        for part in parts:
            if not transport.disconnecting:
                protocol.dataReceived(part)
        self.deployment.run(100)

        return transport

    def status(self, *parts):
        return self.send(*parts).value().split(b'\r\n', 1)[0].split()[1]

    def get(self, target, *headers):
        lines = [b'GET ' + target + b' HTTP/1.1', b'Host: x', *headers]
        return self.send(b'\r\n'.join([*lines, b'', b''])).value()


@pytest.fixture(scope='module')
def port():
    return Port()


@pytest.mark.parametrize(
    ('target', 'header', 'kind'),
    [
        (b'/', b'a: b', 'not-found'),
        (b'/trust', b'a: b', 'not-found'),
        (b'/trust/none/', b'a: b', 'unknown-service'),
        (b'/trust/booking/', b'Hyssopring-Deadline-Ms: \xb2', 'malformed'),
        (b'/trust/booking/', b'Hyssopring-Deadline-Ms: 0', 'malformed'),
        (b'/trust/booking/', b'Idempotency-Key: ' + b'k' * 300, 'malformed'),
    ],
)
def test_wrong_request_gets_a_clear_error_and_its_id(
    port, target, header, kind
):
    answer = port.get(target, header)
    head, _, body = answer.partition(b'\r\n\r\n')
    assert json.loads(body)['error'] == kind
    assert json.loads(body)['ran'] == 'not-run'
    assert b'hyssopring-request-id: ' in head.lower()
    assert b' 200 ' in port.get(b'/trust/booking/')


def test_operators_path_at_the_callers_port_is_named_as_the_mistake(port):
    body = port.get(b'/v1/status').partition(b'\r\n\r\n')[2]
    answer = json.loads(body)
    assert answer['error'] == 'unknown-service'
    assert answer['detail'].startswith("v1/status: this is the callers' port;")
    assert 'operator_address' in answer['detail']
    other = port.get(b'/v10/status').partition(b'\r\n\r\n')[2]
    assert json.loads(other)['detail'] == 'v10/status'


def test_body_beyond_the_limit_is_refused_while_it_is_read(port):
    """Guards against an entry that fails because of one huge body.

    Buffered in memory, or on a disk that these machines do not have, a body
    of unlimited size would take down the entry for all callers.
    """
    head = b'POST /trust/booking/ HTTP/1.1\r\nHost: x\r\n'
    chunked = head + b'Transfer-Encoding: chunked\r\n\r\n'
    block = b'%x\r\n' % 900 + b'.' * 900 + b'\r\n'
    assert port.status(chunked, block, b'0\r\n\r\n') == b'200'
    assert port.status(chunked, block, block, b'0\r\n\r\n') == b'413'
    assert port.status(chunked, *[block] * 20) == b'413'
    length = b'Content-Length: %d\r\n\r\n'
    assert port.status(head + length % 1001, b'.' * 1001) == b'413'
    assert port.status(head + length % 10**9) == b'413'
    assert port.status(head + length % 1000, b'.' * 1000) == b'200'
    assert port.status(head + b'x: ' + b'y' * 40_000 + b'\r\n\r\n') == b'431'
    assert port.status(head + b'x: y\r\n' * 600 + b'\r\n') == b'400'
    assert port.status(b'GET /trust/booking/\xe9 HTTP/1.1\r\n\r\n') == b'400'


def test_malformed_form_is_passed_on_unread(port):
    head = (
        b'POST /trust/booking/ HTTP/1.1\r\nHost: x\r\n'
        b'Content-Type: multipart/form-data; boundary=b\r\n'
        b'Content-Length: 5\r\n\r\n'
    )
    assert port.send(head, b'--b\r\n').value().endswith(b'echo:--b\r\n')


def test_hop_headers_stay_and_the_query_goes_on():
    request = HttpRequest(
        b'GET',
        b'http://entry/trust/booking?x=1/2',
        (
            Header('Connection', 'close, X-Hop'),
            Header('X-Hop', '1'),
            Header('TE', 'trailers'),
            Header('X-Kept', '\xe9'),
        ),
        b'',
    )
    call = call_from_http(request, 'r', 0, lambda _service: 2000.0).unwrap()
    assert call.service_name == 'trust/booking'
    assert call.path == '/?x=1/2'
    assert call.headers == (Header('X-Kept', '\xe9'),)


HEADERS = st.lists(
    st.builds(
        Header,
        st.sampled_from(
            ['Connection', 'Idempotency-Key', 'Hyssopring-Deadline-Ms', 'X']
        ),
        st.text(st.characters(max_codepoint=255)),
    ),
    max_size=4,
).map(tuple)
TARGETS = st.binary(max_size=30) | st.binary(max_size=20).map(
    lambda tail: b'/trust/booking' + tail
)


@FUZZ
@given(st.binary(max_size=8), TARGETS, HEADERS)
def test_any_request_becomes_a_call_or_an_error(method, target, headers):
    request = HttpRequest(method, target, headers, b'')
    answer = call_from_http(request, 'r', 100.0, lambda _service: 2000.0)
    if answer.is_ok():
        call = answer.unwrap()
        assert call.path.startswith('/') and call.path.isascii()
        assert 100 < call.deadline <= 2100
        assert not {'connection'} & {each.name.lower() for each in call.headers}


@FUZZ
@given(st.lists(st.binary(max_size=60), max_size=4))
def test_any_bytes_leave_the_callers_port_working(port, parts):
    port.send(b'GET /trust/booking/ HTTP/1.1\r\n', *parts)
    assert b' 200 ' in port.get(b'/trust/booking/')


class Core:
    """A core that accepts all agents and records their messages."""

    class identity:
        entry_id = 'entry'

    def __init__(self):
        self.received = []

    def admission_failure(self, hello):
        return None

    def on_hello(self, hello):
        return hello

    def on_message(self, message, record):
        self.received.append((record.agent_id, message))

    def on_disconnected(self, record):
        self.received.append((record.agent_id, None))


class Inner:
    """An entry's inner port with one well-behaved agent connected."""

    def __init__(self):
        self.clock = ManualClock(1000)
        self.links = AgentLinks(self.clock, 'secret')
        self.core = Core()
        self.links.attach(self.core)
        self.good_agent, _ = self.connect('good')

    def connect(self, agent_id=None):
        connection = self.links.buildProtocol(None)
        transport = StringTransport()
        transport.setTcpNoDelay = lambda _is_on: None
        transport.abortConnection = transport.loseConnection
        connection.makeConnection(transport)
        if agent_id is not None:
            nonce = self.links._session_by_connection[connection].nonce
            proof = prove('secret', nonce, agent_id)
            connection.dataReceived(framed(hello(agent_id, proof)))
        return connection, transport

    def is_working(self):
        before = len(self.core.received)
        self.good_agent.dataReceived(framed(HEARTBEAT))
        return self.core.received[before:] == [('good', HEARTBEAT)]


def hello(agent_id, proof):
    return Hello(1, agent_id, 'i', 'z', 'r', proof, Resources(1, 1, 0), 0)


def framed(message):
    payload = message if isinstance(message, bytes) else encode(message)
    return struct.pack('!I', len(payload)) + payload


HEARTBEAT = Heartbeat(1, 0, (), Resources(1, 1, 0), False)
VALID_RESPONSE = encode(CallResponse('r', 'answered', 200, (), b'body'))


@FUZZ
@given(st.data())
def test_any_inner_frames_harm_no_other_agent(data):
    """A peer of another version, or a foreign one, writes arbitrary bytes."""
    inner = Inner()
    is_authenticated = data.draw(st.booleans())
    bad_peer, transport = inner.connect('bad' if is_authenticated else None)
    malformed_frame = data.draw(
        st.binary(max_size=40).map(framed)
        | st.binary(max_size=40)
        | st.integers(0, len(VALID_RESPONSE) - 1).map(
            lambda at: framed(
                VALID_RESPONSE[:at] + b'\xff' + VALID_RESPONSE[at + 1 :]
            )
        )
    )
    bad_peer.dataReceived(malformed_frame + framed(HEARTBEAT))
    if transport.disconnecting:
        received_count = len(inner.core.received)
        bad_peer.dataReceived(framed(HEARTBEAT))
        assert len(inner.core.received) == received_count
    assert is_authenticated or not inner.core.received
    assert inner.is_working()


def test_peer_without_the_secret_is_bounded_in_bytes_and_time():
    inner = Inner()
    _, silent_transport = inner.connect()
    unknown_peer, transport = inner.connect()
    unknown_peer.dataReceived(struct.pack('!I', 1_000_000))
    assert transport.disconnecting
    wrong_peer, wrong_transport = inner.connect()
    wrong_peer.dataReceived(framed(hello('good', 'pr\xf6\xf6f')))
    assert wrong_transport.disconnecting
    inner.clock.advance(6000)
    inner.links.close_unauthenticated()
    assert silent_transport.disconnecting
    assert inner.is_working()


def test_frame_after_a_broken_one_is_not_read():
    received, errors = [], []
    connection = InnerConnection(
        ManualClock(),
        lambda _connection: None,
        lambda _connection, message: received.append(message),
        lambda _connection, detail: errors.append(detail),
        lambda _connection: None,
    )
    transport = StringTransport()
    transport.setTcpNoDelay = lambda _is_on: None
    connection.makeConnection(transport)
    connection.dataReceived(
        framed(HEARTBEAT) + framed(b'\x00\x00') + framed(HEARTBEAT)
    )
    assert received == [HEARTBEAT] and len(errors) == 1
