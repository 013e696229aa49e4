"""The operator's configuration: parsing it and following its changes."""

from typing import Annotated, Any, Callable, Final

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
from hyssopring.numbers import MAX_EXACT_INTEGER
from hyssopring.platform.evacuations import is_evacuation

__all__ = ('ConfigurationFollower', 'read_configuration')

_CONFIGURATION_TABLE: Final = 'op'
_ROW_KEY: Final = RowKey(_CONFIGURATION_TABLE, '', 'config')
# A silent connection is detected this much later; changes should be in force
# 2 s after they were acknowledged.
_WAIT_MS: Final = 800
# Backoff after a failed call, doubled up to the maximum. An entry that the
# store rejects gets new configurations from its peers.
_MIN_RETRY_S: Final = 0.2
_MAX_RETRY_S: Final = 0.8

_RANGE: Final = Field(ge=-MAX_EXACT_INTEGER, le=MAX_EXACT_INTEGER)
_Integer = Annotated[int, _RANGE]
_Number = Annotated[float, _RANGE]


class _Model(BaseModel):
    model_config = ConfigDict(
        alias_generator=alias_generators.to_camel,
        allow_inf_nan=False,
    )


class _Recommendation(_Model):
    decision_ms: _Number = 0
    per_item_ms: _Number = 0
    valid_ms: _Number = 0

    def to_timing(self) -> AdviceTiming:
        return AdviceTiming(self.decision_ms, self.per_item_ms, self.valid_ms)


class _Route(_Model):
    name: str
    host: str
    path_prefix: str
    service: str
    target_latency_ms: _Integer = 0
    priority: _Integer = 0
    max_attempts: _Integer = 1
    slack_factor: _Number = 1
    recommendation: _Recommendation | None = None

    def to_queue(self) -> Queue:
        recommendation = self.recommendation
        return Queue(
            self.name,
            self.service,
            self.priority,
            self.max_attempts,
            self.slack_factor,
            self.target_latency_ms,
            recommendation.to_timing() if recommendation else None,
        )


class _Limits(_Model):
    max_body_bytes: int = Field(default=262_144, ge=0)


class _Configuration(_Model):
    version: _Integer
    routes: tuple[_Route, ...] = ()
    limits: _Limits = _Limits()


def read_configuration(text: str) -> QueueTable:
    """Parse the text of the configuration row.

    Raises:
        ValidationError: The text is malformed.
    """
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
    """Follows the newest configuration; its version never decreases.

    Attributes:
        on_evacuations_outdated: Called when the rows that evacuate zones,
            which are in the same table, may have changed.
    """

    def __init__(
        self,
        reactor: Any,
        store: RowStore,
        on_table: Callable[[QueueTable, StoredConfiguration], None],
    ) -> None:
        """Call ``on_table`` with each new table and its stored text."""
        self._reactor = reactor
        self._store = store
        self._on_table = on_table
        self.on_evacuations_outdated: Callable[[], None] = _ignore
        self._version = -1
        self._store_version = 0
        self._reading: Deferred | None = None
        self._retry_s = _MIN_RETRY_S

    def start(self) -> None:
        """Read the configuration, then follow its changes."""
        self.on_evacuations_outdated()
        reading = self._store.read(_CONFIGURATION_TABLE, '', _ROW_KEY.key)
        self._await(reading, self._on_read)

    def apply_from_peer(self, stored: StoredConfiguration) -> None:
        """Apply a row that another entry has sent.

        The pending response of the store with the same row is cancelled: on a
        slow link it would take seconds and delay the next change.
        """
        if self._apply(stored, 'peer') and stored.row_version:
            self._store_version = max(self._store_version, stored.row_version)
            # The changes up to that version are not read any more.
            self.on_evacuations_outdated()
            if self._reading is not None:
                self._reading.cancel()

    def _follow(self) -> None:
        following = self._store.changes(
            _CONFIGURATION_TABLE, self._store_version, _WAIT_MS
        )
        self._await(following, self._on_changes)

    def _await(
        self, reading: Deferred, on_response: Callable[[Any], None]
    ) -> None:
        self._reading = reading
        reading.addCallbacks(on_response, self._on_failed)
        reading.addErrback(self._on_error)

    def _on_read(self, page: Page) -> None:
        self._apply_newest(page.rows)
        self._store_version = max(self._store_version, page.version)
        self._continue()

    def _on_changes(self, changes: Changes) -> None:
        if any(map(is_evacuation, changes.rows)):
            self.on_evacuations_outdated()
        self._apply_newest(changes.rows)
        self._store_version = max(self._store_version, changes.version)
        self._continue()

    def _continue(self) -> None:
        self._retry_s = _MIN_RETRY_S
        self._follow()

    def _on_failed(self, failure: TwistedFailure) -> None:
        reason = failure.trap(
            CancelledError,
            HistoryLost,
            StoreRefused,
            StoreUncertain,
        )
        if reason is CancelledError:
            self._schedule(0, self._follow)
        elif reason is HistoryLost:
            self._schedule(0, self.start)
        else:
            self._schedule(
                self._retry_s,
                self._follow if self._store_version else self.start,
            )
            self._retry_s = min(2 * self._retry_s, _MAX_RETRY_S)

    def _schedule(self, delay_s: float, call: Callable[[], None]) -> None:
        self._reading = None
        self._reactor.callLater(delay_s, call)

    def _on_error(self, failure: TwistedFailure) -> None:
        """Log an error in applying a table, and continue to follow."""
        log_event(
            Event.PEER_ERROR,
            peer='op',
            detail=repr(failure.value),
            trace=failure.getBriefTraceback(),
        )
        self._schedule(_MIN_RETRY_S, self.start)

    def _apply_newest(self, rows: tuple[Row, ...]) -> None:
        """Apply the newest valid version of the row.

        Changes in quick succession come in one response, each with the complete
        text. Only one is parsed: 2,800 queues take 7 ms of a core, and some
        entries have a third of a core.
        """
        versions = [
            StoredConfiguration(row.text, row.version)
            for row in rows
            if row.row_key == _ROW_KEY and not row.is_removed
        ]
        versions.sort(key=_row_version, reverse=True)
        for stored in versions:
            if self._apply(stored, 'store'):
                return

    def _apply(self, stored: StoredConfiguration, source: str) -> bool:
        """Apply a configuration; return False if it is invalid or not newer."""
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


def _ignore() -> None:
    """Default of ``on_evacuations_outdated``."""


def _row_version(stored: StoredConfiguration) -> int:
    return stored.row_version
