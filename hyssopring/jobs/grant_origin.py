"""From when an owner's grants count, and the row that tells the next owner.

An owner that hears neither the store nor any other entry does not know whether
it still is the owner. Its successor cannot tell it from a lost one, and has to
wait until its grants have expired. Grants therefore count from the last time at
which the owner was known to be the only one, so that the wait is short: from
the last write of the row, or the last time at which each entry that the row
lists had not taken the shard.
"""

from typing import Callable, Final

from twisted.python.failure import Failure as TwistedFailure

from hyssopring.clock import Clock
from hyssopring.jobs.documents import WitnessRow
from hyssopring.jobs.former_owner import AcquiredShard
from hyssopring.jobs.row_keys import witness_key
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
from hyssopring.jobs.store_clock import StoreClock
from hyssopring.jobs.times import ENTRY_HEARTBEAT_MS
from hyssopring.jobs.witnesses import Witnesses, WitnessProcess

__all__ = ('GrantOrigin', 'VouchedAt')

_RETRY_MS: Final = 200.0
_OVERDUE_MS: Final = 3 * ENTRY_HEARTBEAT_MS

VouchedAt = Callable[[WitnessProcess, int], float]


class GrantOrigin:
    """Writes the ``WitnessRow`` of one shard each second.

    Attributes:
        on_confirmed: Called with the time at which a write was sent that has
            shown this owner.
        on_conflict: Called when another entry seems to have the shard.
    """

    def __init__(
        self,
        clock: Clock,
        store: RowStore,
        acquired: AcquiredShard,
        owner_check: RowCheck,
        store_clock: StoreClock,
        on_renewed: Callable[[], None],
    ) -> None:
        """Start from the takeover, which has removed the row.

        Args:
            on_renewed: Called after the first write in a long time: grants
                last longer again.
        """
        self._on_renewed = on_renewed
        self.on_confirmed: Callable[[float], None] = _ignore
        self.on_conflict: Callable[[], None] = _do_nothing
        self._clock = clock
        self._store = store
        self._shard = acquired.shard
        self._epoch = acquired.epoch
        self._owner_check = owner_check
        self._store_clock = store_clock
        self._version = 0
        self._confirmed_at = acquired.confirmed_at
        self._origin_at = acquired.confirmed_at
        self._next_write_at = clock.now()
        self._is_writing = False
        # Those that the stored row lists, and those that it may list after a
        # write without a response.
        self._possible: frozenset[WitnessProcess] = frozenset()

    def origin_at(self, vouched_at: VouchedAt) -> float:
        """Return from when a grant that is sent now counts.

        Args:
            vouched_at: See ``Witnesses``.
        """
        if not self._possible:
            # The next owner waits until this one's authority has ended, too.
            return self._clock.now()
        self._origin_at = max(
            self._origin_at,
            min(vouched_at(process, self._shard) for process in self._possible),
        )
        return self._origin_at

    def write(self, witnesses: Witnesses) -> None:
        """Write the row if that is due; call regularly."""
        now_ms = self._clock.now()
        if (
            self._is_writing
            or now_ms < self._next_write_at
            or not self._store_clock.is_known
        ):
            return
        self._is_writing = True
        self._next_write_at = now_ms + ENTRY_HEARTBEAT_MS
        processes = witnesses.processes
        self._possible = self._possible.union(processes)
        row = WitnessRow(
            self._epoch,
            self._store_clock.latest_reading(now_ms),
            tuple(sorted(process.entry_id for process in processes)),
        )
        row_key = witness_key(self._shard)
        # The check of its version keeps a delayed write from replacing a
        # newer row.
        deferred = self._store.commit(
            Transaction(
                (self._owner_check, RowCheck(row_key, self._version)),
                (RowPut(row_key, row.to_text()),),
            ),
        )
        deferred.addCallbacks(
            self._on_outcome,
            self._on_failed,
            callbackArgs=(processes, now_ms),
        )

    def _on_outcome(
        self,
        outcome: Committed | Conflict,
        processes: frozenset[WitnessProcess],
        sent_at: float,
    ) -> None:
        self._is_writing = False
        if isinstance(outcome, Committed):
            is_overdue = sent_at - self._confirmed_at > _OVERDUE_MS
            self._version = outcome.version
            self._confirmed_at = sent_at
            self._origin_at = max(self._origin_at, sent_at)
            self._possible = processes
            self.on_confirmed(sent_at)
            if is_overdue:
                self._on_renewed()
            return
        version_by_key = {each.row_key: each.version for each in outcome.rows}
        self._version = version_by_key.get(witness_key(self._shard), 0)
        owner_version = version_by_key.get(self._owner_check.row_key)
        if owner_version == self._owner_check.version:
            self._next_write_at = self._clock.now()
        else:
            self.on_conflict()

    def _on_failed(self, failure: TwistedFailure) -> None:
        failure.trap(StoreRefused, StoreUncertain)
        self._is_writing = False
        self._next_write_at = self._clock.now() + _RETRY_MS


def _ignore(_sent_at: float) -> None:
    """Do nothing; the default of a callback."""


def _do_nothing() -> None:
    """Do nothing; the default of a callback."""
