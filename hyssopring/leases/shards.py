"""Which entry plans which shard, by leases kept in the table service.

An entry renews one row, ``entries/<id>``. A shard's row names its holder and
an epoch. An entry holds its shards for as long as its own row was renewed
less than ``lease_ms`` ago, counted from before the renewal was sent. A rival
that has seen the holder's row unchanged for ``takeover_ms``, which is longer,
deletes that row in the same transaction that takes the shard, so the old
holder's next renewal fails and it knows that it was deposed.
"""

import uuid
from dataclasses import dataclass
from typing import Callable, Sequence

from result import Result

from hyssopring.clock import Clock
from hyssopring.errors import Failure
from hyssopring.logs import Event, log_event
from hyssopring.store.rows import (
    Check,
    Committed,
    Conflict,
    Put,
    Row,
    Store,
    Transaction,
)

__all__ = ('HeldShard', 'ShardHolder', 'ShardSettings', 'shard_key')

_ENTRIES = 'entries/'
_SHARDS = 'shards/'
_KEY_WIDTH = 4


@dataclass(frozen=True, slots=True)
class ShardSettings:
    """Sizes and times of shard leases, in milliseconds."""

    shards: int = 8
    lease_ms: float = 6000
    takeover_ms: float = 8000
    renew_ms: float = 1000


@dataclass(frozen=True, slots=True)
class HeldShard:
    """A shard that this entry holds, and since when."""

    shard: int
    epoch: int
    row_version: int
    acquired_at: float


@dataclass(slots=True)
class _Sighting:
    version: int
    seen_at: float


def shard_key(shard: int) -> str:
    """Return the table key of a shard's row."""
    return f'{_SHARDS}{shard:0{_KEY_WIDTH}}'


