"""Bounded HTTP requests to the platform and to backend servers."""

from dataclasses import dataclass
from typing import Any, Callable, Iterable

from twisted.internet.abstract import isIPAddress
from twisted.internet.defer import (
    CancelledError,
    Deferred,
    TimeoutError,
    maybeDeferred,
)
from twisted.internet.endpoints import HostnameEndpoint, TCP4ClientEndpoint
from twisted.internet.protocol import Protocol, connectionDone
from twisted.python.failure import Failure as TwistedFailure
from twisted.web.client import URI, Agent, HTTPConnectionPool, ResponseDone
from twisted.web.http_headers import Headers
from twisted.web.iweb import IAgentEndpointFactory, IBodyProducer
from zope.interface import implementer

from hyssopring.clock import MILLIS_PER_SECOND

__all__ = (
    'FetchedAnswer',
    'PooledAgent',
    'SlowAnswer',
    'TooLargeAnswer',
    'TruncatedAnswer',
    'fetch',
    'pooled_agent',
)

_DEFAULT_IDLE_S = 60
MAX_ANSWER_BYTES = 8 * 1024 * 1024
_JSON = (('content-type', 'application/json'),)


@dataclass(frozen=True, slots=True)
class FetchedAnswer:
    """A whole HTTP answer."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


class TruncatedAnswer(Exception):
    """An answer began and did not come whole."""


class TooLargeAnswer(TruncatedAnswer):
    """An answer is longer than is accepted."""


class SlowAnswer(TimeoutError):
    """An answer was not whole within its time limit."""


class _Gatherer(Protocol):
    """Gathers a body up to a limit.

    A body is whole only when its announced length or its last chunk came: one
    that ends with the connection alone may have been cut anywhere.
    """

    def __init__(self, on_bytes: Callable[[], None]) -> None:
        self.body: Deferred = Deferred(lambda _body: self._abort())
        self.size = 0
        self._on_bytes = on_bytes
        self._parts: list[bytes] = []

    def dataReceived(self, data: bytes) -> None:  # noqa: WPS110
        self.size += len(data)
        self._on_bytes()
        if self.size <= MAX_ANSWER_BYTES:
            self._parts.append(data)
        elif not self.body.called:
            error = TooLargeAnswer(f'more than {MAX_ANSWER_BYTES} bytes')
            self.body.errback(error)
            self._abort()

    def connectionLost(self, reason: TwistedFailure = connectionDone) -> None:
        if self.body.called:
            return
        if reason.check(ResponseDone):
            self.body.callback(b''.join(self._parts))
            return
        error = TruncatedAnswer(f'the answer was cut at {self.size} bytes')
        self.body.errback(error)

    def _abort(self) -> None:
        abort = getattr(self.transport, 'abortConnection', None)
        if abort is not None:
            abort()


@implementer(IBodyProducer)
class _BytesProducer:
    def __init__(self, body: bytes) -> None:
        self.body = body
        self.length = len(body)

    def startProducing(self, consumer: Any) -> Deferred:
        consumer.write(self.body)
        done: Deferred = Deferred()
        done.callback(None)
        return done

    def pauseProducing(self) -> None:
        """The body is written at once; there is nothing to pause."""

    def resumeProducing(self) -> None:
        """The body is written at once; there is nothing to resume."""

    def stopProducing(self) -> None:
        """The body is written at once; there is nothing to stop."""


@implementer(IAgentEndpointFactory)
class _EndpointFactory:
    """Makes endpoints; numeric addresses need no name to be decoded.

    The library's own factory runs each host through the IDNA tables, for
    every request anew, also when it is an IP number.
    """

    def __init__(self, reactor: Any) -> None:
        self._reactor = reactor

    def endpointForURI(self, uri: URI) -> Any:
        host = uri.host.decode('ascii')
        if isIPAddress(host):
            return TCP4ClientEndpoint(self._reactor, host, uri.port)
        return HostnameEndpoint(self._reactor, host, uri.port)


class PooledAgent:
    """An HTTP client that keeps connections and never repeats a request.

    A pooled connection may have gone silent or been closed; the library's
    own retry would send a request twice without telling us.
    """

    def __init__(
        self,
        reactor: Any,
        max_connections: int,
        idle_s: int,
    ) -> None:
        """Connect lazily, and keep idle connections for a while."""
        pool = HTTPConnectionPool(reactor)
        pool.maxPersistentPerHost = max_connections
        pool.cachedConnectionTimeout = idle_s
        pool.retryAutomatically = False
        self._pool = pool
        self._agent = Agent.usingEndpointFactory(
            reactor,
            _EndpointFactory(reactor),
            pool,
        )

    def request(self, *request: Any) -> Deferred:
        """Send a request; see the library's ``Agent``."""
        return self._agent.request(*request)

    def close_idle(self) -> None:
        """Make the next requests on new connections."""
        self._pool.closeCachedConnections()


