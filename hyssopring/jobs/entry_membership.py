"""Which entries live, and which shards this one owns.

Each entry renews a row of its own. One whose row stays unchanged while the
store answers is taken for dead, and another entry takes its shards by a
transaction on the shard's owner row. What an entry does as an owner is
checked against that row, so an entry that was wrongly taken for dead can
write nothing more.
"""

from dataclasses import replace
from typing import Any, Callable, Final

from twisted.python.failure import Failure as TwistedFailure

from hyssopring.clock import Clock
from hyssopring.jobs.documents import (
    EntryRow,
    FormerOwnerProcess,
    OwnerRow,
    MalformedRowError,
)
from hyssopring.jobs.former_owner import AcquiredShard
from hyssopring.jobs.peer_entries import PeerEntries
from hyssopring.jobs.row_keys import (
    ENTRIES_TABLE,
    OWNERS_TABLE,
    owner_key,
    part_of,
    roster_key,
)
from hyssopring.jobs.rows import (
    Committed,
    Conflict,
    Page,
    Row,
    RowCheck,
    RowKey,
    RowPut,
    RowStore,
    StoreRefused,
    StoreUncertain,
    Transaction,
)
from hyssopring.jobs.shards import SHARD_COUNT
from hyssopring.jobs.takeover import Takeover
from hyssopring.jobs.times import OWNER_LEASE_MS, ENTRY_SILENT_MS, RENEW_MS

__all__ = ('EntryMembership',)

# How long an entry leaves a free shard to each one that comes before it: each
# looks once in ``RENEW_MS``, and its transaction takes some time.
_PRECEDENCE_MS: Final = 1.5 * RENEW_MS

# An entry gives its shards to one with this many times its processor time,
# but not more often than this: a handover stops planning for up to a second.
_MUCH_STRONGER: Final = 1.5
_YIELD_EACH_MS: Final = 30_000.0


