"""How many starts an agent has taken of each entry."""

from dataclasses import dataclass, field
from typing import Final

__all__ = ('ReceivedStarts',)

# Names of connections whose counts are kept; one is in use, and what was sent
# on the last few may still be read.
_KEPT: Final = 4


@dataclass(slots=True)
class _Counts:
    """Starts taken, by the entry's name for the connection."""

    connection: str = ''
    by_connection: dict[str, int] = field(default_factory=dict)


class ReceivedStarts:
    """Counts starts by connection, as both ends of it understand the count.

    An entry takes a start that was counted and is not listed for over. Starts
    of an earlier connection may be read after the next one was made, as by an
    agent that wakes from a freeze: counted among those of the new connection
    they made the entry take running attempts for over, and start them again.
    """

    def __init__(self) -> None:
        """Know no connection."""
        self._by_entry: dict[str, _Counts] = {}

    def begin(self, entry_id: str, connection: str) -> None:
        """An entry names its connection; its starts on others are void.

        A name that comes back, as a late question of an earlier connection
        came between, goes on from its own count.
        """
        counts = self._by_entry.setdefault(entry_id, _Counts())
        counts.connection = connection
        counts.by_connection.setdefault(connection, 0)
        while len(counts.by_connection) > _KEPT:
            counts.by_connection.pop(next(iter(counts.by_connection)))

    def record(self, entry_id: str, connection: str) -> bool:
        """Count a start; False if it is of another connection, and void."""
        if not connection or connection != self.connection(entry_id):
            return False
        self._by_entry[entry_id].by_connection[connection] += 1
        return True

    def count(self, entry_id: str) -> int:
        """How many starts of an entry were taken on ``connection``."""
        counts = self._by_entry.get(entry_id)
        return counts.by_connection[counts.connection] if counts else 0

    def connection(self, entry_id: str) -> str:
        """The entry's name for its newest connection, empty for none."""
        counts = self._by_entry.get(entry_id)
        return counts.connection if counts else ''
