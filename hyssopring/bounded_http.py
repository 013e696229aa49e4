"""HTTP sites that limit bodies, their sum, and open connections."""

import functools
import io
import json
from typing import Any, Final

from twisted.python.failure import Failure as TwistedFailure
from twisted.web.http import RESPONSES, HTTPChannel
from twisted.web.resource import Resource
from twisted.web.server import Request

from hyssopring.errors import ErrorKind, Failure
from hyssopring.http_limits import HttpLimits
from hyssopring.logs import Event, log_event
from hyssopring.web_server import QuietSite

__all__ = ('BoundedChannel', 'BoundedRequest', 'bounded_site')

# A body of up to this multiple of the limit is read and discarded, so that its
# sender receives a complete error response. A longer one closes the connection.
_DISCARD_FACTOR: Final = 8
_HEADERS_TOO_LARGE: Final = (
    b'HTTP/1.1 431 Request Header Fields Too Large\r\n'
    b'content-length: 0\r\nconnection: close\r\n\r\n'
)


class BoundedRequest(Request):
    """A request whose body is buffered in memory, up to a limit.

    Twisted buffers a body of any length, long ones on disk, and these processes
    have no disk.

    Attributes:
        body_bytes: Bytes of the body that arrived.
        is_too_large: Whether the body exceeded the limit and was discarded.
    """

    def __init__(self, max_body_bytes: int, *arguments: Any) -> None:
        """Set the limit in bytes; pass the other arguments to Twisted."""
        super().__init__(*arguments)
        self.is_too_large = False
        self._max_body_bytes = max_body_bytes
        self.body_bytes = 0

    @property
    def held_bytes(self) -> int:
        """Bytes of the body that are in memory."""
        return 0 if self.is_too_large else self.body_bytes

    def gotLength(self, length: int | None) -> None:
        """Start an empty body; check the announced length."""
        self.discard_body()
        self.is_too_large = (length or 0) > self._max_body_bytes
        self._close_if_far_too_large(length or 0)

    def handleContentChunk(self, data: bytes) -> None:  # noqa: WPS110
        """Buffer a part of the body, or discard it beyond the limit."""
        if self.channel.is_refused:
            return
        self.body_bytes += len(data)
        if self.body_bytes > self._max_body_bytes and not self.is_too_large:
            self.is_too_large = True
            self.discard_body()
        if not self.is_too_large:
            self.content.write(data)
        self._close_if_far_too_large(self.body_bytes)

    def process(self) -> None:
        """Render the resource, or refuse a body without room or too large."""
        if not self.channel.begin_serving(self):
            return
        if self.is_too_large:
            self._log_too_large(self.body_bytes)
        super().process()

    def discard_body(self) -> None:
        """Free the memory of the body."""
        self.content = io.BytesIO()  # noqa: WPS110 -- an attribute of Twisted

    def _close_if_far_too_large(self, length: int) -> None:
        if length > self._max_body_bytes * _DISCARD_FACTOR:
            self._log_too_large(length)
            self.channel.refuse(Failure(ErrorKind.TOO_LARGE, 'the body'))

    def _log_too_large(self, length: int) -> None:
        log_event(
            Event.PEER_ERROR,
            peer=getattr(self.getClientAddress(), 'host', ''),
            detail=f'request body of {length} bytes is too large',
        )


