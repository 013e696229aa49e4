"""Limits on connections whose peers have not said who they are."""

from typing import Final

from hyssopring.connection_limit import ConnectionLimit
from hyssopring.protocol.frames import MAX_FRAME_BYTES, FramedConnection

__all__ = ('MAX_GREETING_BYTES', 'MAX_UNKNOWN_PEERS', 'UnknownPeers')

MAX_GREETING_BYTES: Final = 65_536
MAX_UNKNOWN_PEERS: Final = 512


class UnknownPeers:
    """Connections before their greeting.

    Each can use ``MAX_GREETING_BYTES`` of memory. For one more than allowed,
    the oldest is closed; its peer dials again.
    """

    def __init__(self, max_connections: int) -> None:
        """Start without connections."""
        self._limit = ConnectionLimit(max_connections)

    def add(self, connection: FramedConnection) -> None:
        """Count a connection that was accepted."""
        connection.MAX_LENGTH = MAX_GREETING_BYTES
        self._limit.add(connection)

    def admit(self, connection: FramedConnection) -> None:
        """Allow long frames to a peer that is known now."""
        connection.MAX_LENGTH = MAX_FRAME_BYTES
        self._limit.remove(connection)

    def remove(self, connection: FramedConnection) -> None:
        """Forget a closed connection."""
        self._limit.remove(connection)
