"""Registration of this entry in the table, and the other entries listed there.

An entry renews the row ``entries/<id>``; its lease counts from before the
renewal was sent. A row in use is never deleted: a planned stop or a takeover
clears its incarnation instead. Versions therefore only grow, and a delayed
commit can never match a version that was used again.
"""

import uuid
from dataclasses import dataclass
from typing import Callable, Sequence

from pydantic import BaseModel, ConfigDict, ValidationError
from result import Result

from hyssopring.clock import Clock
from hyssopring.errors import Failure
from hyssopring.logs import Event, log_event
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
    """Number of shards, and times of their leases in ms.

    Attributes:
        shards: Number of shards.
        lease_ms: Validity of a lease after a renewal was sent.
        takeover_ms: Time without a renewal after which another entry may take
            the shards. Longer than ``lease_ms`` by more than clocks can
            drift in that time (here by a third).
        renew_ms: Interval between renewals.
        forget_ms: Age at which the row of an ended entry is deleted.
    """

    shards: int = 8
    lease_ms: float = 6000
    takeover_ms: float = 8000
    renew_ms: float = 1000
    forget_ms: float = 3_600_000


class _Entry(BaseModel):
    """The document of an entry's row."""

    model_config = ConfigDict(strict=True)

    incarnation: str
    address: str
    configuration: int
    operators: str = ''
    zone: str = ''
    agents: int | None = None


@dataclass(slots=True)
class _FirstRead:
    """When a row was first read at its current version."""

    version: int
    read_at: float


def entry_key(entry_id: str) -> str:
    """Return the table key of an entry's row."""
    return _ENTRIES + entry_id


def ended_entry() -> Document:
    """Return the document of an entry that has stopped or lost its lease."""
    return {'incarnation': '', 'address': '', 'configuration': 0}


def _parse(row: Row) -> _Entry | None:
    """Parse an entry's row; return None for one of another writer."""
    try:
        return _Entry.model_validate(row.document)
    except ValidationError:
        return None


def _registered(row: Row) -> _Entry | None:
    """Return the document of a registered entry; None names no entry."""
    entry = _parse(row) if row.version else None
    return entry if entry is not None and entry.incarnation else None


