"""HTTP client with limits on time and size.

Used for the platform and for backend servers.
"""

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
    'FetchedResponse',
    'PooledAgent',
    'ResponseTimeoutError',
    'TooLargeResponseError',
    'TruncatedResponseError',
    'fetch',
    'pooled_agent',
)

_DEFAULT_IDLE_TIMEOUT_S = 60
MAX_RESPONSE_BYTES = 8 * 1024 * 1024
_JSON = (('content-type', 'application/json'),)


@dataclass(frozen=True, slots=True)
class FetchedResponse:
    """A complete HTTP response."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


class TruncatedResponseError(Exception):
    """A response ended before it was complete."""


class TooLargeResponseError(TruncatedResponseError):
    """A response exceeds ``MAX_RESPONSE_BYTES``."""


class ResponseTimeoutError(TimeoutError):
    """A response was not complete within its timeout."""


class _BodyCollector(Protocol):
    """Collects a body up to ``MAX_RESPONSE_BYTES``.

    A body is complete only if its announced length or its last chunk arrived:
    one that ends with the connection may have been truncated.
    """

    def __init__(self, on_data: Callable[[], None]) -> None:
        self.body: Deferred = Deferred(lambda _body: self._abort())
        self.size = 0
        self._on_data = on_data
        self._chunks: list[bytes] = []

    def dataReceived(self, data: bytes) -> None:  # noqa: WPS110
        self.size += len(data)
        self._on_data()
        if self.size <= MAX_RESPONSE_BYTES:
            self._chunks.append(data)
        elif not self.body.called:
            error = TooLargeResponseError(
                f'response exceeds {MAX_RESPONSE_BYTES} bytes'
            )
            self.body.errback(error)
            self._abort()

    def connectionLost(self, reason: TwistedFailure = connectionDone) -> None:
        if self.body.called:
            return
        if reason.check(ResponseDone):
            self.body.callback(b''.join(self._chunks))
            return
        error = TruncatedResponseError(
            f'response truncated after {self.size} bytes'
        )
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
        """Do nothing; the body is written at once."""

    def resumeProducing(self) -> None:
        """Do nothing; the body is written at once."""

    def stopProducing(self) -> None:
        """Do nothing; the body is written at once."""


@implementer(IAgentEndpointFactory)
class _EndpointFactory:
    """Creates endpoints without IDNA encoding for IP addresses.

    The factory of the library encodes the host of each request with IDNA, also
    if it is an IP address.
    """

    def __init__(self, reactor: Any) -> None:
        self._reactor = reactor

    def endpointForURI(self, uri: URI) -> Any:
        host = uri.host.decode('ascii')
        if isIPAddress(host):
            return TCP4ClientEndpoint(self._reactor, host, uri.port)
        return HostnameEndpoint(self._reactor, host, uri.port)


class PooledAgent:
    """An HTTP client with pooled connections and without retries.

    A pooled connection may be dead or closed; the retry of the library would
    then send a request twice without notice.
    """

    def __init__(
        self,
        reactor: Any,
        max_connections: int,
        idle_timeout_s: int,
    ) -> None:
        """Initialize the client.

        Args:
            reactor: Runs the connections.
            max_connections: Largest number of idle connections per host.
            idle_timeout_s: Time after which an idle connection is closed.
        """
        pool = HTTPConnectionPool(reactor)
        pool.maxPersistentPerHost = max_connections
        pool.cachedConnectionTimeout = idle_timeout_s
        pool.retryAutomatically = False
        self._pool = pool
        self._agent = Agent.usingEndpointFactory(
            reactor,
            _EndpointFactory(reactor),
            pool,
        )

    def request(self, *request: Any) -> Deferred:
        """Send a request; arguments are those of Twisted's ``Agent``."""
        return self._agent.request(*request)

    def close_idle(self) -> None:
        """Close idle connections; later requests use new ones."""
        self._pool.closeCachedConnections()


def pooled_agent(
    reactor: Any,
    max_connections: int,
    idle_timeout_s: int = _DEFAULT_IDLE_TIMEOUT_S,
) -> PooledAgent:
    """Return an HTTP client with its own connection pool."""
    return PooledAgent(reactor, max_connections, idle_timeout_s)


class _Exchange:
    """One request until its response, its timeout or its cancellation."""

    def __init__(
        self,
        reactor: Any,
        timeout_ms: float,
        silence_ms: float | None,
    ) -> None:
        self.outcome: Deferred = Deferred(self._on_cancel)
        self._request: Deferred = Deferred()
        self._silence_timeout_ms = silence_ms
        self._timeout_ms = timeout_ms
        self._collector = _BodyCollector(self._extend_timeout)
        self._timer = reactor.callLater(
            timeout_ms / MILLIS_PER_SECOND,
            self._on_timeout,
        )

    def start(self, request: Deferred) -> None:
        self._request = request
        request.addCallback(_collect_body, self._collector)
        request.addBoth(self._resolve)

    def _extend_timeout(self) -> None:
        if self._silence_timeout_ms is not None and self._timer.active():
            self._timeout_ms = self._silence_timeout_ms
            self._timer.reset(self._silence_timeout_ms / MILLIS_PER_SECOND)

    def _on_timeout(self) -> None:
        size = self._collector.size
        detail = f'{size} bytes received, none for {self._timeout_ms} ms'
        if self._silence_timeout_ms is None:
            detail = f'{size} bytes received within {self._timeout_ms} ms'
        self._abort(ResponseTimeoutError(detail))

    def _on_cancel(self, _outcome: Deferred) -> None:
        self._abort(CancelledError())

    def _abort(self, error: Exception) -> None:
        """Fail and drop the connection, with data still in transit."""
        self._resolve(TwistedFailure(error))
        self._request.cancel()

    def _resolve(self, outcome: Any) -> None:
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
    """Send a request and return the complete response.

    Args:
        reactor: Runs the timeout.
        agent: HTTP client from ``pooled_agent``.
        method: HTTP method.
        url: URL of the request.
        body: Body of the request.
        timeout_ms: Time limit for the complete response.
        headers: Headers of the request.
        silence_ms: If given, ``timeout_ms`` applies only to the first bytes of
            the response, and later bytes must arrive at intervals of at most
            this time. For responses whose size suits no single time limit on
            slow and fast links.

    Returns:
        A deferred ``FetchedResponse``. It fails if the connection breaks, if
        the body is shorter than announced, or at the timeout. Cancelling it
        drops the connection.
    """
    raw_headers = Headers()
    for name, text in headers:
        # Headers are passed on as bytes; the library would encode UTF-8.
        raw_headers.addRawHeader(name.encode('latin-1'), text.encode('latin-1'))
    exchange = _Exchange(reactor, timeout_ms, silence_ms)
    # The deferred fails also if the library rejects the method or the URL.
    exchange.start(
        maybeDeferred(
            agent.request,
            method.encode(),
            url.encode(),
            raw_headers,
            _BytesProducer(body) if body else None,
        ),
    )
    return exchange.outcome


def _collect_body(response: Any, collector: _BodyCollector) -> Deferred:
    header_pairs = tuple(
        (name.decode('latin-1'), text.decode('latin-1'))
        for name, texts in response.headers.getAllRawHeaders()
        for text in texts
    )
    response.deliverBody(collector)
    collector.body.addCallback(
        lambda body: FetchedResponse(response.code, header_pairs, body),
    )
    return collector.body
