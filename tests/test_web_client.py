"""Tests of the timeouts of an HTTP call with a slow or truncated response."""

from types import SimpleNamespace

import pytest
from twisted.internet.defer import CancelledError, Deferred
from twisted.internet.error import ConnectionAborted
from twisted.internet.task import Clock
from twisted.python.failure import Failure
from twisted.web.client import ResponseDone

from hyssopring.store import client
from hyssopring.web_client import SlowAnswer, TruncatedAnswer, fetch

SILENCE_MS = 1200


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


def start_fetch(clock, **limits):
    """Return a call, its response, which has begun, and its results."""
    request_deferred, response, results = Deferred(), Response(), []
    agent = SimpleNamespace(request=lambda *_request: request_deferred)
    call = fetch(clock, agent, 'GET', 'http://store:1/', **limits)
    call.addBoth(results.append)
    request_deferred.callback(response)
    return call, response, results


def send_slowly(clock, response, chunk_count, pause_s):
    for _chunk in range(chunk_count):
        clock.advance(pause_s)
        response.send(b'x' * 100)


def test_slow_response_that_makes_progress_is_not_aborted(clock):
    """A large configuration takes 4 s on a slow link.

    With a timeout for the complete call, it would be aborted and requested
    again without end.
    """
    _call, response, results = start_fetch(clock, silence_ms=SILENCE_MS)
    send_slowly(clock, response, 10, 0.4)
    response.end(ResponseDone())
    assert [len(result.body) for result in results] == [1000]


def test_response_that_stalls_is_aborted(clock):
    """A connection becomes silent in the middle of a response."""
    _call, response, results = start_fetch(clock, silence_ms=SILENCE_MS)
    send_slowly(clock, response, 2, 0.4)
    clock.advance(SILENCE_MS / 1000)
    assert response.is_aborted
    assert results[0].check(SlowAnswer)
    assert '200 bytes' in results[0].getErrorMessage()


def test_first_byte_has_the_timeout_of_the_complete_call(clock):
    """A long poll for changes gets its response once there is a change."""
    limits = {'timeout_ms': 2000, 'silence_ms': SILENCE_MS}
    _call, response, results = start_fetch(clock, **limits)
    clock.advance(1.9)
    assert not results
    clock.advance(0.1)
    assert results[0].check(SlowAnswer)
    assert response.is_aborted


def test_without_silence_limit_the_timeout_covers_the_complete_response(clock):
    _call, response, results = start_fetch(clock, timeout_ms=2000)
    send_slowly(clock, response, 4, 0.4)
    clock.advance(0.4)
    assert results[0].check(SlowAnswer)


def test_cancelled_call_aborts_its_connection(clock):
    """Otherwise the rest of the response would occupy a slow link."""
    call, response, results = start_fetch(clock, silence_ms=SILENCE_MS)
    send_slowly(clock, response, 1, 0.1)
    call.cancel()
    assert response.is_aborted
    assert results[0].check(CancelledError)
    assert not clock.getDelayedCalls()


def test_call_cancelled_before_its_response_ends_at_once(clock):
    agent = SimpleNamespace(request=lambda *_request: Deferred())
    results = []
    call = fetch(clock, agent, 'GET', 'http://store:1/')
    call.addBoth(results.append)
    call.cancel()
    assert results[0].check(CancelledError)
    assert not clock.getDelayedCalls()


def test_truncated_response_is_an_error(clock):
    _call, response, results = start_fetch(clock, silence_ms=SILENCE_MS)
    send_slowly(clock, response, 1, 0.1)
    response.end(ConnectionAborted())
    assert results[0].check(TruncatedAnswer)
    assert not clock.getDelayedCalls()


def test_table_service_may_send_its_rows_slowly(clock, monkeypatch):
    """Reading all rows of a prefix takes longer than the call's timeout."""
    request_deferred, response, results = Deferred(), Response(), []
    agent = SimpleNamespace(request=lambda *_request: request_deferred)
    monkeypatch.setattr(client, 'pooled_agent', lambda *_options: agent)
    transport = client.HttpTransport(clock, 'http://table:1')
    transport.send_read('jobs/', 1000, results.append)
    request_deferred.callback(response)
    for chunk in (b'{"rows": [', b'["jobs/a", 1, "own", {}', b']]}'):
        clock.advance(0.8)
        response.send(chunk)
    response.end(ResponseDone())
    assert [row.key for row in results[0].unwrap()] == ['jobs/a']
