"""Time limits of an HTTP call whose answer comes slowly, or not to its end."""

from types import SimpleNamespace

import pytest
from twisted.internet.defer import CancelledError, Deferred
from twisted.internet.error import ConnectionAborted
from twisted.internet.task import Clock
from twisted.python.failure import Failure
from twisted.web.client import ResponseDone

from hyssopring.store import client
from hyssopring.web_client import (
    ResponseTimeoutError,
    TruncatedResponseError,
    fetch,
)

SILENCE_MS = 1200


class Response:
    """An answer whose body a test sends piece by piece."""

    code = 200
    headers = SimpleNamespace(getAllRawHeaders=tuple)

    def __init__(self):
        self.is_aborted = False
        self._protocol = None

    def deliverBody(self, protocol):
        self._protocol = protocol
        protocol.transport = SimpleNamespace(abortConnection=self._abort)

    def send(self, piece):
        self._protocol.dataReceived(piece)

    def end(self, reason):
        self._protocol.connectionLost(Failure(reason))

    def _abort(self):
        self.is_aborted = True
        self.end(ConnectionAborted())


@pytest.fixture
def clock():
    return Clock()


def begun(clock, **limits):
    """A call whose answer has begun, its response, and what came of it."""
    requesting, response, outcomes = Deferred(), Response(), []
    agent = SimpleNamespace(request=lambda *_request: requesting)
    calling = fetch(clock, agent, 'GET', 'http://store:1/', **limits)
    calling.addBoth(outcomes.append)
    requesting.callback(response)
    return calling, response, outcomes


def dribble(clock, response, pieces, pause_s):
    for _piece in range(pieces):
        clock.advance(pause_s)
        response.send(b'x' * 100)


def test_an_answer_that_keeps_coming_is_waited_for(clock):
    """A large configuration needs 4 s on a narrow link.

    It was thrown away at the time limit of the whole call and begun anew,
    again and again.
    """
    _calling, response, outcomes = begun(clock, silence_ms=SILENCE_MS)
    dribble(clock, response, 10, 0.4)
    response.end(ResponseDone())
    assert [len(answer.body) for answer in outcomes] == [1000]


def test_an_answer_that_stops_coming_is_given_up(clock):
    """A connection goes silent in the middle of an answer, without an end."""
    _calling, response, outcomes = begun(clock, silence_ms=SILENCE_MS)
    dribble(clock, response, 2, 0.4)
    clock.advance(SILENCE_MS / 1000)
    assert response.is_aborted
    assert outcomes[0].check(ResponseTimeoutError)
    assert '200 bytes' in outcomes[0].getErrorMessage()


def test_the_first_byte_is_waited_for_as_long_as_the_whole_call(clock):
    """A call for changes begins to answer once there is one."""
    limits = {'timeout_ms': 2000, 'silence_ms': SILENCE_MS}
    _calling, response, outcomes = begun(clock, **limits)
    clock.advance(1.9)
    assert not outcomes
    clock.advance(0.1)
    assert outcomes[0].check(ResponseTimeoutError)
    assert response.is_aborted


def test_without_a_limit_of_silence_the_whole_answer_is_timed(clock):
    _calling, response, outcomes = begun(clock, timeout_ms=2000)
    dribble(clock, response, 4, 0.4)
    clock.advance(0.4)
    assert outcomes[0].check(ResponseTimeoutError)


def test_a_call_that_is_given_up_drops_its_connection(clock):
    """What is still on its way would fill a narrow link."""
    calling, response, outcomes = begun(clock, silence_ms=SILENCE_MS)
    dribble(clock, response, 1, 0.1)
    calling.cancel()
    assert response.is_aborted
    assert outcomes[0].check(CancelledError)
    assert not clock.getDelayedCalls()


def test_a_call_that_is_given_up_before_its_answer_ends_at_once(clock):
    agent = SimpleNamespace(request=lambda *_request: Deferred())
    outcomes = []
    calling = fetch(clock, agent, 'GET', 'http://store:1/')
    calling.addBoth(outcomes.append)
    calling.cancel()
    assert outcomes[0].check(CancelledError)
    assert not clock.getDelayedCalls()


def test_an_answer_that_is_cut_is_not_taken_for_whole(clock):
    _calling, response, outcomes = begun(clock, silence_ms=SILENCE_MS)
    dribble(clock, response, 1, 0.1)
    response.end(ConnectionAborted())
    assert outcomes[0].check(TruncatedResponseError)
    assert not clock.getDelayedCalls()


def test_the_table_service_may_send_its_rows_slowly(clock, monkeypatch):
    """All rows of a prefix need longer than the call's time limit."""
    requesting, response, rows = Deferred(), Response(), []
    agent = SimpleNamespace(request=lambda *_request: requesting)
    monkeypatch.setattr(client, 'pooled_agent', lambda *_how: agent)
    transport = client.HttpTransport(clock, 'http://table:1')
    transport.send_read('jobs/', 1000, rows.append)
    requesting.callback(response)
    for piece in (b'{"rows": [', b'["jobs/a", 1, "own", {}', b']]}'):
        clock.advance(0.8)
        response.send(piece)
    response.end(ResponseDone())
    assert [row.key for row in rows[0].unwrap()] == ['jobs/a']
