"""Sites with one resource: methods, limits and errors of requests."""

import pytest
from twisted.internet.address import IPv4Address
from twisted.internet.error import ConnectionDone
from twisted.internet.task import Clock
from twisted.internet.testing import StringTransport
from twisted.python.failure import Failure
from twisted.web.resource import Resource

from hyssopring.body_budget import BodyBudget
from hyssopring.clock import ManualClock
from hyssopring.connection_limit import ConnectionLimit
from hyssopring.platform.leaf_site import NOT_DONE_YET, LeafSite
from hyssopring.platform.site_limits import SiteLimits
from hyssopring.read_turns import ReadTurns

LIMIT = 1000


class Echo(Resource):
    isLeaf = True

    def __init__(self):
        super().__init__()
        self.open = []

    def render_GET(self, request):
        return request.path

    def render_POST(self, request):
        return b'echo:' + request.content.read()

    def render_DELETE(self, request):
        self.open.append(request)
        return NOT_DONE_YET

    def render_PUT(self, request):
        raise ValueError('not a request of this test')


class Port:
    def __init__(self):
        self.echo = Echo()
        self.clock = ManualClock()
        self.reactor = Clock()
        self.limits = SiteLimits(
            BodyBudget(2 * LIMIT),
            ConnectionLimit(3),
            ReadTurns(self.reactor, self.clock),
        )
        self.site = LeafSite(self.echo, LIMIT, self.limits)
        self.site.reactor = self.reactor

    def send(self, *parts):
        connection = self.site.buildProtocol(IPv4Address('TCP', '127.0.0.1', 1))
        transport = StringTransport()
        connection.makeConnection(transport)
        for part in parts:
            if not transport.disconnecting:
                connection.dataReceived(part)
        return transport

    def status(self, *parts):
        return self.send(*parts).value().split(b'\r\n', 1)[0].split()[1]


@pytest.fixture
def port():
    return Port()


def head(method, *lines):
    first = f'{method} /a/b HTTP/1.1'.encode()
    return b'\r\n'.join((first, b'Host: x', *lines, b'', b''))


def test_resource_serves_all_paths(port):
    answer = port.send(head('GET')).value()
    assert answer.startswith(b'HTTP/1.1 200 ')
    assert b'content-length: 4' in answer.lower()
    assert answer.endswith(b'/a/b')


def test_response_to_head_has_no_body(port):
    answer = port.send(head('HEAD')).value()
    assert b'content-length: 4' in answer.lower()
    assert answer.endswith(b'\r\n\r\n')


def test_unknown_method_is_named_as_such(port, errors):
    answer = port.send(head('PATCH')).value()
    assert answer.startswith(b'HTTP/1.1 405 ')
    assert b'POST' in answer
    assert not errors


def test_resource_may_respond_later(port):
    transport = port.send(head('DELETE'))
    assert not transport.value()
    port.echo.open[0].write(b'done')
    port.echo.open[0].finish()
    assert b'done' in transport.value()


def test_error_of_a_request_is_answered_and_logged(port, errors):
    """Guards against an error that ends other requests or goes unnoticed."""
    assert port.status(head('PUT')) == b'500'
    assert len(errors) == 1
    assert port.status(head('GET')) == b'200'


def test_form_is_passed_on_unread(port):
    lines = (
        b'Content-Type: multipart/form-data; boundary=b',
        b'Content-Length: 5',
    )
    answer = port.send(head('POST', *lines), b'--b\r\n').value()
    assert answer.endswith(b'echo:--b\r\n')


@pytest.mark.parametrize('blocks', [2, 20])
def test_body_beyond_the_limit_is_not_kept(port, blocks, errors):
    """Guards against memory and disk that one body takes up."""
    length = b'Content-Length: %d' % (900 * blocks)
    parts = [b'.' * 900] * blocks
    assert port.status(head('POST', length), *parts) == b'413'
    assert len(errors) == 1
    chunk = b'%x\r\n' % 900 + b'.' * 900 + b'\r\n'
    request = head('POST', b'Transfer-Encoding: chunked')
    assert port.status(request, *[chunk] * blocks, b'0\r\n\r\n') == b'413'
    assert len(errors) == 2


def test_body_of_the_limit_is_read(port, errors):
    request = head('POST', b'Content-Length: 1000')
    answer = port.send(request, b'.' * 600, b'.' * 400).value()
    assert answer.endswith(b'echo:' + b'.' * LIMIT)
    assert not errors


def test_several_requests_on_one_connection(port):
    answer = port.send(head('GET') + head('GET')).value()
    assert answer.count(b'HTTP/1.1 200 ') == 2


