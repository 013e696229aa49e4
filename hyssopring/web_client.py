"""Bounded HTTP requests to the platform and to backend servers."""

from dataclasses import dataclass
from typing import Any, Iterable

from twisted.internet.defer import Deferred
from twisted.web.client import Agent, readBody
from twisted.web.http_headers import Headers
from twisted.web.iweb import IBodyProducer
from zope.interface import implementer

__all__ = ('FetchedAnswer', 'fetch')

_MILLIS_PER_SECOND = 1000.0
_JSON = (('content-type', 'application/json'),)


@dataclass(frozen=True, slots=True)
class FetchedAnswer:
    """A whole HTTP answer."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


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


def fetch(
    reactor: Any,
    agent: Agent,
    method: str,
    url: str,
    body: bytes = b'',
    timeout_ms: float = 2000,
    headers: Iterable[tuple[str, str]] = _JSON,
) -> Deferred:
    """Send one request and gather the whole answer.

    Returns:
        A deferred ``FetchedAnswer``; it fails when the connection breaks,
        when the body is shorter than announced, and at the timeout.
    """
    raw = Headers()
    for name, text in headers:
        raw.addRawHeader(name, text)
    deferred = agent.request(
        method.encode(),
        url.encode(),
        raw,
        _BytesProducer(body) if body else None,
    )
    deferred.addCallback(_gather)
    deferred.addTimeout(timeout_ms / _MILLIS_PER_SECOND, reactor)
    return deferred


def _gather(response: Any) -> Deferred:
    pairs = tuple(
        (name.decode('latin-1'), text.decode('latin-1'))
        for name, texts in response.headers.getAllRawHeaders()
        for text in texts
    )
    reading = readBody(response)
    reading.addCallback(
        lambda body: FetchedAnswer(response.code, pairs, body),
    )
    return reading
