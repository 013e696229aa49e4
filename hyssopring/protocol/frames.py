"""One framed connection between two processes (Twisted shell)."""

from dataclasses import dataclass
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
    """Bytes on all inner connections of a process, frames' lengths included."""

    bytes_sent: int = 0
    bytes_received: int = 0


@dataclass(frozen=True, slots=True)
class Codec:
    """How messages become frames; ``decode`` raises ``ProtocolError``."""

    encode: Callable[[Any], bytes]
    decode: Callable[[bytes], Any]


class FramedConnection(Int32StringReceiver):
    """Receives and sends whole messages; owns its socket.

    The owner is told of each message, of a broken peer and of the end.
    """

    MAX_LENGTH = MAX_FRAME_BYTES

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
        """Take the owner's callbacks, and where it counts its bytes."""
        self._codec = codec
        self._clock = clock
        self._on_open = on_open
        self._on_message = on_message
        self._on_error = on_error
        self._on_close = on_close
        self._is_broken = False
        self.last_heard = clock.now()
        self._traffic = traffic or Traffic()

    def connectionMade(self) -> None:
        """Turn off delayed sending, then tell the owner."""
        self.transport.setTcpNoDelay(True)
        self.last_heard = self._clock.now()
        self._on_open(self)

    def dataReceived(self, data: bytes) -> None:  # noqa: WPS110
        """Note that the peer is alive, then split the bytes into frames."""
        self.last_heard = self._clock.now()
        self._traffic.bytes_received += len(data)
        super().dataReceived(data)

    def stringReceived(self, string: bytes) -> None:
        """Decode one frame; a frame that does not decode ends the peer."""
        if self._is_broken:
            return
        try:
            message = self._codec.decode(string)
        except ProtocolError as error:
            self._break(str(error))
            return
        self._on_message(self, message)

    def lengthLimitExceeded(self, length: int) -> None:
        """Refuse a frame longer than the protocol allows."""
        self._break(f'a frame of {length} bytes is too long')

    def connectionLost(self, reason: TwistedFailure = connectionDone) -> None:
        """Tell the owner that the connection is gone."""
        self._on_close(self)

    def _break(self, detail: str) -> None:
        # What follows a broken frame in the same read is not to be trusted.
        self._is_broken = True
        self._on_error(self, detail)

    def send(self, message: Any) -> None:
        """Write one message."""
        payload = self._codec.encode(message)
        self._traffic.bytes_sent += len(payload) + _LENGTH_PREFIX_BYTES
        self.sendString(payload)

    def close(self) -> None:
        """Close after what was written has been sent."""
        self.transport.loseConnection()

    def abort(self) -> None:
        """Drop the connection at once, also when the peer is silent."""
        self.transport.abortConnection()
