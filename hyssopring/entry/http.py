"""Requests of the callers' port, bounded while they are read."""

import functools
import io
from typing import Any

from twisted.web.http import HTTPChannel
from twisted.web.resource import Resource
from twisted.web.server import Request

from hyssopring.web_server import QuietSite

__all__ = ('BoundedChannel', 'BoundedRequest', 'bounded_site')

# A body up to so many times the limit is read to its end and thrown away, so
# that its sender gets a whole answer; a longer one has its connection closed.
_DISCARD_FACTOR = 8


class BoundedRequest(Request):
    """Buffers a body up to a limit, in memory.

    The library would buffer a body of any length, on disk when it is long,
    and these machines have none.

    Attributes:
        is_too_large: The body was longer; what came is thrown away.
    """

    def __init__(self, max_body_bytes: int, *arguments: Any) -> None:
        """Take the limit, then the library's arguments."""
        super().__init__(*arguments)
        self.is_too_large = False
        self._max_body_bytes = max_body_bytes
        self._body_bytes = 0

    def gotLength(self, length: int | None) -> None:
        """Begin the body."""
        self._begin()
        self.is_too_large = (length or 0) > self._max_body_bytes
        self._bound(length or 0)

    def handleContentChunk(self, data: bytes) -> None:  # noqa: WPS110
        """Keep a part of the body within the limit."""
        self._body_bytes += len(data)
        if self._body_bytes > self._max_body_bytes:
            self.is_too_large = True
            self._begin()
        if not self.is_too_large:
            self.content.write(data)
        self._bound(self._body_bytes)

    def _begin(self) -> None:
        self.content = io.BytesIO()  # noqa: WPS110 -- the library's name

    def _bound(self, length: int) -> None:
        if length > self._max_body_bytes * _DISCARD_FACTOR:
            self.channel.transport.write(
                b'HTTP/1.1 413 Request Entity Too Large\r\n'
                b'content-length: 0\r\nconnection: close\r\n\r\n',
            )
            self.channel.loseConnection()


class BoundedChannel(HTTPChannel):
    """Answers a header line that is too long; the library only hangs up."""

    def lineLengthExceeded(self, line: bytes) -> None:
        """Refuse the request and close."""
        self.transport.write(
            b'HTTP/1.1 431 Request Header Fields Too Large\r\n'
            b'content-length: 0\r\nconnection: close\r\n\r\n',
        )
        self.loseConnection()


def bounded_site(resource: Resource, max_body_bytes: int) -> QuietSite:
    """Return a site that reads bodies up to a limit and parses none."""
    site = QuietSite(
        resource,
        functools.partial(BoundedRequest, max_body_bytes),
        parsePOSTFormSubmission=False,
    )
    site.protocol = BoundedChannel
    return site
