"""Timeouts of HTTP calls with slow or incomplete responses."""

from types import SimpleNamespace

import pytest
from border_support import DEEP, short
from twisted.internet.defer import CancelledError, Deferred
from twisted.internet.error import ConnectionAborted
from twisted.internet.task import Clock
from twisted.python.failure import Failure
from twisted.web.client import ResponseDone

from hyssopring.agent import http_clients
from hyssopring.store import client
from hyssopring.web_client import (
    ResponseTimeoutError,
    TruncatedResponseError,
    fetch,
)

SILENCE_TIMEOUT_MS = 1200


class Response:
    """A response whose body a test sends in chunks."""

    code = 200
    headers = SimpleNamespace(getAllRawHeaders=tuple)

    def __init__(self):
        self.is_aborted = False
        self._protocol = None

    def deliverBody(self, protocol):
        self._protocol = protocol
        protocol.transport = SimpleNamespace(abortConnection=self._abort)

    def send(self, chunk):
        self._protocol.dataReceived(chunk)

    def end(self, reason):
        self._protocol.connectionLost(Failure(reason))

    def _abort(self):
        self.is_aborted = True
        self.end(ConnectionAborted())


@pytest.fixture
def clock():
    return Clock()


def start_response(clock, **limits):
    """Return a call with a started response, the response and outcomes."""
    request, response, outcomes = Deferred(), Response(), []
    agent = SimpleNamespace(request=lambda *_request: request)
    call = fetch(clock, agent, 'GET', 'http://store:1/', **limits)
    call.addBoth(outcomes.append)
    request.callback(response)
    return call, response, outcomes


def send_slowly(clock, response, count, interval_s):
    for _index in range(count):
        clock.advance(interval_s)
        response.send(b'x' * 100)


def test_slow_response_without_pauses_is_received(clock):
    """A large configuration takes 4 s on a narrow link.

    A time limit for the complete response would discard and restart it
    repeatedly.
    """
    _call, response, outcomes = start_response(
        clock, silence_ms=SILENCE_TIMEOUT_MS
    )
    send_slowly(clock, response, 10, 0.4)
    response.end(ResponseDone())
    assert [len(answer.body) for answer in outcomes] == [1000]


def test_response_that_stalls_times_out(clock):
    """A connection becomes silent in the middle of a response."""
    _call, response, outcomes = start_response(
        clock, silence_ms=SILENCE_TIMEOUT_MS
    )
    send_slowly(clock, response, 2, 0.4)
    clock.advance(SILENCE_TIMEOUT_MS / 1000)
    assert response.is_aborted
    assert outcomes[0].check(ResponseTimeoutError)
    assert '200 bytes' in outcomes[0].getErrorMessage()


def test_first_byte_has_the_whole_timeout(clock):
    """The response to a call for changes starts with the next change."""
    limits = {'timeout_ms': 2000, 'silence_ms': SILENCE_TIMEOUT_MS}
    _call, response, outcomes = start_response(clock, **limits)
    clock.advance(1.9)
    assert not outcomes
    clock.advance(0.1)
    assert outcomes[0].check(ResponseTimeoutError)
    assert response.is_aborted


def test_without_silence_timeout_the_whole_response_is_limited(clock):
    _call, response, outcomes = start_response(clock, timeout_ms=2000)
    send_slowly(clock, response, 4, 0.4)
    clock.advance(0.4)
    assert outcomes[0].check(ResponseTimeoutError)


def test_cancelled_call_drops_its_connection(clock):
    """Data that is still in transit would fill a narrow link."""
    call, response, outcomes = start_response(
        clock, silence_ms=SILENCE_TIMEOUT_MS
    )
    send_slowly(clock, response, 1, 0.1)
    call.cancel()
    assert response.is_aborted
    assert outcomes[0].check(CancelledError)
    assert not clock.getDelayedCalls()


