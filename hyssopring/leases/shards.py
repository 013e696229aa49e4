"""Assignment of shards to entries by leases in the table service.

A shard's row names its holder, the holder's incarnation and an epoch. An
entry holds its shards while its own row was renewed less than ``lease_ms``
ago, counted from before the renewal was sent. Another entry that has seen the
holder's row unchanged for the longer ``takeover_ms`` may take the shard. The
same transaction ends the holder's row, so that the holder's next renewal
fails and it learns that it has lost its shards.
"""

from dataclasses import dataclass, replace
from typing import Annotated, Callable, Final, Mapping, Sequence

from pydantic import BaseModel, ConfigDict, Field, ValidationError
from result import Result

from hyssopring.clock import Clock
from hyssopring.errors import Failure
from hyssopring.leases.registry import (
    EntryRegistry,
    ShardSettings,
    ended_entry,
    entry_key,
)
from hyssopring.logs import Event, log_event
from hyssopring.numbers import MAX_EXACT_INTEGER
from hyssopring.protocol.messages import EntryMember
from hyssopring.store import (
    Check,
    Committed,
    Conflict,
    Put,
    Row,
    Store,
    Transaction,
)

__all__ = ('HeldShard', 'ShardHolder', 'ShardSettings', 'shard_key')

_SHARDS = 'shards/'
_KEY_DIGITS = 4
# No entry has this id or incarnation.
_UNKNOWN: Final = '?'


@dataclass(frozen=True, slots=True)
class HeldShard:
    """A shard that this entry holds.

    Attributes:
        acquired_at: When it was taken, in ms of this process's clock.
    """

    shard: int
    epoch: int
    row_version: int
    acquired_at: float


class _Shard(BaseModel):
    """The document of a shard's row."""

    model_config = ConfigDict(strict=True)

    holder: str
    incarnation: str
    epoch: Annotated[int, Field(ge=0, le=MAX_EXACT_INTEGER)]


def shard_key(shard: int) -> str:
    """Return the table key of a shard's row."""
    return f'{_SHARDS}{shard:0{_KEY_DIGITS}}'