class ShardHolder:
    """Registers this entry, and acquires and keeps its share of shards."""

    def __init__(
        self,
        clock: Clock,
        store: Store,
        entry_id: str,
        inner_address: str,
        on_acquired: Callable[[HeldShard], None],
        on_lost: Callable[[int], None],
        settings: ShardSettings = ShardSettings(),
    ) -> None:
        """Take the ports; nothing is held until the table says so."""
        self._clock = clock
        self._store = store
        self._entry_id = entry_id
        self._inner_address = inner_address
        self._on_acquired = on_acquired
        self._on_lost = on_lost
        self._settings = settings
        self._incarnation = uuid.uuid4().hex
        self._row_version = 0
        self._valid_until: float = 0
        self._is_busy = False
        self._is_released = False
        self._held_by_shard: dict[int, HeldShard] = {}
        self._sighting_by_key: dict[str, _Sighting] = {}
        self._address_by_entry: dict[str, str] = {}
        self.configuration_version = 0
        self.version_by_entry: dict[str, int] = {}

    @property
    def shards(self) -> int:
        """How many shards there are in all."""
        return self._settings.shards

    @property
    def is_valid(self) -> bool:
        """Whether this entry's leases are good at this moment."""
        return self._clock.now() < self._valid_until

    @property
    def entry_addresses(self) -> tuple[str, ...]:
        """Inner addresses of the entries that the table lists."""
        return tuple(sorted(self._address_by_entry.values()))

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
        """Renew, then look for shards to take; call each ``renew_ms``."""
        if not self.is_valid and self._held_by_shard:
            self._lose_all('lease lapsed')
        if self._is_busy or self._is_released:
            return
        self._is_busy = True
        self._renew(self._clock.now())

    def release(self) -> None:
        """Give up everything at a planned stop; others need not wait."""
        self._is_released = True
        self._lose_all('released')
        self._valid_until = 0
        key = _ENTRIES + self._entry_id
        self._store.commit(
            Transaction((Check(key, self._row_version),), (Put(key, None),)),
            lambda _answer: None,
        )

    def _renew(self, sent_at: float) -> None:
        key = _ENTRIES + self._entry_id
        document = {
            'incarnation': self._incarnation,
            'address': self._inner_address,
            'configuration': self.configuration_version,
        }
        transaction = Transaction(
            (Check(key, self._row_version),),
            (Put(key, document),),
        )
        self._store.commit(
            transaction,
            lambda answer: self._renewed(key, sent_at, answer),
        )

    def _renewed(
        self,
        key: str,
        sent_at: float,
        answer: Result[Committed | Conflict, Failure],
    ) -> None:
        if answer.is_err() or self._is_released:
            self._is_busy = False
            return
        outcome = answer.unwrap()
        if isinstance(outcome, Conflict):
            # Deposed, or the row is an earlier run's: hold nothing, then
            # register afresh on top of what is there now.
            self._lose_all('deposed')
            row = outcome.row(key)
            self._row_version = row.version if row else 0
            self._is_busy = False
            return
        self._row_version = outcome.version_by_key[key]
        self._valid_until = sent_at + self._settings.lease_ms
        self._store.read(_ENTRIES, self._entries_read)

    def _entries_read(self, answer: Result[Sequence[Row], Failure]) -> None:
        if answer.is_err():
            self._is_busy = False
            return
        rows = answer.unwrap()
        self._note_entries(rows)
        self._store.read(
            _SHARDS,
            lambda shards: self._shards_read(rows, shards),
        )

    def _note_entries(self, rows: Sequence[Row]) -> None:
        now = self._clock.now()
        for row in rows:
            sighting = self._sighting_by_key.get(row.key)
            if sighting is None or sighting.version != row.version:
                self._sighting_by_key[row.key] = _Sighting(row.version, now)
        names = {row.key: row.key.removeprefix(_ENTRIES) for row in rows}
        self._address_by_entry = {
            names[row.key]: row.document['address'] for row in rows
        }
        self.version_by_entry = {
            names[row.key]: row.document['configuration'] for row in rows
        }

    def _shards_read(
        self,
        entries: Sequence[Row],
        answer: Result[Sequence[Row], Failure],
    ) -> None:
        self._is_busy = False
        if answer.is_err() or not self.is_valid:
            return
        entry_by_id = {row.key.removeprefix(_ENTRIES): row for row in entries}
        shard_by_key = {row.key: row for row in answer.unwrap()}
        live = sum(1 for row in entries if not self._is_stale(row))
        share = -(-self._settings.shards // max(live, 1))
        if len(self._held_by_shard) > share:
            self._give_away(max(self._held_by_shard), shard_by_key)
            return
        for shard in range(self._settings.shards):
            row = shard_by_key.get(shard_key(shard))
            holder = entry_by_id.get(row.document['holder']) if row else None
            if len(self._held_by_shard) >= share:
                return
            if shard not in self._held_by_shard and self._is_free(row, holder):
                self._take(shard, row, holder)
                return

    def _is_stale(self, row: Row) -> bool:
        sighting = self._sighting_by_key[row.key]
        age = self._clock.now() - sighting.seen_at
        return age > self._settings.takeover_ms

    def _is_free(self, row: Row | None, holder: Row | None) -> bool:
        if row is None or holder is None:
            return True
        if holder.document['incarnation'] != row.document['incarnation']:
            return True
        return self._is_stale(holder)

    def _give_away(self, shard: int, shard_by_key: dict[str, Row]) -> None:
        held = self._held_by_shard.pop(shard)
        self._on_lost(shard)
        log_event(Event.SHARD_LOST, shard=shard, why='sharing with others')
        key = shard_key(shard)
        document = {'holder': '', 'incarnation': '', 'epoch': held.epoch}
        self._store.commit(
            Transaction((Check(key, held.row_version),), (Put(key, document),)),
            lambda _answer: None,
        )

    def _take(self, shard: int, row: Row | None, holder: Row | None) -> None:
        key = shard_key(shard)
        epoch = (row.document['epoch'] if row else 0) + 1
        own_key = _ENTRIES + self._entry_id
        checks = [
            Check(key, row.version if row else 0),
            Check(own_key, self._row_version),
        ]
        document = {
            'holder': self._entry_id,
            'incarnation': self._incarnation,
            'epoch': epoch,
        }
        puts = [Put(key, document)]
        if holder is not None and holder.key != own_key:
            checks.append(Check(holder.key, holder.version))
            puts.append(Put(holder.key, None))
        self._is_busy = True
        self._store.commit(
            Transaction(tuple(checks), tuple(puts)),
            lambda answer: self._taken(shard, epoch, answer),
        )

    def _taken(
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