def test_call_cancelled_before_its_response_ends_at_once(clock):
    agent = SimpleNamespace(request=lambda *_request: Deferred())
    outcomes = []
    call = fetch(clock, agent, 'GET', 'http://store:1/')
    call.addBoth(outcomes.append)
    call.cancel()
    assert outcomes[0].check(CancelledError)
    assert not clock.getDelayedCalls()


def test_truncated_response_fails(clock):
    _call, response, outcomes = start_response(
        clock, silence_ms=SILENCE_TIMEOUT_MS
    )
    send_slowly(clock, response, 1, 0.1)
    response.end(ConnectionAborted())
    assert outcomes[0].check(TruncatedResponseError)
    assert not clock.getDelayedCalls()


def test_table_service_may_send_rows_slowly(clock, monkeypatch):
    """All rows of a prefix take longer than the timeout of the call."""
    request, response, rows = Deferred(), Response(), []
    agent = SimpleNamespace(request=lambda *_request: request)
    monkeypatch.setattr(client, 'pooled_agent', lambda *_how: agent)
    transport = client.HttpTransport(clock, 'http://table:1')
    transport.send_read('jobs/', 1000, rows.append)
    request.callback(response)
    for chunk in (b'{"rows": [', b'["jobs/a", 1, "own", {}', b']]}'):
        clock.advance(0.8)
        response.send(chunk)
    response.end(ResponseDone())
    assert [row.key for row in rows[0].unwrap()] == ['jobs/a']


def rows_read(clock, monkeypatch, body):
    request, response, rows = Deferred(), Response(), []
    agent = SimpleNamespace(request=lambda *_request: request)
    monkeypatch.setattr(client, 'pooled_agent', lambda *_how: agent)
    transport = client.HttpTransport(clock, 'http://table:1')
    transport.send_read('jobs/', 1000, rows.append)
    request.callback(response)
    response.send(body)
    response.end(ResponseDone())
    return rows[0]


@pytest.mark.parametrize(
    'odd',
    [DEEP, '{"a":' * 3000 + '1' + '}' * 3000, '9' * 5000, '1e400', 'NaN'],
    ids=short,
)
def test_odd_document_hides_no_other_row(clock, monkeypatch, odd):
    """Guards against entries that cannot read the table any more."""
    body = '{"rows": [["a", 1, "o", %s], ["b", 2, "own", {"n": "]"}]]}' % odd
    rows = rows_read(clock, monkeypatch, body.encode()).unwrap()
    assert [row.key for row in rows] == ['a', 'b']
    assert rows[1].document == {'n': ']'}


@pytest.mark.parametrize(
    'body',
    [
        b'', b'x', b'\xff', b'7', b'[]', b'{}', b'[' * 5000, b'{"rows": 7}',
        b'{"rows": [7]}', b'{"rows": [["a"]]}', b'{"rows": null}',
    ],
)  # fmt: skip
def test_malformed_response_of_the_table_service_fails(
    clock, monkeypatch, body
):
    """Guards against a call that never ends, which the queue waits for."""
    assert rows_read(clock, monkeypatch, body).is_err()


@pytest.mark.parametrize(
    'body',
    [b'', b'\xff', b'[]', b'{}', b'7', DEEP.encode(), b'{"tasks": 7}']
    + [b'{"boot": "b", "tasks": [7]}', b'{"boot": "b", "tasks": [{}]}'],
    ids=short,
)
def test_malformed_listing_of_the_worker_counts_as_none(
    clock, monkeypatch, body, errors
):
    """Guards against an agent that waits for a listing for good."""
    requests, listings = [], []

    def request(*_request):
        requests.append(Deferred())
        return requests[-1]

    agent = SimpleNamespace(request=request)
    monkeypatch.setattr(http_clients, 'pooled_agent', lambda *_how: agent)
    worker = http_clients.HttpWorker(clock, 'http://worker:1', 's')
    for _repetition in range(3):
        response = Response()
        worker.list(listings.append)
        requests[-1].callback(response)
        response.send(body)
        response.end(ResponseDone())
    assert listings == [None, None, None] and len(errors) == 1