class ShardHolder:
    """Registers this entry, and acquires and renews its share of shards.

    A shard is taken by a commit that names this entry in the shard's row. It
    is given up in these ways:

    - given away: this entry has more than its share; the row is cleared;
    - handed back: the row names this process, which does not hold the shard
      and has its share already; the row is cleared;
    - dropped: its rows were changed by another writer; the shard's row stays;
    - released, with all others, at a planned stop: this entry's own row ends;
    - lost, with all others: the lease expired or was taken over.
    """

    def __init__(
        self,
        clock: Clock,
        store: Store,
        own: EntryMember,
        on_acquired: Callable[[HeldShard], None],
        on_lost: Callable[[int], None],
        settings: ShardSettings = ShardSettings(),
    ) -> None:
        """Start without shards; ``poll`` acquires them."""
        self._clock = clock
        self._store = store
        self._entry_id = own.entry_id
        self._on_acquired = on_acquired
        self._on_lost = on_lost
        self._settings = settings
        self._is_busy = False
        self._is_released = False
        self._holders: tuple[str, ...] = ()
        self._held_by_shard: dict[int, HeldShard] = {}
        self._registry = EntryRegistry(
            clock,
            store,
            own,
            settings,
            lambda: self._lose_all('deposed'),
        )

    @property
    def shards(self) -> int:
        """Total number of shards."""
        return self._settings.shards

    @property
    def is_valid(self) -> bool:
        """Whether this entry's leases are valid now."""
        return self._registry.is_valid

    @property
    def registry(self) -> EntryRegistry:
        """The entries listed in the table, with their published state."""
        return self._registry

    @property
    def holders(self) -> tuple[str, ...]:
        """The id of each shard's holder, as last read; empty if unknown."""
        return self._holders

    def held(self) -> list[HeldShard]:
        """Return the shards held with a valid lease."""
        if not self.is_valid:
            return []
        return [
            self._held_by_shard[shard] for shard in sorted(self._held_by_shard)
        ]

    def get(self, shard: int) -> HeldShard | None:
        """Return a shard if it is held with a valid lease."""
        return self._held_by_shard.get(shard) if self.is_valid else None

    def poll(self) -> None:
        """Renew, then take or give up a shard; call every ``renew_ms``."""
        if not self.is_valid and self._held_by_shard:
            self._lose_all('lease expired')
        if self._is_busy or self._is_released:
            return
        self._is_busy = True
        self._registry.refresh(self._on_refreshed)

    def drop(self, shard: int, why: str) -> None:
        """Give up a shard whose rows another writer has changed.

        Otherwise the entry would renew leases for tasks that its plan does
        not contain. The shard's row still names this entry, so a later poll
        takes the shard again.
        """
        if self._held_by_shard.pop(shard, None) is not None:
            log_event(Event.SHARD_LOST, shard=shard, why=why)
            self._on_lost(shard)

    def release(self) -> None:
        """Give up all shards at a planned stop, for immediate takeover."""
        self._is_released = True
        self._lose_all('released')
        self._registry.release()

    def _on_refreshed(self, entries: Sequence[Row] | None) -> None:
        if entries is None or self._is_released:
            self._is_busy = False
            return
        self._store.read(
            _SHARDS,
            lambda shards: self._on_shards_read(entries, shards),
        )

    def _on_shards_read(
        self,
        entries: Sequence[Row],
        answer: Result[Sequence[Row], Failure],
    ) -> None:
        self._is_busy = False
        if answer.is_err() or not self.is_valid or self._is_released:
            return
        row_by_key = {row.key: self._checked(row) for row in answer.unwrap()}
        self._drop_unknown(row_by_key)
        self._holders = tuple(
            _holder_id(row_by_key.get(shard_key(shard)))
            for shard in range(self._settings.shards)
        )
        live_count = sum(self._registry.is_live(row) for row in entries)
        share = -(-self._settings.shards // max(live_count, 1))
        if len(self._held_by_shard) > share:
            self._give_away(max(self._held_by_shard))
            return
        may_take_more = len(self._held_by_shard) < share
        entry_by_key = {row.key: row for row in entries}
        for shard in range(self._settings.shards):
            row = row_by_key.get(shard_key(shard))
            holder = _holder(row, entry_by_key)
            if self._take_or_hand_back(shard, row, holder, may_take_more):
                return

    def _checked(self, row: Row) -> Row:
        """Return a shard's row; a malformed one names an unknown holder.

        Its epoch is the row's version, which is at least as high as that of
        any former holder: each took the shard by a write.
        """
        try:
            _Shard.model_validate(row.document)
        except ValidationError:
            self._registry.record_malformed(row)
            unknown = _Shard(
                holder=_UNKNOWN, incarnation=_UNKNOWN, epoch=row.version
            )
            return replace(row, document=unknown.model_dump())
        return row

    def _drop_unknown(self, row_by_key: Mapping[str, Row]) -> None:
        """Give up held shards whose rows another writer has overwritten."""
        for shard in sorted(self._held_by_shard):
            row = row_by_key.get(shard_key(shard))
            if row is not None and row.document['holder'] == _UNKNOWN:
                self.drop(shard, 'malformed row')

    def _take_or_hand_back(
        self,
        shard: int,
        row: Row | None,
        holder: Row | None,
        may_take_more: bool,
    ) -> bool:
        """Take a shard or hand it back if due; return whether it did.

        Each poll does at most one step.
        """
        if shard in self._held_by_shard:
            return False
        if may_take_more and self._is_free(row, holder):
            self._take(shard, row, holder)
            return True
        if row is None or not self._is_own(row):
            return False
        self._hand_back(shard, row.document['epoch'], row.version)
        return True

    def _is_own(self, row: Row) -> bool:
        """Whether a shard's row names this process.

        If this process does not hold the shard, the response to taking or
        handing it back was lost, or the lease expired in an outage and no other
        entry took over. No other entry may take the shard while this entry's
        row is renewed, so it would have no planner.
        """
        return bool(row.document['incarnation'] == self._registry.incarnation)

    def _is_free(self, row: Row | None, holder: Row | None) -> bool:
        """Whether the lease of a shard's holder has certainly ended.

        An entry's row is overwritten only after its lease has ended, so a
        holder with another incarnation holds nothing. As the entries were
        read before the shards, the holder may have registered in between;
        the transaction that takes the shard checks that the holder's row has
        not changed since it was read. An unknown holder finds in the meantime
        that its row was overwritten.
        """
        if row is None or holder is None or self._is_own(row):
            return True
        if row.document['holder'] == _UNKNOWN:
            return self._registry.is_stale(row)
        return not self._registry.may_hold(holder, row.document['incarnation'])

    def _give_away(self, shard: int) -> None:
        held = self._held_by_shard.pop(shard)
        self._on_lost(shard)
        log_event(Event.SHARD_LOST, shard=shard, why='rebalancing')
        self._hand_back(shard, held.epoch, held.row_version)

    def _hand_back(self, shard: int, epoch: int, version: int) -> None:
        key = shard_key(shard)
        document = {'holder': '', 'incarnation': '', 'epoch': epoch}
        self._store.commit(
            Transaction((Check(key, version),), (Put(key, document),)),
            lambda _answer: None,
        )

    def _take(self, shard: int, row: Row | None, holder: Row | None) -> None:
        key = shard_key(shard)
        own_key = self._registry.key
        epoch = (row.document['epoch'] if row else 0) + 1
        checks = [
            Check(key, row.version if row else 0),
            Check(own_key, self._registry.row_version),
        ]
        document = {
            'holder': self._entry_id,
            'incarnation': self._registry.incarnation,
            'epoch': epoch,
        }
        puts = [Put(key, document)]
        if holder is not None and holder.key != own_key:
            checks.append(Check(holder.key, holder.version))
            if holder.version and self._registry.is_stale(holder):
                puts.append(Put(holder.key, ended_entry()))
        self._is_busy = True
        self._store.commit(
            Transaction(tuple(checks), tuple(puts)),
            lambda answer: self._on_taken(shard, epoch, answer),
        )

    def _on_taken(
        self,
        shard: int,
        epoch: int,
        answer: Result[Committed | Conflict, Failure],
    ) -> None:
        self._is_busy = False
        if answer.is_err() or self._is_released:
            return
        outcome = answer.unwrap()
        if isinstance(outcome, Conflict) or not self.is_valid:
            return
        version = outcome.version_by_key[shard_key(shard)]
        held = HeldShard(shard, epoch, version, self._clock.now())
        self._held_by_shard[shard] = held
        log_event(Event.SHARD_ACQUIRED, shard=shard, epoch=epoch)
        self._on_acquired(held)

    def _lose_all(self, why: str) -> None:
        for shard in sorted(self._held_by_shard):
            self._held_by_shard.pop(shard)
            log_event(Event.SHARD_LOST, shard=shard, why=why)
            self._on_lost(shard)


def _holder_id(row: Row | None) -> str:
    return str(row.document['holder']) if row else ''


def _holder(row: Row | None, entry_by_key: Mapping[str, Row]) -> Row | None:
    """Return the entry row of a shard's holder, or None without a holder.

    A holder whose row does not exist gets a row with version 0.
    """
    if row is None or not row.document['holder']:
        return None
    key = entry_key(row.document['holder'])
    return entry_by_key.get(key) or Row(key, 0, '', {})
