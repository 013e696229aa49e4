"""HTTP sites of the platform's processes, each with a single resource.

``twisted.web.server`` finds resources by path, keeps sessions and renders
error pages, for which it imports many modules that these sites do not need.
"""

import io
from functools import partial
from typing import Any, Final, Protocol

from twisted.python.failure import Failure as TwistedFailure
from twisted.web.error import UnsupportedMethod
from twisted.web.http import HTTPChannel, HTTPFactory, Request, datetimeToString

from hyssopring.logs import Event, log_event
from hyssopring.platform.site_limits import MAX_BODY_BYTES, SiteLimits

__all__ = ('MAX_BODY_BYTES', 'NOT_DONE_YET', 'LeafSite', 'SiteLimits')

# Returned by a resource that responds later, as in ``twisted.web.server``.
NOT_DONE_YET: Final = 1

_STATUS_NOT_ALLOWED: Final = 405
_STATUS_TOO_LARGE: Final = 413
_STATUS_ERROR: Final = 500
_UNAVAILABLE: Final = b'503 Service Unavailable\r\nretry-after: 1'
# A body of up to this multiple of the limit is read and discarded, so that its
# sender receives a complete response. A longer one closes the connection.
_DISCARD_FACTOR: Final = 8


class LeafResource(Protocol):
    """What a site needs of a resource."""

    def render(self, request: Any) -> bytes | int:
        """Return the body of the response, or ``NOT_DONE_YET``."""


class _LeafRequest(Request):
    """A request to the resource of a ``LeafSite``.

    The body is buffered in memory, up to a limit. Twisted buffers a body of any
    length, long ones on disk, and these processes have no disk.

    Attributes:
        body_bytes: Bytes of the body that have arrived.
    """

    def __init__(self, channel: Any, *_queued: object) -> None:
        super().__init__(channel, parsePOSTFormSubmission=False)
        self.body_bytes = 0

    @property
    def held_bytes(self) -> int:
        """Bytes of the body that are in memory."""
        return 0 if self._is_too_large else self.body_bytes

    def gotLength(self, length: int | None) -> None:
        """Start an empty body."""
        self.discard_body()
        self._close_if_far_too_large(length or 0)

    def handleContentChunk(self, data: bytes) -> None:  # noqa: WPS110
        """Buffer a part of the body, or discard it beyond the limit."""
        if self.channel.is_refused:
            return
        was_too_large = self._is_too_large
        self.body_bytes += len(data)
        if not self._is_too_large:
            self.content.write(data)
        elif not was_too_large:
            self.discard_body()
        self._close_if_far_too_large(self.body_bytes)

    def process(self) -> None:
        """Render the resource and send the response."""
        if self.channel.is_refused:
            return
        self.channel.begin_serving()
        self.setHeader('date', datetimeToString())
        if self._is_too_large:
            self._log_too_large(self.body_bytes)
            self._respond(_STATUS_TOO_LARGE)
            return
        try:
            body = self.channel.site.resource.render(self)
        except UnsupportedMethod as error:
            self.setHeader('allow', b', '.join(error.allowedMethods))
            self._respond(_STATUS_NOT_ALLOWED)
        except Exception:  # noqa: BLE001, WPS429 -- one request's error
            _log_failure(TwistedFailure())
            self._respond(_STATUS_ERROR)
        else:
            if body is NOT_DONE_YET:
                self.discard_body()
            else:
                self._send(body)

    def discard_body(self) -> None:
        """Free the memory of the body, which the resource has read."""
        self.content = io.BytesIO()  # noqa: WPS110 -- an attribute of Twisted

    @property
    def _is_too_large(self) -> bool:
        return self.body_bytes > self.channel.site.max_body_bytes

    def _respond(self, status: int) -> None:
        self.setResponseCode(status)
        self._send(b'')

    def _send(self, body: bytes) -> None:
        self.setHeader('content-length', str(len(body)))
        self.write(b'' if self.method == b'HEAD' else body)
        self.finish()

    def _close_if_far_too_large(self, length: int) -> None:
        if length > self.channel.site.max_body_bytes * _DISCARD_FACTOR:
            self._log_too_large(length)
            self.channel.refuse(b'413 Request Entity Too Large')

    def _log_too_large(self, length: int) -> None:
        log_event(
            Event.PEER_ERROR,
            peer=getattr(self.getClientAddress(), 'host', ''),
            detail=f'request body of {length} bytes is too large',
        )


