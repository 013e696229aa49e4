"""How many starts an agent has taken of each entry."""

from dataclasses import dataclass

__all__ = ('TakenOrders',)


@dataclass(slots=True)
class _Count:
    """Starts taken on one connection, by the entry's name for it."""

    connection: str = ''
    orders: int = 0


class TakenOrders:
    """Counts starts by connection, as both ends of it understand the count.

    An entry takes a start that was counted and is not listed for over. Starts
    of an earlier connection may be read after the next one was made, as by an
    agent that wakes from a freeze: counted among those of the new connection
    they made the entry take running attempts for over, and start them again.
    """

    def __init__(self) -> None:
        """Know no connection."""
        self._by_entry: dict[str, _Count] = {}

    def begin(self, entry_id: str, connection: str) -> None:
        """An entry names its connection; its starts on others are void."""
        if connection != self.connection(entry_id):
            self._by_entry[entry_id] = _Count(connection)

    def take(self, entry_id: str, connection: str) -> bool:
        """Count a start; False if it is of another connection, and void."""
        known = self._by_entry.get(entry_id)
        if known is None or known.connection != connection:
            return False
        known.orders += 1
        return True

    def count(self, entry_id: str) -> int:
        """How many starts of an entry were taken on ``connection``."""
        known = self._by_entry.get(entry_id)
        return known.orders if known else 0

    def connection(self, entry_id: str) -> str:
        """The entry's name for its newest connection, empty for none."""
        known = self._by_entry.get(entry_id)
        return known.connection if known else ''
