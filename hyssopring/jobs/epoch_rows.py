"""Rows of a shard that describe its epochs to the next owners."""

from dataclasses import replace
from typing import Any

from twisted.python.failure import Failure as TwistedFailure

from hyssopring.jobs.documents import RosterRow
from hyssopring.jobs.row_keys import former_owners_key, roster_key
from hyssopring.jobs.rows import (
    Committed,
    Conflict,
    RowCheck,
    RowPut,
    RowStore,
    StoreRefused,
    StoreUncertain,
    Transaction,
)

__all__ = ('EpochRows',)


class EpochRows:
    """The roster row and the row of former owners that may still act.

    Both are written with the owner row at a takeover, and changed later.

    Attributes:
        row: The epochs whose owners have maintained the agents' rows.
        is_complete: Whether the agents' rows name all agents that may run a
            keeper's task.
        must_write_incomplete: Whether the stored row is wrongly marked
            complete. No agent's row may be written before it is marked
            incomplete.
        has_wait_row: Whether the row of former owners is stored, so that the
            next owner waits for them.
    """

    def __init__(
        self,
        store: RowStore,
        shard: int,
        owner_check: RowCheck,
        row: RosterRow,
        has_wait_row: bool = False,
    ) -> None:
        """Create the rows; writes are restricted by ``owner_check``."""
        self.row = row
        self.is_complete = row.is_complete
        self.must_write_incomplete = False
        self.has_wait_row = has_wait_row
        self._store = store
        self._shard = shard
        self._check = owner_check
        self._is_clearing = False
        self._is_writing = False

    def mark_complete(self) -> None:
        """Record that the agents' rows are complete."""
        if not self.is_complete:
            self._write_completeness(is_complete=True)

    def invalidate(self) -> None:
        """Record that the agents' rows are incomplete.

        A malformed agent's row may have listed any task.
        """
        self.must_write_incomplete = (
            self.must_write_incomplete or self.is_complete
        )
        self.is_complete = False
        if self.must_write_incomplete:
            self._write_completeness(is_complete=False)

    def _write_completeness(self, is_complete: bool) -> None:
        if self._is_writing:
            return
        self._is_writing = True
        row = replace(self.row, is_complete=is_complete)
        put = RowPut(roster_key(self._shard), row.to_text())
        deferred = self._store.commit(Transaction((self._check,), (put,)))
        deferred.addCallbacks(
            self._on_written,
            _ignore_store_failure,
            callbackArgs=(is_complete,),
        )
        deferred.addBoth(self._finish_writing)

    def clear_wait(self) -> None:
        """Remove the row of former owners, as none of them acts any more."""
        if not self.has_wait_row or self._is_clearing:
            return
        self._is_clearing = True
        row_key = former_owners_key(self._shard)
        deferred = self._store.commit(
            Transaction((self._check,), (), (row_key,))
        )
        deferred.addCallbacks(self._on_cleared, _ignore_store_failure)
        deferred.addBoth(self._finish_clearing)

    def _on_written(
        self,
        outcome: Committed | Conflict,
        is_complete: bool,
    ) -> None:
        if isinstance(outcome, Committed):
            self.is_complete = is_complete
            self.must_write_incomplete = False

    def _finish_writing(self, _done: Any) -> None:
        self._is_writing = False

    def _on_cleared(self, outcome: Committed | Conflict) -> None:
        self.has_wait_row = not isinstance(outcome, Committed)

    def _finish_clearing(self, _done: Any) -> None:
        self._is_clearing = False


def _ignore_store_failure(failure: TwistedFailure) -> None:
    """Ignore a failed write; the next call retries."""
    failure.trap(StoreRefused, StoreUncertain)
