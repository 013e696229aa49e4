"""Counts the start orders that an agent has received from each entry."""

from dataclasses import dataclass, field
from typing import Final

__all__ = ('ReceivedStarts',)

# Connections of an entry whose counts are kept: the current one, and recent
# ones whose messages may still be unread.
_MAX_CONNECTIONS: Final = 4


@dataclass(slots=True)
class _Counts:
    """Received starts by connection ID, and the current connection's ID."""

    connection: str = ''
    count_by_connection: dict[str, int] = field(default_factory=dict)


class ReceivedStarts:
    """Counts received starts per connection.

    An entry treats an attempt as ended if its start was counted and the report
    does not list it. An agent that was suspended may read starts of an earlier
    connection after the next one was opened. If they counted for the new
    connection, the entry would treat running attempts as ended and start them
    again.
    """

    def __init__(self) -> None:
        """Begin without any connection."""
        self._counts_by_entry: dict[str, _Counts] = {}

    def set_connection(self, entry_id: str, connection: str) -> None:
        """Set an entry's current connection; ignore starts on others.

        Counts are kept, so that a connection continues from its own count
        after a delayed message of an earlier connection.
        """
        counts = self._counts_by_entry.setdefault(entry_id, _Counts())
        counts.connection = connection
        counts.count_by_connection.setdefault(connection, 0)
        while len(counts.count_by_connection) > _MAX_CONNECTIONS:
            counts.count_by_connection.pop(
                next(iter(counts.count_by_connection))
            )

    def record(self, entry_id: str, connection: str) -> bool:
        """Count a start; return False for one of another connection."""
        if not connection or connection != self.connection(entry_id):
            return False
        self._counts_by_entry[entry_id].count_by_connection[connection] += 1
        return True

    def count(self, entry_id: str) -> int:
        """Return the number of starts received on the current connection."""
        counts = self._counts_by_entry.get(entry_id)
        return counts.count_by_connection[counts.connection] if counts else 0

    def connection(self, entry_id: str) -> str:
        """Return the entry's ID of its current connection, empty for none."""
        counts = self._counts_by_entry.get(entry_id)
        return counts.connection if counts else ''