class BoundedChannel(HTTPChannel):
    """A connection that the limits of its process count.

    Attributes:
        limits: The limits.
        is_refused: Whether it is closing; whatever still arrives is ignored.
        is_serving: Whether a request was read and its response is pending.
    """

    limits: HttpLimits

    def __init__(self) -> None:
        """Start before the first request."""
        super().__init__()
        self.is_refused = False
        self.is_serving = False
        # Of a head, or of a request that follows the one being served.
        self._other_bytes = 0
        self._unparsed: list[bytes] = []

    def connectionMade(self) -> None:
        """Count the connection."""
        super().connectionMade()
        self.limits.connections.add(self)

    def connectionLost(self, reason: TwistedFailure) -> None:
        """Forget the connection and its bytes."""
        self.is_refused = True
        self.limits.connections.remove(self)
        self.limits.bodies.release(self)
        super().connectionLost(reason)

    def dataReceived(self, data: bytes) -> None:  # noqa: WPS110
        """Read a part of a request, in a later turn if this one is over."""
        if self.is_refused:
            return
        turns = self.limits.turns
        if not (self._unparsed or turns.is_over):
            turns.run(functools.partial(self._parse, data))
            return
        if not self._unparsed:
            turns.wait(self)
        self._unparsed.append(data)
        self._networkProducer.pauseProducing()
        if not self.is_serving:
            self._count_bytes()

    def read_on(self) -> None:
        """See ``Reader``."""
        unparsed = b''.join(self._unparsed)
        self._unparsed = []
        if self.is_refused:
            return
        if not (self.is_serving or self._waitingForTransport):
            self._networkProducer.resumeProducing()
        self.limits.turns.run(functools.partial(self._parse, unparsed))

    def _parse(self, data: bytes) -> None:  # noqa: WPS110
        """Parse a part and count what it leaves in memory."""
        former_bytes = self._received_bytes
        super().dataReceived(data)  # noqa: WPS613 -- called by dataReceived
        if self.is_serving or self.is_refused:
            return
        if self._received_bytes == former_bytes:
            self._other_bytes += len(data)
        self._count_bytes()

    def lineLengthExceeded(self, line: bytes) -> None:
        """Send status 431 and close; Twisted only disconnects."""
        self.transport.write(_HEADERS_TOO_LARGE)
        self.loseConnection()

    def loseConnection(self) -> None:
        """Ignore what still arrives, and close once all is written."""
        self.is_refused = True
        self.limits.bodies.release(self)
        super().loseConnection()

    def begin_serving(self, request: BoundedRequest) -> bool:
        """Count a complete request until its response is written.

        Returns:
            False if it was refused.
        """
        if not self.is_refused:
            self._count_bytes()
        if self.is_refused:
            return False
        self.is_serving = True
        self.limits.bodies.settle(self)
        return True

    def requestDone(self, request: Request) -> None:
        """Forget the bytes of a request, and read the next one."""
        self.is_serving = False
        self._other_bytes = 0
        self.limits.bodies.release(self)
        self.limits.connections.renew(self)
        super().requestDone(request)

    def refuse_body(self) -> None:
        """See ``RefusableBody``."""
        log_event(
            Event.PEER_ERROR,
            peer=getattr(self.getPeer(), 'host', ''),
            detail='request refused: too many bytes in unfinished requests',
        )
        self.refuse(Failure(ErrorKind.OVERLOADED, 'too many large bodies'))

    def refuse(self, failure: Failure) -> None:
        """Respond to an unfinished request and close the connection."""
        for request in self.requests:
            request.discard_body()
        self.transport.write(_response(failure))
        # It also aborts if the client does not read the response.
        self.timeoutConnection()

    def abort(self) -> None:
        """See ``OpenConnection``."""
        self.is_refused = True
        self.limits.bodies.release(self)
        self.transport.abortConnection()

    @property
    def _received_bytes(self) -> int:
        return self.requests[0].body_bytes if self.requests else 0

    def _count_bytes(self) -> None:
        body_bytes = self.requests[0].held_bytes if self.requests else 0
        unparsed_bytes = sum(len(part) for part in self._unparsed)
        self.limits.bodies.hold(
            self, body_bytes + self._other_bytes + unparsed_bytes
        )


def bounded_site(
    resource: Resource, max_body_bytes: int, limits: HttpLimits
) -> QuietSite:
    """Return a site that limits what clients send and parses no forms.

    Args:
        resource: Serves the requests.
        max_body_bytes: The limit of one body.
        limits: Those that the sites of the process share.
    """
    site = QuietSite(
        resource,
        functools.partial(BoundedRequest, max_body_bytes),
        parsePOSTFormSubmission=False,
    )
    site.protocol = functools.partial(_channel, limits)
    return site


def _channel(limits: HttpLimits) -> BoundedChannel:
    channel = BoundedChannel()
    channel.limits = limits
    return channel


def _response(failure: Failure) -> bytes:
    """Return a complete response that ends its connection."""
    answer = failure.answer
    body = json.dumps(failure.document).encode()
    lines = [
        b'HTTP/1.1 %d %b' % (answer.status, RESPONSES[answer.status]),
        b'content-type: application/json',
        b'content-length: %d' % len(body),
        b'connection: close',
    ]
    if failure.retry_after_s is not None:
        lines.append(b'retry-after: %d' % failure.retry_after_s)
    return b'\r\n'.join([*lines, b'', body])
