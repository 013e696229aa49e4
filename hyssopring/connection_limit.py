"""A limit on the open connections of the sites of one process."""

from typing import Protocol

__all__ = ('ConnectionLimit', 'OpenConnection')


class OpenConnection(Protocol):
    """A connection of a client.

    Attributes:
        is_serving: Whether a request was read and its response is pending.
    """

    is_serving: bool

    def abort(self) -> None:
        """Close the connection at once."""


class ConnectionLimit:
    """Closes a connection to make room for a new one.

    It is the one whose last complete request, or whose start, is the longest
    ago. Bytes of an incomplete request do not count, as a client may send them
    one by one.

    Attributes:
        closed_count: How many connections were closed.
    """

    def __init__(self, max_connections: int) -> None:
        """Start without connections."""
        self.closed_count = 0
        self._max_connections = max_connections
        # In the order of their last complete requests.
        self._connections: dict[OpenConnection, None] = {}

    def __len__(self) -> int:
        """Return the number of open connections."""
        return len(self._connections)

    def add(self, connection: OpenConnection) -> None:
        """Count a new connection."""
        self._connections[connection] = None
        if len(self._connections) > self._max_connections:
            self._close_one()

    def renew(self, connection: OpenConnection) -> None:
        """Record that a request of the connection is complete."""
        self.remove(connection)
        self._connections[connection] = None

    def remove(self, connection: OpenConnection) -> None:
        """Forget a connection that was lost."""
        self._connections.pop(connection, None)

    def _close_one(self) -> None:
        """Close a connection that serves no request; the new one is such."""
        idle = next(
            connection
            for connection in self._connections
            if not connection.is_serving
        )
        self._connections.pop(idle)
        self.closed_count += 1
        idle.abort()
