"""The entries that the table lists, and this entry's own row among them.

An entry renews ``entries/<id>``; its lease counts from before the renewal was
sent. The row is never deleted while it matters: a planned stop or a takeover
empties its incarnation instead, so that versions only grow and a commit that
was delayed on its way can never match a version that came round again.
"""

import uuid
from dataclasses import dataclass
from typing import Callable, Sequence

from result import Result

from hyssopring.clock import Clock
from hyssopring.errors import Failure
from hyssopring.protocol.messages import EntryMember
from hyssopring.store import (
    Check,
    Committed,
    Conflict,
    Document,
    Put,
    Row,
    Store,
    Transaction,
)

__all__ = ('EntryRegistry', 'ShardSettings', 'ended_entry', 'entry_key')

_ENTRIES = 'entries/'

EntriesCallback = Callable[[Sequence[Row] | None], None]


@dataclass(frozen=True, slots=True)
class ShardSettings:
    """Sizes and times of shard leases, in milliseconds.

    ``takeover_ms`` exceeds ``lease_ms`` by more than clocks of different
    rates can differ in that time (here by a third).
    """

    shards: int = 8
    lease_ms: float = 6000
    takeover_ms: float = 8000
    renew_ms: float = 1000
    forget_ms: float = 3_600_000


@dataclass(slots=True)
class _Sighting:
    version: int
    seen_at: float


def entry_key(entry_id: str) -> str:
    """Return the table key of an entry's row."""
    return _ENTRIES + entry_id


def ended_entry() -> Document:
    """Return the document of an entry that has stopped or was deposed."""
    return {'incarnation': '', 'address': '', 'configuration': 0}


def _is_registered(row: Row) -> bool:
    return bool(row.version and row.document['incarnation'])


class EntryRegistry:
    """Renews this entry's row and watches those of the others."""

    def __init__(
        self,
        clock: Clock,
        store: Store,
        own: EntryMember,
        settings: ShardSettings,
        on_deposed: Callable[[], None],
    ) -> None:
        """Take the ports; the lease begins with the first renewal."""
        self._clock = clock
        self._store = store
        self._own = own
        self._settings = settings
        self._on_deposed = on_deposed
        self._valid_until: float = 0
        self._is_released = False
        self._sighting_by_key: dict[str, _Sighting] = {}
        self.key = entry_key(own.entry_id)
        self.incarnation = uuid.uuid4().hex
        self.row_version = 0
        self.configuration_version = 0
        self.lowest_agent_version: int | None = None
        self.members: tuple[EntryMember, ...] = ()
        self.version_by_entry: dict[str, int] = {}
        self.operator_address = ''
        self.operators_by_entry: dict[str, str] = {}
        self.agent_version_by_entry: dict[str, int | None] = {}

    @property
    def is_valid(self) -> bool:
        """Whether this entry's lease is good at this moment."""
        return self._clock.now() < self._valid_until

    def is_stale(self, row: Row) -> bool:
        """Whether a row was seen unchanged for longer than its lease."""
        return self._unchanged_ms(row) > self._settings.takeover_ms

    def is_live(self, row: Row) -> bool:
        """Whether an entry renews this row."""
        return _is_registered(row) and not self.is_stale(row)

    def refresh(self, done: EntriesCallback) -> None:
        """Renew, then read all entries; ``done`` gets None on a failure."""
        sent_at = self._clock.now()
        document = {
            'incarnation': self.incarnation,
            'address': self._own.address,
            'operators': self.operator_address,
            'zone': self._own.zone,
            'configuration': self.configuration_version,
            'agents': self.lowest_agent_version,
        }
        self._store.commit(
            Transaction(
                (Check(self.key, self.row_version),),
                (Put(self.key, document),),
            ),
            lambda answer: self._renewed(sent_at, done, answer),
        )

    def release(self) -> None:
        """End the lease now; others need not wait for it."""
        self._is_released = True
        self._valid_until = 0
        self._store.commit(
            Transaction(
                (Check(self.key, self.row_version),),
                (Put(self.key, ended_entry()),),
            ),
            lambda _answer: None,
        )

    def _renewed(
        self,
        sent_at: float,
        done: EntriesCallback,
        answer: Result[Committed | Conflict, Failure],
    ) -> None:
        outcome = answer.unwrap_or(None)
        if outcome is None or self._is_released:
            done(None)
            return
        if isinstance(outcome, Conflict):
            self._adopt(outcome.row(self.key))
            done(None)
            return
        self.row_version = outcome.version_by_key[self.key]
        self._valid_until = sent_at + self._settings.lease_ms
        self._store.read(
            _ENTRIES,
            lambda rows: self._entries_read(done, rows),
        )

    def _adopt(self, row: Row | None) -> None:
        """Find out why the own row is not as it was left.

        A renewal whose answer was lost left this incarnation's own document:
        nobody deposed us. A row of another incarnation may belong to a
        process of the same id that still runs on a VM that was replaced but
        not stopped; its lease has to run out before its row is written over.
        """
        if row is None:
            return
        if _is_registered(row):
            if row.document['incarnation'] == self.incarnation:
                self.row_version = row.version
                return
        self._valid_until = 0
        self._on_deposed()
        self._note(row)
        if not _is_registered(row) or self.is_stale(row):
            self.row_version = row.version

    def _entries_read(
        self,
        done: EntriesCallback,
        answer: Result[Sequence[Row], Failure],
    ) -> None:
        if answer.is_err():
            done(None)
            return
        rows = answer.unwrap()
        for row in rows:
            self._note(row)
        registered = [row for row in rows if _is_registered(row)]
        self.members = tuple(
            EntryMember(
                row.key.removeprefix(_ENTRIES),
                row.document['address'],
                row.document['zone'],
            )
            for row in registered
            if not self.is_stale(row)
        )
        self.version_by_entry = {
            row.key.removeprefix(_ENTRIES): row.document['configuration']
            for row in registered
        }
        self.operators_by_entry = {
            row.key.removeprefix(_ENTRIES): row.document['operators']
            for row in registered
            if not self.is_stale(row)
        }
        self.agent_version_by_entry = {
            row.key.removeprefix(_ENTRIES): row.document['agents']
            for row in registered
        }
        self._forget_ended(rows)
        done(rows)

    def _note(self, row: Row) -> None:
        sighting = self._sighting_by_key.get(row.key)
        if sighting is None or sighting.version != row.version:
            seen = _Sighting(row.version, self._clock.now())
            self._sighting_by_key[row.key] = seen

    def _unchanged_ms(self, row: Row) -> float:
        sighting = self._sighting_by_key.get(row.key)
        if sighting is None or sighting.version != row.version:
            return 0
        return self._clock.now() - sighting.seen_at

    def _forget_ended(self, rows: Sequence[Row]) -> None:
        for row in rows:
            if _is_registered(row):
                continue
            if self._unchanged_ms(row) > self._settings.forget_ms:
                self._sighting_by_key.pop(row.key)
                self._store.commit(
                    Transaction(
                        (Check(row.key, row.version),),
                        (Put(row.key, None),),
                    ),
                    lambda _answer: None,
                )