class _LeafChannel(HTTPChannel):
    """A connection to a ``LeafSite``, counted by the limits of the process.

    Attributes:
        site: The site.
        is_refused: Whether it was refused or lost; what still arrives is
            ignored.
        is_serving: Whether a request was read and its response is pending.
    """

    requestFactory = _LeafRequest
    site: 'LeafSite'

    def __init__(self) -> None:
        super().__init__()
        self.is_refused = False
        self.is_serving = False
        # Of a head, or of a request that follows the one being served.
        self._other_bytes = 0
        self._has_responded = False
        self._unparsed: list[bytes] = []

    def connectionMade(self) -> None:
        """Count the connection."""
        super().connectionMade()
        self.site.limits.connections.add(self)

    def connectionLost(self, reason: TwistedFailure) -> None:
        """Forget the connection and its bytes."""
        self.is_refused = True
        self.site.limits.connections.remove(self)
        self.site.limits.bodies.release(self)
        super().connectionLost(reason)

    def dataReceived(self, data: bytes) -> None:  # noqa: WPS110
        """Read a part of a request, in a later turn if this one is over."""
        if self.is_refused:
            return
        turns = self.site.limits.turns
        if self._unparsed or turns.is_over:
            if not self._unparsed:
                turns.wait(self)
            self._unparsed.append(data)
            self._networkProducer.pauseProducing()
            self._count_bytes()
        else:
            turns.run(partial(self._parse, data))

    def read_on(self) -> None:
        """See ``Reader``."""
        unparsed = b''.join(self._unparsed)
        self._unparsed = []
        if self.is_refused:
            return
        if not (self.is_serving or self._waitingForTransport):
            self._networkProducer.resumeProducing()
        self.site.limits.turns.run(partial(self._parse, unparsed))

    def begin_serving(self) -> None:
        """Record that the request was read."""
        self.is_serving = True

    def requestDone(self, request: Request) -> None:
        """Record that the response was sent, and read the next request."""
        self.is_serving = False
        self._has_responded = True
        self.site.limits.connections.renew(self)
        super().requestDone(request)

    def refuse_body(self) -> None:
        """See ``RefusableBody``."""
        log_event(
            Event.PEER_ERROR,
            peer=getattr(self.getPeer(), 'host', ''),
            detail='request refused: too many bytes in unfinished bodies',
        )
        self.refuse(_UNAVAILABLE)

    def refuse(self, status: bytes) -> None:
        """Respond to an unfinished request and close the connection."""
        self.is_refused = True
        self.site.limits.bodies.release(self)
        for request in self.requests:
            request.discard_body()
        self.transport.write(
            b'HTTP/1.1 %b\r\ncontent-length: 0\r\nconnection: close\r\n\r\n'
            % status,
        )
        self.setTimeout(None)
        # It also aborts if the client does not read the response.
        self.timeoutConnection()

    def abort(self) -> None:
        """See ``OpenConnection``."""
        self.is_refused = True
        self.site.limits.bodies.release(self)
        self.transport.abortConnection()

    def _parse(self, received: bytes) -> None:
        """Read a part of a request and count what it leaves in memory."""
        former_bytes = self._body_bytes
        self._has_responded = False
        super().dataReceived(received)  # noqa: WPS613 -- of Twisted
        if self._has_responded:
            self._other_bytes = 0
        elif self._body_bytes == former_bytes:
            self._other_bytes += len(received)
        if not self.is_refused:
            self._count_bytes()

    @property
    def _body_bytes(self) -> int:
        return self.requests[0].body_bytes if self.requests else 0

    def _count_bytes(self) -> None:
        """Count the bytes of an unfinished request.

        While one is served, at most a part of the next one is in memory, and a
        refusal would be taken for the response to the former.
        """
        held_bytes = 0
        if not self.is_serving:
            held_bytes = self._other_bytes + sum(map(len, self._unparsed))
            held_bytes += sum(request.held_bytes for request in self.requests)
        self.site.limits.bodies.hold(self, held_bytes)


class LeafSite(HTTPFactory):
    """A site whose resource serves all paths; writes no access log.

    Attributes:
        resource: Serves the requests. It reads a body while it renders.
        max_body_bytes: The limit of a request's body; one that is longer is
            answered with 413 and never reaches the resource.
        limits: The limits that the site shares with others.
    """

    noisy = False
    protocol = _LeafChannel

    def __init__(
        self,
        resource: LeafResource,
        max_body_bytes: int,
        limits: SiteLimits,
    ) -> None:
        """Serve one resource."""
        super().__init__()
        self.resource = resource
        self.max_body_bytes = max_body_bytes
        self.limits = limits

    def buildProtocol(self, addr: object) -> Any:
        """Return the protocol of a new connection."""
        channel = super().buildProtocol(addr)
        channel.site = self
        return channel

    def log(self, request: Request) -> None:
        """Write no access log."""


def _log_failure(failure: TwistedFailure) -> None:
    log_event(
        Event.PEER_ERROR,
        peer='request',
        detail=repr(failure.value),
        trace=failure.getBriefTraceback(),
    )