class EntryMembership:
    """Renews this entry's row and watches the others'."""

    def __init__(
        self,
        reactor: Any,
        clock: Clock,
        store: RowStore,
        entry_id: str,
        incarnation: str,
        address: str,
        cores: float = 0,
    ) -> None:
        """Set the callbacks before ``tick`` is first called."""
        self._cores = cores
        self._reactor = reactor
        self._clock = clock
        self._store = store
        self._entry_id = entry_id
        self._incarnation = incarnation
        self._address = address
        self._renewed_at: float | None = None
        self._peers = PeerEntries(clock, entry_id)
        self.is_dead: Callable[[FormerOwnerProcess], bool] = self._peers.is_dead
        # The version of this entry's row, 0 while there is none.
        self._version = 0
        self._is_renewing = False
        self._is_stale = False
        self._taking: set[int] = set()
        self._free_since: dict[int, float] = {}
        # When an owner row was first read of whose entry nothing is known.
        self._missing_since: dict[int, float] = {}
        # When an owner row was first read whose owner is over: an agent that
        # ends after that had no later orders of it.
        self._over_since: dict[int, float] = {}
        self._is_stopping = False
        self.owned: Callable[[], tuple[int, ...]] = tuple
        self.on_acquired: Callable[[AcquiredShard], None] = _ignore
        self.on_entries: Callable[[], None] = _nothing
        self.on_yield: Callable[[], None] = _nothing
        self._yields_at = clock.now()

    @property
    def incarnation(self) -> str:
        """The name of this process among all that this entry ever was."""
        return self._incarnation

    @property
    def may_act(self) -> bool:
        """Whether the last renewal is young enough to act as an owner."""
        if self._renewed_at is None:
            return False
        return self._clock.now() - self._renewed_at < OWNER_LEASE_MS

    @property
    def is_store_reachable(self) -> bool:
        """Whether the store has answered this entry of late."""
        if self._renewed_at is None:
            return False
        return self._clock.now() - self._renewed_at < 2 * RENEW_MS

    @property
    def addresses(self) -> dict[str, str]:
        """Addresses of all entries that live, by id; not this one's."""
        return self._peers.addresses

    def owner_of(self, shard: int) -> str:
        """Return the id of the entry that said last that it owns a shard."""
        return self._peers.owner_of(shard)

    def tick(self) -> None:
        """Renew and look at the others; call each ``RENEW_MS``."""
        self.renew()
        reading = self._store.read(ENTRIES_TABLE, '')
        reading.addCallbacks(self._entries_read, self._failed)
        reading.addErrback(self._failed)

    def stop(self) -> None:
        """Take no shard any more."""
        self._is_stopping = True

    def release(self, shard: int, version: int, reign: int) -> Any:
        """Give a shard up, so that another entry need not wait."""
        place = owner_key(shard)
        released = OwnerRow('', '', reign)
        releasing = self._store.commit(
            Transaction(
                (RowCheck(place, version),),
                (RowPut(place, released.to_text()),),
            ),
        )
        releasing.addErrback(self._failed)
        return releasing

    def renew(self) -> None:
        """Show that this entry lives, and which shards it owns."""
        if self._is_renewing:
            # What is under way may say that this entry owns what it does not.
            self._is_stale = True
            return
        self._is_renewing = True
        self._is_stale = False
        sent_at = self._clock.now()
        row = EntryRow(
            self._address,
            self._incarnation,
            self.owned(),
            # Those that stop take no shard, and must not come first for one.
            0 if self._is_stopping else self._cores,
        )
        # A renewal that is carried out late must not follow one of the next
        # process of this entry: that one would be taken for replaced.
        place = RowKey(ENTRIES_TABLE, '', self._entry_id)
        renewing = self._store.commit(
            Transaction(
                (RowCheck(place, self._version),),
                (RowPut(place, row.to_text()),),
            ),
        )
        renewing.addCallbacks(
            self._renewed,
            self._renewal_failed,
            callbackArgs=(sent_at,),
        )

    def _renewed(self, outcome: Committed | Conflict, sent_at: float) -> None:
        self._is_renewing = False
        if isinstance(outcome, Conflict):
            # A call without an answer, or a former process, has written.
            self._version = max(
                (row.version for row in outcome.rows), default=0
            )
            self.renew()
            return
        self._version = outcome.version
        is_first = self._renewed_at is None
        self._renewed_at = sent_at
        if is_first:
            # Shards are contended for only now. Left to the next turn, all
            # work would wait a second longer after a restart of all entries.
            self.tick()
        if self._is_stale:
            self.renew()

    def _renewal_failed(self, failure: TwistedFailure) -> None:
        self._is_renewing = False
        self._failed(failure)

    def _failed(self, failure: TwistedFailure) -> None:
        """The store's client logs when the store is lost and regained."""
        failure.trap(StoreRefused, StoreUncertain, MalformedRowError)

    def _entries_read(self, page: Page) -> None:
        now = self._clock.now()
        for row in self._peers.read(page.rows):
            self._forget(row)
        self.on_entries()
        if not self._is_stopping:
            self._yield_to_stronger(now)
            self._contend(now)

    def _forget(self, row: Row) -> None:
        """Remove the row of an entry that is long gone."""
        removing = self._store.commit(
            Transaction(
                (RowCheck(row.row_key, row.version),), (), (row.row_key,)
            ),
        )
        removing.addErrback(self._failed)

    def _contend(self, now: float) -> None:
        """Look at shards that no live entry says to own."""
        if self._renewed_at is None:
            # Until this process has written its row, others can't tell it
            # from a former one: what it took would be taken from it.
            return
        for shard in range(SHARD_COUNT):
            if shard in self.owned() or self._peers.owner_of(shard):
                self._free_since.pop(shard, None)
            elif shard not in self._taking:
                self._free_since.setdefault(shard, now)
                self._taking.add(shard)
                self._take(shard)

    def _rank(self, shard: int) -> int:
        """How many live entries come before this one for a shard.

        Those with more processor time come first: a planner that has too
        little for all agents is silent to them while it looks alive.
        """
        cores_by_entry = self._peers.live_cores()
        cores_by_entry[self._entry_id] = self._cores
        ranked = sorted(
            cores_by_entry,
            key=lambda entry_id: (-cores_by_entry[entry_id], entry_id),
        )
        place = ranked.index(self._entry_id)
        return (place - shard) % len(ranked)

    def _yield_to_stronger(self, now: float) -> None:
        """Give shards up for an entry that has far more processor time."""
        strongest = max(self._peers.live_cores().values(), default=0)
        is_weak = strongest > _MUCH_STRONGER * self._cores
        if is_weak and self.owned() and now > self._yields_at:
            self._yields_at = now + _YIELD_EACH_MS
            self.on_yield()

    def _take(self, shard: int) -> None:
        reading = self._store.read_one(owner_key(shard))
        reading.addCallback(self._owner_read, shard)
        reading.addErrback(self._failed)
        reading.addBoth(lambda _done: self._taking.discard(shard))

    def _is_owner_live(self, former: OwnerRow, version: int) -> bool:
        """Whether the entry in an owner row may still be at work.

        A process of this entry's name that came before this one is dead.
        """
        entry_id = former.entry_id
        if not entry_id or entry_id == self._entry_id:
            return False
        is_live = self._peers.is_owner_live(former, version)
        if is_live is not None:
            return is_live
        now = self._clock.now()
        since = self._missing_since.setdefault(version, now)
        return now - since < ENTRY_SILENT_MS

    def _is_next(self, shard: int, former: OwnerRow | None) -> bool:
        """Whether it is this entry's turn to take a free shard.

        A restarted owner knows best that the former one is dead.
        """
        if former is not None and former.entry_id == self._entry_id:
            if former.incarnation != self._incarnation:
                return True
        free_ms = self._clock.now() - self._free_since[shard]
        return free_ms >= self._rank(shard) * _PRECEDENCE_MS

    def _owner_read(self, row: Row | None, shard: int) -> Any:
        former = OwnerRow.from_row(row) if row else None
        version = row.version if row else 0
        if former is not None and self._is_owner_live(former, version):
            return None
        reading = self._store.read(
            OWNERS_TABLE, part_of(shard), roster_key(shard).key
        )
        return reading.addCallback(self._rows_read, shard, row)

    def _rows_read(self, page: Page, shard: int, row: Row | None) -> Any:
        takeover = Takeover.from_page(shard, row, page)
        silent = takeover.silent(self.is_dead)
        if silent is None:
            self._over_since.setdefault(takeover.version, self._clock.now())
        if not self._is_next(shard, takeover.former):
            return None
        in_doubt = takeover.in_doubt(self.is_dead)
        owner = OwnerRow(self._entry_id, self._incarnation, takeover.reign)
        sent_at = self._clock.now()
        taking = self._store.commit(takeover.transaction(owner, in_doubt))
        taken = AcquiredShard(
            shard,
            takeover.reign,
            version=0,
            acquired_at=sent_at,
            in_doubt=in_doubt,
            confirmed_at=sent_at,
            former=silent,
            over_since=self._over_since.get(takeover.version),
            roster=takeover.next_roster,
        )
        return taking.addCallback(self._taken, taken)

    def _taken(self, outcome: object, taken: AcquiredShard) -> None:
        if not isinstance(outcome, Committed) or self._is_stopping:
            return
        self._free_since.pop(taken.shard, None)
        self.on_acquired(
            replace(
                taken,
                version=outcome.version,
                acquired_at=self._clock.now(),
            ),
        )
        self.renew()


def _nothing() -> None:
    """No owner is set yet."""


def _ignore(_taken: AcquiredShard) -> None:
    """No owner is set yet."""
