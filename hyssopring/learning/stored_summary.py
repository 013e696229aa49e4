"""The row of a shard that holds the summary of what its owners learned."""

from typing import Any

from hyssopring.jobs.row_keys import learned_key
from hyssopring.jobs.rows import RowCheck, RowPut, RowStore, Transaction

__all__ = ('StoredSummary',)


class StoredSummary:
    """Reads and writes the row under one epoch.

    Each write checks the owner row, so that an owner that has lost the shard
    does not replace the summary of its successor. A write without a response
    may be applied after a newer one of the same owner; it is then seconds old
    until the next write.
    """

    def __init__(
        self, store: RowStore, shard: int, owner_check: RowCheck
    ) -> None:
        """Create the row's access; nothing is read yet."""
        self._store = store
        self._row_key = learned_key(shard)
        self._owner_check = owner_check

    def read(self) -> Any:
        """Return a deferred ``Row``, or None if there is none."""
        return self._store.read_one(self._row_key)

    def write(self, text: str) -> Any:
        """Return a deferred ``Committed`` or ``Conflict``."""
        put = RowPut(self._row_key, text)
        return self._store.commit(Transaction((self._owner_check,), (put,)))
