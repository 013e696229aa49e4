"""Membership of this entry, and takeover of shards from dead entries.

Each entry renews a row of its own. An entry whose row stays unchanged while
the store responds is considered dead, and another entry takes its shards by
a transaction on the shard's owner row. All writes of an owner check that row,
so an entry that was wrongly considered dead cannot write any more.
"""

from dataclasses import replace
from typing import Any, Callable, Final

from twisted.python.failure import Failure as TwistedFailure

from hyssopring.clock import MILLIS_PER_SECOND, Clock
from hyssopring.jobs.documents import (
    EntryRow,
    FormerOwnerProcess,
    MalformedRowError,
    OwnerRow,
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
from hyssopring.jobs.store_clock import StoreClock
from hyssopring.jobs.takeover import Takeover
from hyssopring.jobs.takeover_claims import TakeoverClaims
from hyssopring.jobs.times import (
    ENTRY_HEARTBEAT_MS,
    ENTRY_TIMEOUT_MS,
    GRANT_EXPIRY_MS,
    OWNER_LEASE_MS,
)

__all__ = ('EntryMembership',)

# The delay per rank before an entry takes a free shard: the entries before it
# check for free shards every ``ENTRY_HEARTBEAT_MS``, and their transactions
# take time.
_RANK_DELAY_MS: Final = 1.5 * ENTRY_HEARTBEAT_MS

# An entry releases its shards to one with this many times its cores.
# Releases are limited, as a handover stops planning for up to a second.
_RELEASE_CORES_RATIO: Final = 1.5
_RELEASE_INTERVAL_MS: Final = 30_000.0
# When free shards are looked for after an owner has told of a release: its two
# writes take a few ms each, and the second time is for a slow store.
_RELEASED_CHECKS_S: Final = (30 / MILLIS_PER_SECOND, 150 / MILLIS_PER_SECOND)
# The pause before a release that the store has not confirmed is sent again.
_RELEASE_RETRY_S: Final = 200 / MILLIS_PER_SECOND


class EntryMembership:
    """Renews this entry's row, and takes the shards of dead entries.

    Attributes:
        owned: Returns the shards that this entry owns.
        is_dead: Whether a former owner's process has surely ended.
        on_acquired: Called with each shard that was taken.
        on_entries: Called after the rows of the entries were read.
        on_release_requested: Called to release all shards to a stronger
            entry.
        claims: What this entry tells owners of its takeovers.
    """

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
        """Create a member; set the callbacks before the first ``tick``."""
        self._cores = cores
        self._reactor = reactor
        self._clock = clock
        self._store = store
        self._entry_id = entry_id
        self._incarnation = incarnation
        self._address = address
        self._renewed_at: float | None = None
        self._peers = PeerEntries(clock, entry_id)
        self.claims = TakeoverClaims(clock)
        self.is_dead: Callable[[FormerOwnerProcess], bool] = (
            self._peers.is_replaced
        )
        # The version of this entry's row, 0 for none.
        self._version = 0
        self._is_renewing = False
        self._must_renew_again = False
        self._pending_takeovers: set[int] = set()
        self._free_since: dict[int, float] = {}
        # By owner row version: when it was first read while nothing is known
        # of its entry.
        self._unknown_owner_since: dict[int, float] = {}
        # By owner row version: when its owner and all earlier ones were first
        # known to have ended. An agent that leaves after that received no later
        # orders of them.
        self._former_ended_at: dict[int, float] = {}
        self._is_stopping = False
        self.owned: Callable[[], tuple[int, ...]] = tuple
        self.on_acquired: Callable[[AcquiredShard], None] = _ignore_shard
        self.on_entries: Callable[[], None] = _do_nothing
        self.on_release_requested: Callable[[], None] = _do_nothing
        self._next_release_at = clock.now()

    @property
    def incarnation(self) -> str:
        """The id of this process among all processes of this entry."""
        return self._incarnation

    @property
    def may_act(self) -> bool:
        """Whether the last renewal is recent enough to act as an owner."""
        if self._renewed_at is None:
            return False
        return self._clock.now() - self._renewed_at < OWNER_LEASE_MS

    @property
    def is_store_reachable(self) -> bool:
        """Whether the store has responded to this entry recently."""
        if self._renewed_at is None:
            return False
        return self._clock.now() - self._renewed_at < 2 * ENTRY_HEARTBEAT_MS

    @property
    def addresses(self) -> dict[str, str]:
        """The addresses of the other live entries by id."""
        return self._peers.addresses

    def owner_of(self, shard: int) -> str:
        """Return the id of the entry that claimed a shard last, or ''."""
        return self._peers.owner_of(shard)

    def tick(self) -> None:
        """Renew the row and read the others' each ``ENTRY_HEARTBEAT_MS``."""
        self.renew()
        deferred = self._store.read(ENTRIES_TABLE, '')
        deferred.addCallbacks(self._on_entry_rows, _ignore_store_failure)
        deferred.addErrback(_ignore_store_failure)

    def on_shard_released(self) -> None:
        """Look for free shards soon, as another entry has released one.

        Without it, the shard is without an owner until the next tick.
        """
        for delay_s in _RELEASED_CHECKS_S:
            self._reactor.callLater(delay_s, self.tick)

    def stop(self) -> None:
        """Stop taking shards."""
        self._is_stopping = True

    def release(self, shard: int, version: int, epoch: int) -> None:
        """Release a shard, so that another entry can take it at once.

        Until the store has confirmed it, a stopping process counts as the live
        owner. A repeated release conflicts with the next owner's row.
        """
        row_key = owner_key(shard)
        released = OwnerRow('', '', epoch)
        deferred = self._store.commit(
            Transaction(
                (RowCheck(row_key, version),),
                (RowPut(row_key, released.to_text()),),
            ),
        )
        deferred.addErrback(self._retry_release, shard, version, epoch)

    def renew(self) -> None:
        """Write this entry's row with the shards that it owns."""
        if self._is_renewing:
            # The write in flight may list other shards; write again after it.
            self._must_renew_again = True
            return
        self._is_renewing = True
        self._must_renew_again = False
        sent_at = self._clock.now()
        row = EntryRow(
            self._address,
            self._incarnation,
            self.owned(),
            # A stopping entry takes no shard and must not rank first.
            0 if self._is_stopping else self._cores,
        )
        # The check keeps a delayed renewal from overwriting the row of this
        # entry's next process, which would then be considered replaced.
        row_key = RowKey(ENTRIES_TABLE, '', self._entry_id)
        deferred = self._store.commit(
            Transaction(
                (RowCheck(row_key, self._version),),
                (RowPut(row_key, row.to_text()),),
            ),
        )
        deferred.addCallbacks(
            self._on_renewed,
            self._on_renewal_failed,
            callbackArgs=(sent_at,),
        )

    def _on_renewed(
        self, outcome: Committed | Conflict, sent_at: float
    ) -> None:
        self._is_renewing = False
        if isinstance(outcome, Conflict):
            # A call without a response, or a former process, wrote the row.
            self._version = max(
                (row.version for row in outcome.rows), default=0
            )
            self.renew()
            return
        self._version = outcome.version
        is_first = self._renewed_at is None
        self._renewed_at = sent_at
        if is_first:
            # Shards are taken only after the first renewal. Waiting for the
            # next tick would delay all work by a second after a restart of
            # all entries.
            self.tick()
        if self._must_renew_again:
            self.renew()

    def _on_renewal_failed(self, failure: TwistedFailure) -> None:
        self._is_renewing = False
        _ignore_store_failure(failure)

    def _retry_release(
        self, failure: TwistedFailure, shard: int, version: int, epoch: int
    ) -> None:
        _ignore_store_failure(failure)
        self._reactor.callLater(
            _RELEASE_RETRY_S, self.release, shard, version, epoch
        )

    def _on_entry_rows(self, page: Page) -> None:
        now_ms = self._clock.now()
        for row in self._peers.update(page.rows):
            self._remove_dead_row(row)
        self.on_entries()
        if not self._is_stopping:
            self._release_to_stronger(now_ms)
            self._take_free_shards(now_ms)

    def _remove_dead_row(self, row: Row) -> None:
        """Remove the row of an entry that has been dead for a long time."""
        deferred = self._store.commit(
            Transaction(
                (RowCheck(row.row_key, row.version),), (), (row.row_key,)
            ),
        )
        deferred.addErrback(_ignore_store_failure)

    def _take_free_shards(self, now_ms: float) -> None:
        """Start takeovers of the shards that no live entry claims."""
        if self._renewed_at is None:
            # Before its first renewal other entries cannot tell this process
            # from the former one and would take its shards away again.
            return
        for shard in range(SHARD_COUNT):
            if shard in self.owned() or self._peers.owner_of(shard):
                self._free_since.pop(shard, None)
            elif shard not in self._pending_takeovers:
                self._free_since.setdefault(shard, now_ms)
                self._pending_takeovers.add(shard)
                self._start_takeover(shard)

    def _rank(self, shard: int) -> int:
        """Return how many live entries precede this one for a shard.

        Entries with more cores come first: an overloaded planner
        stops sending grants to agents while its own row is still renewed.
        """
        cores_by_entry = self._peers.live_cores_by_entry()
        cores_by_entry[self._entry_id] = self._cores
        ranked = sorted(
            cores_by_entry,
            key=lambda entry_id: (-cores_by_entry[entry_id], entry_id),
        )
        position = ranked.index(self._entry_id)
        return (position - shard) % len(ranked)

    def _release_to_stronger(self, now_ms: float) -> None:
        """Release all shards if an entry has far more cores."""
        strongest = max(self._peers.live_cores_by_entry().values(), default=0)
        is_weak = strongest > _RELEASE_CORES_RATIO * self._cores
        if is_weak and self.owned() and now_ms > self._next_release_at:
            self._next_release_at = now_ms + _RELEASE_INTERVAL_MS
            self.on_release_requested()

    def _start_takeover(self, shard: int) -> None:
        deferred = self._store.read_one(owner_key(shard))
        deferred.addCallback(self._on_owner_row, shard)
        deferred.addErrback(_ignore_store_failure)
        deferred.addBoth(lambda _done: self._pending_takeovers.discard(shard))

    def _is_owner_live(self, former: OwnerRow, version: int) -> bool:
        """Whether the process in an owner row may still act as the owner.

        Former processes of this entry are dead.
        """
        entry_id = former.entry_id
        if not entry_id or entry_id == self._entry_id:
            return False
        is_live = self._peers.is_owner_live(former, version)
        if is_live is not None:
            return is_live
        now_ms = self._clock.now()
        since = self._unknown_owner_since.setdefault(version, now_ms)
        return now_ms - since < ENTRY_TIMEOUT_MS

    def _is_first_in_line(self, shard: int, former: OwnerRow | None) -> bool:
        """Whether this entry may take a free shard now.

        A restarted owner need not wait for other entries: its own former
        process is certainly dead.
        """
        if former is not None and former.entry_id == self._entry_id:
            if former.incarnation != self._incarnation:
                return True
        free_ms = self._clock.now() - self._free_since[shard]
        return free_ms >= self._rank(shard) * _RANK_DELAY_MS

    def _on_owner_row(self, row: Row | None, shard: int) -> Any:
        former = OwnerRow.from_row(row) if row else None
        version = row.version if row else 0
        if former is not None and self._is_owner_live(former, version):
            return None
        store_clock = StoreClock(self._clock)
        sent_at = self._clock.now()
        deferred = self._store.read(
            OWNERS_TABLE, part_of(shard), roster_key(shard).key
        )
        return deferred.addCallback(
            self._on_shard_rows, shard, row, store_clock, sent_at
        )

    def _on_shard_rows(
        self,
        page: Page,
        shard: int,
        row: Row | None,
        store_clock: StoreClock,
        read_sent_at: float,
    ) -> Any:
        store_clock.update(page.read_ms, read_sent_at)
        takeover = Takeover.from_page(shard, row, page)
        unconfirmed = takeover.unconfirmed_owners(self.is_dead)
        if not unconfirmed:
            self._former_ended_at.setdefault(
                takeover.version, self._clock.now()
            )
        if self._is_stopping or not self._is_first_in_line(
            shard, takeover.former
        ):
            return None
        owner = OwnerRow(self._entry_id, self._incarnation, takeover.epoch)
        sent_at = self._clock.now()
        # No owner may go on by a response that is sent after this.
        self.claims.begin(shard)
        origin_at = takeover.grants_origin_at(
            self._entry_id, unconfirmed, store_clock, self.claims.responded_at
        )
        deferred = self._store.commit(takeover.transaction(owner, unconfirmed))
        acquired = AcquiredShard(
            shard,
            takeover.epoch,
            version=0,
            acquired_at=sent_at,
            unconfirmed=unconfirmed,
            confirmed_at=sent_at,
            former=takeover.unconfirmed_owner(self.is_dead),
            former_ended_at=self._former_ended_at.get(takeover.version),
            roster=takeover.next_roster,
            expires_at=(
                None if origin_at is None else origin_at + GRANT_EXPIRY_MS
            ),
        )
        deferred.addCallback(self._on_takeover, acquired)
        return deferred.addBoth(self.claims.end, shard)

    def _on_takeover(self, outcome: object, acquired: AcquiredShard) -> None:
        if not isinstance(outcome, Committed):
            return
        if self._is_stopping:
            # The stop came while the transaction was in flight.
            self.release(acquired.shard, outcome.version, acquired.epoch)
            return
        self._free_since.pop(acquired.shard, None)
        self.on_acquired(
            replace(
                acquired,
                version=outcome.version,
                acquired_at=self._clock.now(),
            ),
        )
        self.renew()


def _ignore_store_failure(failure: TwistedFailure) -> None:
    """Ignore a failed call; the store's client logs outages."""
    failure.trap(StoreRefused, StoreUncertain, MalformedRowError)


def _do_nothing() -> None:
    """Do nothing; the default of a callback."""


def _ignore_shard(_acquired: AcquiredShard) -> None:
    """Do nothing; the default of a callback."""
