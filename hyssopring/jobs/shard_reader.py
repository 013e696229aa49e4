"""Reads a shard's rows: all of them once, then what has changed."""

from typing import Any, Final, Protocol

from twisted.internet.defer import inlineCallbacks
from twisted.python.failure import Failure as TwistedFailure

from hyssopring.jobs.documents import (
    AGENTS,
    CANCEL_SUFFIX,
    DONE,
    JOBS,
    UnreadableRow,
    part_of,
)
from hyssopring.jobs.rows import (
    Changes,
    HistoryLost,
    Page,
    Row,
    RowStore,
    StoreRefused,
    StoreUncertain,
)
from hyssopring.logs import Event, log_event

__all__ = ('ShardReader', 'ShardRows')

_RETRY_S: Final = 0.2


class ShardRows(Protocol):
    """What is read of a shard."""

    shard: int
    is_dropped: bool

    def loaded(
        self,
        agents: list[Row],
        jobs: list[Row],
        ends: list[Row],
    ) -> None:
        """All rows of agents, of jobs and of their ends."""

    def found(self, row: Row) -> None:
        """A job that nobody has told of."""

    def cancel(self, job_id: str) -> None:
        """A cancellation."""


class ShardReader:
    """Loads one shard, and polls it for what messages have missed."""

    def __init__(self, reactor: Any, store: RowStore, rows: ShardRows) -> None:
        """Hand what is read to ``rows``."""
        self._reactor = reactor
        self._store = store
        self._rows = rows
        self._part = part_of(rows.shard)
        self._is_polling = False
        self._seen_version = 0

    def load(self) -> None:
        """Read all rows, again until it succeeds."""
        loading = self._load()
        loading.addErrback(self._load_failed)

    def poll(self) -> None:
        """Look for jobs and cancellations that nobody has told of."""
        if self._is_polling:
            return
        self._is_polling = True
        asked = self._store.changes(JOBS, self._seen_version, 0)
        asked.addCallbacks(self._changed, self._poll_failed)
        asked.addErrback(self._poll_failed)

    @inlineCallbacks
    def _load(self) -> Any:
        agents = yield self._read_part(AGENTS, self._part)
        jobs = yield self._read_part(JOBS, self._part)
        ends = yield self._read_part(DONE, self._part)
        if not self._rows.is_dropped:
            self._rows.loaded(agents, jobs, ends)
            self._take_cancellations(jobs)

    @inlineCallbacks
    def _read_part(self, table: str, part: str) -> Any:
        rows: list[Row] = []
        first = ''
        while True:
            page: Page = yield self._store.read(table, part, first)
            if table == JOBS and not first:
                # Changes from here on are read by polls.
                self._seen_version = page.version
            rows.extend(page.rows)
            if not page.has_more:
                return rows
            first = f'{page.rows[-1].place.key}\0'

    def _load_failed(self, failure: TwistedFailure) -> None:
        failure.trap(StoreRefused, StoreUncertain, UnreadableRow)
        log_event(
            Event.STORE_UNREACHABLE,
            doing='load',
            shard=self._rows.shard,
            detail=str(failure.value),
        )
        if not self._rows.is_dropped:
            self._reactor.callLater(_RETRY_S, self.load)

    def _changed(self, changes: Changes) -> None:
        self._is_polling = False
        self._seen_version = max(self._seen_version, changes.version)
        self._take([row for row in changes.rows if not row.is_removed])

    def _take(self, rows: list[Row]) -> None:
        own = [row for row in rows if row.place.part == self._part]
        for row in own:
            if not row.place.key.endswith(CANCEL_SUFFIX):
                self._rows.found(row)
        self._take_cancellations(own)

    def _take_cancellations(self, rows: list[Row]) -> None:
        for row in rows:
            if row.place.key.endswith(CANCEL_SUFFIX):
                self._rows.cancel(row.place.key.removesuffix(CANCEL_SUFFIX))

    def _poll_failed(self, failure: TwistedFailure) -> None:
        self._is_polling = False
        reason = failure.trap(
            StoreRefused,
            StoreUncertain,
            HistoryLost,
            UnreadableRow,
        )
        if reason is HistoryLost:
            reading = self._read_part(JOBS, self._part)
            reading.addCallback(self._take)
            reading.addErrback(self._poll_failed)
