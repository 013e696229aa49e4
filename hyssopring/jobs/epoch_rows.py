"""The rows by which an owner tells its successors of its reign."""

from dataclasses import replace
from typing import Any

from twisted.python.failure import Failure as TwistedFailure

from hyssopring.jobs.documents import RosterRow
from hyssopring.jobs.row_keys import roster_key, former_owners_key
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
    """Written with the owner's row at a takeover, and changed later.

    Attributes:
        row: Which reigns have kept to the agents' rows.
        is_complete: Whether these name all agents that may run a lasting task.
        is_void: The stored row says that they do, and they do not: no agent's
            row may be written before that is taken back.
        owes_wait: A former owner may still act, and the store says so to next
            owners until ``waited``.
    """

    def __init__(
        self,
        store: RowStore,
        shard: int,
        owner_check: RowCheck,
        row: RosterRow,
        owes_wait: bool = False,
    ) -> None:
        """Write under ``owner_check``."""
        self.row = row
        self.is_complete = row.is_complete
        self.is_void = False
        self.owes_wait = owes_wait
        self._store = store
        self._shard = shard
        self._check = owner_check
        self._is_clearing = False
        self._is_saying = False

    def complete(self) -> None:
        """The rows name all agents that may run a lasting task."""
        if not self.is_complete:
            self._say(is_complete=True)

    def void(self) -> None:
        """A row cannot be read: it may have named any task."""
        self.is_void = self.is_void or self.is_complete
        self.is_complete = False
        if self.is_void:
            self._say(is_complete=False)

    def _say(self, is_complete: bool) -> None:
        if self._is_saying:
            return
        self._is_saying = True
        row = replace(self.row, is_complete=is_complete)
        put = RowPut(roster_key(self._shard), row.to_text())
        saying = self._store.commit(Transaction((self._check,), (put,)))
        saying.addCallbacks(
            self._said,
            _retried,
            callbackArgs=(is_complete,),
        )
        saying.addBoth(self._saying_settled)

    def waited(self) -> None:
        """No former owner acts any more: next owners need not wait for it."""
        if not self.owes_wait or self._is_clearing:
            return
        self._is_clearing = True
        place = former_owners_key(self._shard)
        clearing = self._store.commit(Transaction((self._check,), (), (place,)))
        clearing.addCallbacks(self._cleared, _retried)
        clearing.addBoth(self._clearing_settled)

    def _said(
        self,
        outcome: Committed | Conflict,
        is_complete: bool,
    ) -> None:
        if isinstance(outcome, Committed):
            self.is_complete = is_complete
            self.is_void = False

    def _saying_settled(self, _done: Any) -> None:
        self._is_saying = False

    def _cleared(self, outcome: Committed | Conflict) -> None:
        self.owes_wait = not isinstance(outcome, Committed)

    def _clearing_settled(self, _done: Any) -> None:
        self._is_clearing = False


def _retried(failure: TwistedFailure) -> None:
    """The next turn tries again."""
    failure.trap(StoreRefused, StoreUncertain)