class EntryRegistry:
    """Renews this entry's row and tracks the rows of the others.

    Attributes:
        configuration_version: Configuration version that this entry has.
        lowest_agent_version: Lowest configuration version of its agents.
        members: The live entries.
        version_by_entry: Configuration version of each registered entry.
        operators_by_entry: Operator address of each live entry.
        agent_version_by_entry: Lowest configuration version of the agents of
            each registered entry.
    """

    def __init__(
        self,
        clock: Clock,
        store: Store,
        own: EntryMember,
        settings: ShardSettings,
        on_deposed: Callable[[], None],
    ) -> None:
        """Start without a lease; the first renewal starts it.

        Args:
            clock: The process's clock.
            store: The table service.
            own: This entry, as listed in its row.
            settings: Times of the leases.
            on_deposed: Called when a renewal finds that this entry's row was
                ended or deleted, or names another incarnation.
        """
        self._clock = clock
        self._store = store
        self._own = own
        self._settings = settings
        self._on_deposed = on_deposed
        self._valid_until: float = 0
        self._is_released = False
        self._first_read_by_key: dict[str, _FirstRead] = {}
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
        """Whether this entry's lease is valid now."""
        return self._clock.now() < self._valid_until

    def is_stale(self, row: Row) -> bool:
        """Whether a row has not changed for longer than ``takeover_ms``."""
        return self._unchanged_ms(row) > self._settings.takeover_ms

    def is_live(self, row: Row) -> bool:
        """Whether the row's entry is registered and renews the row."""
        return _registered(row) is not None and not self.is_stale(row)

    def may_hold(self, row: Row, incarnation: str) -> bool:
        """Whether a row's entry may still hold what this incarnation took.

        An entry whose row another writer has overwritten finds that at its
        next renewal; until its lease must have ended, it may hold it.
        """
        if self.is_stale(row):
            return False
        entry = _registered(row)
        if entry is None:
            return row.version > 0 and _parse(row) is None
        return entry.incarnation == incarnation

    def record_malformed(self, row: Row) -> None:
        """Log a row of another writer, once for each version."""
        first_read = self._first_read_by_key.get(row.key)
        if first_read is None or first_read.version != row.version:
            self._record_first_read(row)
            log_event(Event.PEER_ERROR, peer=row.key, detail='malformed row')

    def refresh(self, on_entries: EntriesCallback) -> None:
        """Renew this entry's row, then read all entries.

        Args:
            on_entries: Called with the rows, or with None on a failure.
        """
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
            lambda answer: self._on_renewed(sent_at, on_entries, answer),
        )

    def release(self) -> None:
        """End the lease now, so that others need not wait for its expiry."""
        self._is_released = True
        self._valid_until = 0
        self._store.commit(
            Transaction(
                (Check(self.key, self.row_version),),
                (Put(self.key, ended_entry()),),
            ),
            lambda _answer: None,
        )

    def _on_renewed(
        self,
        sent_at: float,
        on_entries: EntriesCallback,
        answer: Result[Committed | Conflict, Failure],
    ) -> None:
        outcome = answer.unwrap_or(None)
        if outcome is None or self._is_released:
            on_entries(None)
            return
        if isinstance(outcome, Conflict):
            self._handle_conflict(outcome.row(self.key))
            on_entries(None)
            return
        self.row_version = outcome.version_by_key[self.key]
        self._valid_until = sent_at + self._settings.lease_ms
        self._store.read(
            _ENTRIES,
            lambda rows: self._on_entries_read(on_entries, rows),
        )

    def _handle_conflict(self, row: Row | None) -> None:
        """Handle a renewal that conflicted with this entry's stored row.

        If the row names this incarnation, the response to an earlier renewal
        was lost and the lease is still this entry's. A row of another
        incarnation may belong to a process of the same id that still runs on
        a VM that was replaced but not stopped; its lease must expire before
        its row is overwritten.
        """
        if row is None:
            # The row is not in conflict.
            return
        entry = _registered(row)
        if entry is not None and entry.incarnation == self.incarnation:
            self.row_version = row.version
            return
        self._valid_until = 0
        self._on_deposed()
        self._record_first_read(row)
        if entry is None or self.is_stale(row):
            self.row_version = row.version

    def _on_entries_read(
        self,
        on_entries: EntriesCallback,
        answer: Result[Sequence[Row], Failure],
    ) -> None:
        if answer.is_err():
            on_entries(None)
            return
        rows = answer.unwrap()
        for row in rows:
            if _parse(row) is None:
                self.record_malformed(row)
            self._record_first_read(row)
        entry_by_id = {
            row.key.removeprefix(_ENTRIES): entry
            for row in rows
            if (entry := _registered(row)) is not None
        }
        live_ids = [
            row.key.removeprefix(_ENTRIES) for row in rows if self.is_live(row)
        ]
        self.members = tuple(
            EntryMember(
                entry_id,
                entry_by_id[entry_id].address,
                entry_by_id[entry_id].zone,
            )
            for entry_id in live_ids
        )
        self.operators_by_entry = {
            entry_id: entry_by_id[entry_id].operators for entry_id in live_ids
        }
        self.version_by_entry = {
            entry_id: entry.configuration
            for entry_id, entry in entry_by_id.items()
        }
        self.agent_version_by_entry = {
            entry_id: entry.agents for entry_id, entry in entry_by_id.items()
        }
        self._delete_ended_rows(rows)
        on_entries(rows)

    def _record_first_read(self, row: Row) -> None:
        first_read = self._first_read_by_key.get(row.key)
        if first_read is None or first_read.version != row.version:
            new_read = _FirstRead(row.version, self._clock.now())
            self._first_read_by_key[row.key] = new_read

    def _unchanged_ms(self, row: Row) -> float:
        first_read = self._first_read_by_key.get(row.key)
        if first_read is None or first_read.version != row.version:
            return 0
        return self._clock.now() - first_read.read_at

    def _delete_ended_rows(self, rows: Sequence[Row]) -> None:
        for row in rows:
            if _registered(row) is not None:
                continue
            if self._unchanged_ms(row) > self._settings.forget_ms:
                self._first_read_by_key.pop(row.key)
                self._store.commit(
                    Transaction(
                        (Check(row.key, row.version),),
                        (Put(row.key, None),),
                    ),
                    lambda _answer: None,
                )