def pooled_agent(
    reactor: Any,
    max_connections: int,
    idle_s: int = _DEFAULT_IDLE_S,
) -> PooledAgent:
    """Return an HTTP client with connections of its own."""
    return PooledAgent(reactor, max_connections, idle_s)


class _Exchange:
    """One request and its answer, until it is whole, late or given up."""

    def __init__(
        self,
        reactor: Any,
        timeout_ms: float,
        silence_ms: float | None,
    ) -> None:
        self.outcome: Deferred = Deferred(self._given_up)
        self._requesting: Deferred = Deferred()
        self._silence_ms = silence_ms
        self._timeout_ms = timeout_ms
        self._gatherer = _Gatherer(self._bytes_came)
        self._timer = reactor.callLater(
            timeout_ms / MILLIS_PER_SECOND,
            self._too_late,
        )

    def begin(self, requesting: Deferred) -> None:
        self._requesting = requesting
        requesting.addCallback(_gather, self._gatherer)
        requesting.addBoth(self._settle)

    def _bytes_came(self) -> None:
        if self._silence_ms is not None and self._timer.active():
            self._timeout_ms = self._silence_ms
            self._timer.reset(self._silence_ms / MILLIS_PER_SECOND)

    def _too_late(self) -> None:
        size = self._gatherer.size
        detail = f'{size} bytes came, the last {self._timeout_ms} ms ago'
        if self._silence_ms is None:
            detail = f'{size} bytes came within {self._timeout_ms} ms'
        self._end(SlowAnswer(detail))

    def _given_up(self, _outcome: Deferred) -> None:
        self._end(CancelledError())

    def _end(self, error: Exception) -> None:
        """Fail, and drop the connection with what may still come on it."""
        self._settle(TwistedFailure(error))
        self._requesting.cancel()

    def _settle(self, outcome: Any) -> None:
        if self._timer.active():
            self._timer.cancel()
        if not self.outcome.called:
            self.outcome.callback(outcome)


def fetch(
    reactor: Any,
    agent: PooledAgent,
    method: str,
    url: str,
    body: bytes = b'',
    timeout_ms: float = 2000,
    headers: Iterable[tuple[str, str]] = _JSON,
    silence_ms: float | None = None,
) -> Deferred:
    """Send one request and gather the whole answer.

    Args:
        reactor: Keeps the time.
        agent: See ``pooled_agent``.
        method: Of the request.
        url: Of the request.
        body: Of the request.
        timeout_ms: Within this time the answer has to be whole.
        headers: Of the request.
        silence_ms: If given, ``timeout_ms`` is for the answer's first bytes
            only, and it may go on as long as no pause is longer than this:
            for answers whose length no one time limit fits on each link.

    Returns:
        A deferred ``FetchedAnswer``; it fails when the connection breaks,
        when the body is shorter than announced, and at the timeout. To cancel
        it drops the connection.
    """
    raw = Headers()
    for name, text in headers:
        # One byte a character, as they came; the library would take UTF-8.
        raw.addRawHeader(name.encode('latin-1'), text.encode('latin-1'))
    exchange = _Exchange(reactor, timeout_ms, silence_ms)
    # A method or an address that the library refuses fails the deferred too.
    exchange.begin(
        maybeDeferred(
            agent.request,
            method.encode(),
            url.encode(),
            raw,
            _BytesProducer(body) if body else None,
        ),
    )
    return exchange.outcome


def _gather(response: Any, gatherer: _Gatherer) -> Deferred:
    pairs = tuple(
        (name.decode('latin-1'), text.decode('latin-1'))
        for name, texts in response.headers.getAllRawHeaders()
        for text in texts
    )
    response.deliverBody(gatherer)
    gatherer.body.addCallback(
        lambda body: FetchedAnswer(response.code, pairs, body),
    )
    return gatherer.body
