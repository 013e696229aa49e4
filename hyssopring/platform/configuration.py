"""The operator's configuration as the queues in force."""

from typing import Any, Callable, Final

from pydantic import BaseModel, ConfigDict, Field, ValidationError
from pydantic import alias_generators
from twisted.internet.defer import Deferred
from twisted.python.failure import Failure as TwistedFailure

from hyssopring.jobs.model import Advice, Queue
from hyssopring.jobs.queues import QueueAddress, QueueTable
from hyssopring.jobs.rows import (
    Changes,
    HistoryLost,
    Row,
    RowKey,
    RowStore,
    StoreRefused,
    StoreUncertain,
)
from hyssopring.logs import Event, log_event

__all__ = ('ConfigurationFollower', 'read_configuration')

_TABLE: Final = 'op'
_PLACE: Final = RowKey(_TABLE, '', 'config')
# A connection that has gone silent is noticed this much later; changes are
# to be in force 2 s after they were acknowledged.
_WAIT_MS: Final = 800
_RETRY_S: Final = 0.2


class _Model(BaseModel):
    model_config = ConfigDict(
        alias_generator=alias_generators.to_camel,
        allow_inf_nan=False,
    )


class _Recommendation(_Model):
    decision_ms: float = 0
    per_item_ms: float = 0
    valid_ms: float = 0

    def to_advice(self) -> Advice:
        return Advice(self.decision_ms, self.per_item_ms, self.valid_ms)


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
        on_table: Callable[[QueueTable, str], None],
    ) -> None:
        """Pass each new table on, and the text that it was read from."""
        self._reactor = reactor
        self._store = store
        self._on_table = on_table
        self._version = -1
        self._seen = 0

    def start(self) -> None:
        """Read the configuration, then follow its changes."""
        reading = self._store.read(_TABLE, '', _PLACE.key)
        reading.addCallbacks(self._read, self._failed)
        reading.addErrback(self._broken)

    def take_from_peer(self, text: str) -> None:
        """Take the row's text from an entry that the store has answered."""
        self._take_text(text, 'peer')

    def _read(self, page: Any) -> None:
        self._take(page.rows)
        self._seen = page.version
        self._follow()

    def _follow(self) -> None:
        following: Deferred = self._store.changes(_TABLE, self._seen, _WAIT_MS)
        following.addCallbacks(self._changed, self._failed)
        following.addErrback(self._broken)

    def _changed(self, changes: Changes) -> None:
        self._take(changes.rows)
        self._seen = max(self._seen, changes.version)
        self._follow()

    def _failed(self, failure: TwistedFailure) -> None:
        reason = failure.trap(HistoryLost, StoreRefused, StoreUncertain)
        if reason is HistoryLost:
            self._reactor.callLater(0, self.start)
        else:
            again = self._follow if self._seen else self.start
            self._reactor.callLater(_RETRY_S, again)

    def _broken(self, failure: TwistedFailure) -> None:
        """An error of ours in taking a table: say so, and follow on."""
        log_event(
            Event.PEER_ERROR,
            peer='op',
            detail=repr(failure.value),
            trace=failure.getBriefTraceback(),
        )
        self._reactor.callLater(_RETRY_S, self.start)

    def _take(self, rows: tuple[Row, ...]) -> None:
        for row in rows:
            if row.place.key == _PLACE.key and not row.is_removed:
                self._take_text(row.text, 'store')

    def _take_text(self, text: str, source: str) -> None:
        try:
            table = read_configuration(text)
        except ValidationError as error:
            log_event(Event.PEER_ERROR, peer='op', detail=str(error))
            return
        if table.version > self._version:
            self._version = table.version
            log_event(
                Event.CONFIGURATION_APPLIED,
                version=table.version,
                source=source,
                size=len(text),
            )
            self._on_table(table, text)
