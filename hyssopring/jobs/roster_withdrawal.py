"""Withdrawal of an agent that leaves from the shards' rosters."""

from typing import Any, Final

from twisted.internet.defer import inlineCallbacks

from hyssopring.clock import Clock
from hyssopring.jobs.documents import FormerOwnersRow, OwnerRow
from hyssopring.jobs.row_keys import (
    OWNERS_TABLE,
    agent_key,
    former_owners_key,
    owner_key,
    part_of,
)
from hyssopring.jobs.rows import (
    Committed,
    Page,
    Row,
    RowCheck,
    RowStore,
    StoreRefused,
    StoreUncertain,
    Transaction,
)
from hyssopring.jobs.shards import SHARD_COUNT

__all__ = ('RosterWithdrawal',)

# Owners remove rows every 0.2 s.
_READ_INTERVAL_MS: Final = 250.0


class RosterWithdrawal:
    """Waits until no roster lists an agent on whose worker nothing runs.

    Owners remove the row of an agent that leaves. The agent removes it from
    the roster of a shard that has been released and not been taken since.

    Attributes:
        is_unlisted: Whether no roster lists it any more, so that no next owner
            waits for it.
    """

    def __init__(self, clock: Clock, store: RowStore, agent_id: str) -> None:
        """Read nothing before the first ``tick``."""
        self._clock = clock
        self._store = store
        self._agent_id = agent_id
        self._is_reading = False
        self._next_read_at = clock.now()
        self.is_unlisted = False

    def tick(self) -> None:
        """Read the rows if needed; call a few times a second.

        Call it only while nothing runs on the worker, and no start is accepted.
        """
        now_ms = self._clock.now()
        if self._is_reading or now_ms < self._next_read_at:
            return
        self._is_reading = True
        self._next_read_at = now_ms + _READ_INTERVAL_MS
        self._check().addBoth(self._finish_reading)

    @inlineCallbacks
    def _check(self) -> Any:
        """Look for rows in all shards; a failed call is repeated later."""
        is_unlisted = True
        for shard in range(SHARD_COUNT):
            try:
                is_listed = yield self._is_listed(shard)
            except (StoreRefused, StoreUncertain):
                return
            is_unlisted = is_unlisted and not is_listed
        self.is_unlisted = is_unlisted

    @inlineCallbacks
    def _is_listed(self, shard: int) -> Any:
        """Return whether a shard's roster lists the agent after this check."""
        row = yield self._store.read_one(agent_key(shard, self._agent_id))
        if row is None:
            return False
        page = yield self._store.read(OWNERS_TABLE, part_of(shard))
        owner_check = _check_of_released(shard, page)
        if owner_check is None:
            return True
        outcome = yield self._store.commit(_removal(owner_check, row))
        return not isinstance(outcome, Committed)

    def _finish_reading(self, _done: Any) -> None:
        self._is_reading = False


def _check_of_released(shard: int, page: Page) -> RowCheck | None:
    """Return the check that a shard is still released, None if it is not.

    A former owner that may act can start tasks on the agent's next process,
    which only the row tells the next owner.
    """
    row_by_key = {row.row_key: row for row in page.rows}
    owner_row = row_by_key.get(owner_key(shard))
    if owner_row is None or OwnerRow.from_row(owner_row).entry_id:
        return None
    former_row = row_by_key.get(former_owners_key(shard))
    if former_row is not None and FormerOwnersRow.from_row(former_row).reigns:
        return None
    return RowCheck(owner_row.row_key, owner_row.version)


def _removal(owner_check: RowCheck, row: Row) -> Transaction:
    """Return the removal of a row; it conflicts once the shard is taken."""
    row_check = RowCheck(row.row_key, row.version)
    return Transaction((owner_check, row_check), (), (row.row_key,))
