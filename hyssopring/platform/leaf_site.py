"""HTTP sites of the platform's processes, each with a single resource.

``twisted.web.server`` finds resources by path, keeps sessions and renders
error pages, for which it imports many modules that these sites do not need.
"""

import io
from typing import Any, Final, Protocol

from twisted.python.failure import Failure as TwistedFailure
from twisted.web.error import UnsupportedMethod
from twisted.web.http import HTTPFactory, Request, datetimeToString

from hyssopring.logs import Event, log_event

__all__ = ('NOT_DONE_YET', 'LeafSite')

# Returned by a resource that responds later, as in ``twisted.web.server``.
NOT_DONE_YET: Final = 1

_STATUS_NOT_ALLOWED: Final = 405
_STATUS_TOO_LARGE: Final = 413
_STATUS_ERROR: Final = 500
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
    """

    def __init__(self, channel: Any, *_queued: object) -> None:
        super().__init__(channel, parsePOSTFormSubmission=False)
        self._body_bytes = 0

    def gotLength(self, length: int | None) -> None:
        """Start an empty body."""
        self.content = io.BytesIO()  # noqa: WPS110 -- an attribute of Twisted
        self._close_if_far_too_large(length or 0)

    def handleContentChunk(self, data: bytes) -> None:  # noqa: WPS110
        """Buffer a part of the body, or discard it beyond the limit."""
        self._body_bytes += len(data)
        if not self._is_too_large:
            self.content.write(data)
        self._close_if_far_too_large(self._body_bytes)

    def process(self) -> None:
        """Render the resource and send the response."""
        self.setHeader('date', datetimeToString())
        if self._is_too_large:
            self._log_too_large(self._body_bytes)
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
            if body is not NOT_DONE_YET:
                self._send(body)

    @property
    def _is_too_large(self) -> bool:
        return self._body_bytes > self.channel.site.max_body_bytes

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
            self.channel.transport.write(
                b'HTTP/1.1 413 Request Entity Too Large\r\n'
                b'content-length: 0\r\nconnection: close\r\n\r\n',
            )
            self.channel.loseConnection()

    def _log_too_large(self, length: int) -> None:
        log_event(
            Event.PEER_ERROR,
            peer=getattr(self.getClientAddress(), 'host', ''),
            detail=f'request body of {length} bytes is too large',
        )


class LeafSite(HTTPFactory):
    """A site whose resource serves all paths; writes no access log.

    Attributes:
        resource: Serves the requests.
        max_body_bytes: The limit of a request's body; one that is longer is
            answered with 413 and never reaches the resource.
    """

    noisy = False

    def __init__(self, resource: LeafResource, max_body_bytes: int) -> None:
        """Serve one resource."""
        super().__init__()
        self.resource = resource
        self.max_body_bytes = max_body_bytes

    def buildProtocol(self, addr: object) -> Any:
        """Return the protocol of a new connection."""
        channel = super().buildProtocol(addr)
        channel.requestFactory = _LeafRequest
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
