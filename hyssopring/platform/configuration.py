"""The operator's configuration as the queues in force."""

from typing import Any, Callable, Final

from pydantic import BaseModel, ConfigDict, Field, ValidationError
from pydantic import alias_generators
from twisted.internet.defer import CancelledError, Deferred
from twisted.python.failure import Failure as TwistedFailure

from hyssopring.jobs.model import AdviceTiming, Queue
from hyssopring.jobs.queues import QueueAddress, QueueTable
from hyssopring.jobs.rows import (
    Changes,
    HistoryLost,
    Page,
    Row,
    RowKey,
    RowStore,
    StoreRefused,
    StoreUncertain,
)
from hyssopring.jobs.stored_configuration import StoredConfiguration
from hyssopring.logs import Event, log_event

__all__ = ('ConfigurationFollower', 'read_configuration')

_TABLE: Final = 'op'
_PLACE: Final = RowKey(_TABLE, '', 'config')
# A connection that has gone silent is noticed this much later; changes are
# to be in force 2 s after they were acknowledged.
_WAIT_MS: Final = 800
# After a failed call, doubled up to the second: the peers of an entry that the
# store turns away tell it what is new.
_RETRY_S: Final = 0.2
_MAX_RETRY_S: Final = 0.8


class _Model(BaseModel):
    model_config = ConfigDict(
        alias_generator=alias_generators.to_camel,
        allow_inf_nan=False,
    )


class _Recommendation(_Model):
    decision_ms: float = 0
    per_item_ms: float = 0
    valid_ms: float = 0

    def to_advice(self) -> AdviceTiming:
        return AdviceTiming(self.decision_ms, self.per_item_ms, self.valid_ms)


class _Route(_Model):
    name: str
    host: str
    path_prefix: str
    service: str
    target_latency_ms: int = 0
    priority: int = 0
    max_attempts: int = 1
    slack_factor: float = 1
    recommendation: _Recommendation | None = None

    def to_queue(self) -> Queue:
        asked = self.recommendation
        return Queue(
            self.name,
            self.service,
            self.priority,
            self.max_attempts,
            self.slack_factor,
            self.target_latency_ms,
            asked.to_advice() if asked else None,
        )


class _Limits(_Model):
    max_body_bytes: int = Field(default=262_144, ge=0)


class _Configuration(_Model):
    version: int
    routes: tuple[_Route, ...] = ()
    limits: _Limits = _Limits()


def read_configuration(text: str) -> QueueTable:
    """Translate the row's text; raises ValidationError."""
    document = _Configuration.model_validate_json(text)
    return QueueTable.from_addresses(
        document.version,
        document.limits.max_body_bytes,
        [
            QueueAddress(
                route.host,
                route.path_prefix,
                route.to_queue(),
            )
            for route in document.routes
        ],
    )


class ConfigurationFollower:
    """Keeps the newest configuration; its version never falls."""

    def __init__(
        self,
        reactor: Any,
        store: RowStore,
        on_table: Callable[[QueueTable, StoredConfiguration], None],
    ) -> None:
        """Pass each new table on, and what it was read from."""
        self._reactor = reactor
        self._store = store
        self._on_table = on_table
        self._version = -1
        self._seen = 0
        self._reading: Deferred | None = None
        self._retry_s = _RETRY_S

    def start(self) -> None:
        """Read the configuration, then follow its changes."""
        reading = self._store.read(_TABLE, '', _PLACE.key)
        self._await(reading, self._read)

    def take_from_peer(self, stored: StoredConfiguration) -> None:
        """Take the row from an entry that has it.

        The store's own answer with the same row is cut short: on a narrow link
        it would go on for seconds, and the next change would wait behind it.
        """
        if self._take_stored(stored, 'peer') and stored.row_version:
            self._seen = max(self._seen, stored.row_version)
            if self._reading is not None:
                self._reading.cancel()

    def _follow(self) -> None:
        following = self._store.changes(_TABLE, self._seen, _WAIT_MS)
        self._await(following, self._changed)

    def _await(self, reading: Deferred, take: Callable[[Any], None]) -> None:
        self._reading = reading
        reading.addCallbacks(take, self._failed)
        reading.addErrback(self._broken)

    def _read(self, page: Page) -> None:
        self._take(page.rows)
        self._seen = max(self._seen, page.version)
        self._go_on()

    def _changed(self, changes: Changes) -> None:
        self._take(changes.rows)
        self._seen = max(self._seen, changes.version)
        self._go_on()

    def _go_on(self) -> None:
        self._retry_s = _RETRY_S
        self._follow()

    def _failed(self, failure: TwistedFailure) -> None:
        reason = failure.trap(
            CancelledError,
            HistoryLost,
            StoreRefused,
            StoreUncertain,
        )
        if reason is CancelledError:
            self._again(0, self._follow)
        elif reason is HistoryLost:
            self._again(0, self.start)
        else:
            self._again(
                self._retry_s,
                self._follow if self._seen else self.start,
            )
            self._retry_s = min(2 * self._retry_s, _MAX_RETRY_S)

    def _again(self, pause_s: float, call: Callable[[], None]) -> None:
        self._reading = None
        self._reactor.callLater(pause_s, call)

    def _broken(self, failure: TwistedFailure) -> None:
        """An error of ours in taking a table: say so, and follow on."""
        log_event(
            Event.PEER_ERROR,
            peer='op',
            detail=repr(failure.value),
            trace=failure.getBriefTraceback(),
        )
        self._again(_RETRY_S, self.start)

    def _take(self, rows: tuple[Row, ...]) -> None:
        """Take the newest of a row's versions that can be read.

        Changes in quick succession come in one answer, whole each; to read
        2,800 queues takes 7 ms of a core, and some have a third of one.
        """
        found = [
            StoredConfiguration(row.text, row.version)
            for row in rows
            if row.row_key == _PLACE and not row.is_removed
        ]
        found.sort(key=_row_version, reverse=True)
        for stored in found:
            if self._take_stored(stored, 'store'):
                return

    def _take_stored(self, stored: StoredConfiguration, source: str) -> bool:
        """Put a configuration in force, if it is newer; tell whether it was."""
        try:
            table = read_configuration(stored.text)
        except ValidationError as error:
            log_event(Event.PEER_ERROR, peer='op', detail=str(error))
            return False
        if table.version <= self._version:
            return False
        self._version = table.version
        log_event(
            Event.CONFIGURATION_APPLIED,
            version=table.version,
            source=source,
            size=len(stored.text),
        )
        self._on_table(table, stored)
        return True


def _row_version(stored: StoredConfiguration) -> int:
    return stored.row_version
