"""Framed connection between two processes, on Twisted."""

from collections import Counter
from dataclasses import dataclass, field
from typing import Any, Callable, Final

from twisted.internet.protocol import connectionDone
from twisted.protocols.basic import Int32StringReceiver
from twisted.python.failure import Failure as TwistedFailure

from hyssopring.clock import Clock
from hyssopring.protocol.structs import ProtocolError

__all__ = ('MAX_FRAME_BYTES', 'Codec', 'FramedConnection', 'Traffic')

MAX_FRAME_BYTES: Final = 9 * 1024 * 1024

_LENGTH_PREFIX_BYTES = 4


@dataclass(slots=True)
class Traffic:
    """Traffic on all internal connections of a process.

    Attributes:
        bytes_sent: Includes length prefixes.
        bytes_received: Includes length prefixes.
        sent_by_kind: Number of messages by the name of their class.
        received_by_kind: Number of messages by the name of their class.
    """

    bytes_sent: int = 0
    bytes_received: int = 0
    sent_by_kind: Counter[str] = field(default_factory=Counter)
    received_by_kind: Counter[str] = field(default_factory=Counter)


@dataclass(frozen=True, slots=True)
class Codec:
    """Conversion of messages to frames and back.

    Attributes:
        encode: Returns the payload of a message.
        decode: Returns the message of a payload; raises ``ProtocolError``.
    """

    encode: Callable[[Any], bytes]
    decode: Callable[[bytes], Any]


class FramedConnection(Int32StringReceiver):
    """A connection that sends and receives messages in frames.

    Callbacks report that it opened, each message, a protocol error of the peer
    and that it closed.

    Attributes:
        last_received_at: Time in ms at which bytes last arrived.
        is_serving: See ``OpenConnection``.
    """

    MAX_LENGTH = MAX_FRAME_BYTES
    is_serving = False

    def __init__(
        self,
        codec: Codec,
        clock: Clock,
        on_open: Callable[['FramedConnection'], None],
        on_message: Callable[['FramedConnection', Any], None],
        on_error: Callable[['FramedConnection', str], None],
        on_close: Callable[['FramedConnection'], None],
        traffic: Traffic | None = None,
    ) -> None:
        """Initialize the connection.

        Args:
            codec: Converts messages to frames and back.
            clock: Gives the time of the last bytes.
            on_open: Called once connected.
            on_message: Called with each message.
            on_error: Called with the detail of a protocol error; frames after
                it are ignored.
            on_close: Called once disconnected.
            traffic: Byte counters to update.
        """
        self._codec = codec
        self._clock = clock
        self._on_open = on_open
        self._on_message = on_message
        self._on_error = on_error
        self._on_close = on_close
        self._is_broken = False
        self.last_received_at = clock.now()
        self._traffic = traffic or Traffic()

    def connectionMade(self) -> None:
        """Disable Nagle's algorithm and call ``on_open``."""
        self.transport.setTcpNoDelay(True)
        self.last_received_at = self._clock.now()
        self._on_open(self)

    def dataReceived(self, data: bytes) -> None:  # noqa: WPS110
        """Record the time and the number of bytes, then split frames."""
        self.last_received_at = self._clock.now()
        self._traffic.bytes_received += len(data)
        super().dataReceived(data)

    def stringReceived(self, string: bytes) -> None:
        """Decode one frame; report an invalid one as a protocol error."""
        if self._is_broken:
            return
        try:
            message = self._codec.decode(string)
        except ProtocolError as error:
            self._fail(str(error))
            return
        self._traffic.received_by_kind[type(message).__name__] += 1
        self._on_message(self, message)

    def lengthLimitExceeded(self, length: int) -> None:
        """Report a frame longer than ``MAX_FRAME_BYTES``."""
        self._fail(f'a frame of {length} bytes is too long')

    def connectionLost(self, reason: TwistedFailure = connectionDone) -> None:
        """Call ``on_close``."""
        self._on_close(self)

    def _fail(self, detail: str) -> None:
        # Frames after an invalid one in the same read must be ignored.
        self._is_broken = True
        self._on_error(self, detail)

    def send(self, message: Any) -> None:
        """Send one message."""
        payload = self._codec.encode(message)
        self._traffic.bytes_sent += len(payload) + _LENGTH_PREFIX_BYTES
        self._traffic.sent_by_kind[type(message).__name__] += 1
        self.sendString(payload)

    def close(self) -> None:
        """Close after all written bytes have been sent."""
        self.transport.loseConnection()

    def abort(self) -> None:
        """Close at once, without waiting for the peer."""
        self.transport.abortConnection()
