"""HTTP requests of the callers' port, with a limit on the body's size."""

import functools
import io
from typing import Any

from twisted.web.http import HTTPChannel
from twisted.web.resource import Resource
from twisted.web.server import Request

from hyssopring.web_server import QuietSite

__all__ = ('BoundedChannel', 'BoundedRequest', 'bounded_site')

# A body of up to this multiple of the limit is read and discarded, so that its
# sender receives a complete error response. A longer one closes the connection.
_DISCARD_FACTOR = 8


class BoundedRequest(Request):
    """A request whose body is buffered in memory, up to a limit.

    Twisted buffers a body of any length, long ones on disk, and the entries'
    machines have no disk.

    Attributes:
        is_too_large: Whether the body exceeded the limit and was discarded.
    """

    def __init__(self, max_body_bytes: int, *arguments: Any) -> None:
        """Set the limit in bytes; pass the other arguments to Twisted."""
        super().__init__(*arguments)
        self.is_too_large = False
        self._max_body_bytes = max_body_bytes
        self._body_bytes = 0

    def gotLength(self, length: int | None) -> None:
        """Start an empty body; check the announced length."""
        self._reset_body()
        self.is_too_large = (length or 0) > self._max_body_bytes
        self._close_if_far_too_large(length or 0)

    def handleContentChunk(self, data: bytes) -> None:  # noqa: WPS110
        """Buffer a part of the body, or discard it beyond the limit."""
        self._body_bytes += len(data)
        if self._body_bytes > self._max_body_bytes:
            self.is_too_large = True
            self._reset_body()
        if not self.is_too_large:
            self.content.write(data)
        self._close_if_far_too_large(self._body_bytes)

    def _reset_body(self) -> None:
        self.content = io.BytesIO()  # noqa: WPS110 -- an attribute of Twisted

    def _close_if_far_too_large(self, length: int) -> None:
        if length > self._max_body_bytes * _DISCARD_FACTOR:
            self.channel.transport.write(
                b'HTTP/1.1 413 Request Entity Too Large\r\n'
                b'content-length: 0\r\nconnection: close\r\n\r\n',
            )
            self.channel.loseConnection()


class BoundedChannel(HTTPChannel):
    """Answers a header line that is too long; Twisted only disconnects."""

    def lineLengthExceeded(self, line: bytes) -> None:
        """Send status 431 and close the connection."""
        self.transport.write(
            b'HTTP/1.1 431 Request Header Fields Too Large\r\n'
            b'content-length: 0\r\nconnection: close\r\n\r\n',
        )
        self.loseConnection()


def bounded_site(resource: Resource, max_body_bytes: int) -> QuietSite:
    """Return a site that limits the size of bodies and parses no forms."""
    site = QuietSite(
        resource,
        functools.partial(BoundedRequest, max_body_bytes),
        parsePOSTFormSubmission=False,
    )
    site.protocol = BoundedChannel
    return site