class Connection:
    """One connection that stays open."""

    def __init__(self, port, *parts):
        self.transport = StringTransport()
        self.protocol = port.site.buildProtocol(
            IPv4Address('TCP', '127.0.0.1', 1)
        )
        self.protocol.makeConnection(self.transport)
        self.send(*parts)

    @property
    def status(self):
        fields = self.transport.value().split(b' ', 2)
        return int(fields[1]) if len(fields) == 3 else 0

    def send(self, *parts):
        for part in parts:
            self.protocol.dataReceived(part)


UNFINISHED = head('POST', b'Content-Length: 1000')


def test_the_largest_of_many_unfinished_bodies_is_refused(port, errors):
    """Guards against memory that grows with the number of connections."""
    small = Connection(port, UNFINISHED, b'.' * 100)
    large = Connection(port, UNFINISHED, b'.' * 990)
    last = Connection(port, UNFINISHED, b'.' * 900)
    assert (small.status, large.status, last.status) == (0, 503, 0)
    assert b'retry-after' in large.transport.value()
    assert large.transport.disconnecting
    assert len(errors) == 1
    large.send(b'.' * 10)
    assert large.transport.value().count(b'HTTP/1.1') == 1
    last.send(b'.' * 100)
    assert last.status == 200


def test_bytes_count_until_the_request_is_over(port):
    """Guards against a budget that finished and lost requests use up."""
    for _number in range(3):
        served = Connection(port, UNFINISHED, b'.' * 1000)
        assert served.status == 200
        lost = Connection(port, UNFINISHED, b'.' * 900)
        assert port.limits.bodies.held_bytes
        lost.protocol.connectionLost(Failure(ConnectionDone()))
        served.protocol.connectionLost(Failure(ConnectionDone()))
    assert port.limits.bodies.held_bytes == 0


def test_a_request_that_is_served_is_not_refused(port):
    """Guards against a refusal that is taken for the response to a request."""
    served = Connection(port, head('DELETE'), UNFINISHED, b'.' * 900)
    Connection(port, UNFINISHED, b'.' * 900)
    Connection(port, UNFINISHED, b'.' * 900)
    assert served.status == 0
    port.echo.open[0].write(b'done')
    port.echo.open[0].finish()
    assert served.status == 200


def test_heads_count_as_bytes(port):
    """Guards against memory of unfinished heads."""
    line = b'X: ' + b'.' * 900 + b'\r\n'
    heads = [Connection(port, head('GET')[:-2], line) for _number in range(3)]
    assert [each.status for each in heads].count(503) == 2


def test_a_body_far_over_the_limit_has_one_response(port, errors):
    """Guards against a log line and a response for each further part."""
    chunk = b'384\r\n' + b'.' * 900 + b'\r\n'
    connection = Connection(
        port,
        head('POST', b'Transfer-Encoding: chunked'),
        chunk * 30,
        chunk,
        b'0\r\n\r\n',
    )
    assert connection.transport.value().count(b'HTTP/1.1 413') == 1
    assert connection.transport.value().count(b'HTTP/1.1') == 1
    assert len(errors) == 1


def test_a_body_that_is_too_large_holds_no_memory(port):
    """Guards against keeping the part of it that was within the limit."""
    chunk = b'384\r\n' + b'.' * 900 + b'\r\n'
    first = head('POST', b'Transfer-Encoding: chunked')
    connection = Connection(port, first, chunk)
    assert port.limits.bodies.held_bytes == len(first) + 900
    connection.send(chunk)
    assert port.limits.bodies.held_bytes == len(first)


def test_a_silent_connection_makes_room_for_a_new_one(port):
    """Guards against descriptors that silent clients use up."""
    silent = [Connection(port) for _number in range(3)]
    new = Connection(port, head('GET'))
    assert new.status == 200
    assert [each.transport.disconnected for each in silent] == [
        True,
        False,
        False,
    ]


def test_a_connection_whose_response_is_not_read_is_aborted(port):
    """Guards against descriptors of refused clients that do not read."""
    length = b'Content-Length: 1000000'
    connection = Connection(port, head('POST', length))
    assert connection.transport.disconnecting
    port.site.reactor.advance(60)
    assert connection.transport.disconnected


def test_bytes_wait_for_the_next_turn_once_this_one_is_over(port):
    """Guards against ticks that wait for a crowd, and against lost bytes."""
    port.limits.turns.run(lambda: port.clock.advance(1000))
    first = Connection(port, UNFINISHED, b'.' * 500)
    assert first.transport.producerState == 'paused'
    assert port.limits.bodies.held_bytes == len(UNFINISHED) + 500
    lost = Connection(port, head('DELETE'))
    lost.protocol.connectionLost(Failure(ConnectionDone()))
    port.reactor.advance(0)
    assert first.transport.producerState == 'producing'
    assert not port.echo.open
    first.send(b'.' * 500)
    assert first.transport.value().endswith(b'echo:' + b'.' * LIMIT)
