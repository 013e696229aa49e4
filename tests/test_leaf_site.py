"""Sites with one resource: methods, limits and errors of requests."""

import pytest
from twisted.internet.address import IPv4Address
from twisted.internet.task import Clock
from twisted.internet.testing import StringTransport
from twisted.web.resource import Resource

from hyssopring.platform.leaf_site import NOT_DONE_YET, LeafSite

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
        self.site = LeafSite(self.echo, LIMIT)
        self.site.reactor = Clock()

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
