"""Reads a shard's rows: all of them once, then what has changed."""

from typing import Any, Final, Protocol

from twisted.internet.defer import inlineCallbacks
from twisted.python.failure import Failure as TwistedFailure

from hyssopring.clock import Clock
from hyssopring.jobs.documents import MalformedRowError
from hyssopring.jobs.row_keys import (
    AGENTS_TABLE,
    CANCEL_SUFFIX,
    PROGRESS_TABLE,
    JOBS_TABLE,
    is_job_key,
    owner_key,
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
from hyssopring.jobs.store_clock import StoreClock
from hyssopring.logs import Event, log_event

__all__ = ('ShardReader', 'ShardRows')

_RETRY_S: Final = 0.2


class ShardRows(Protocol):
    """What is read of a shard."""

    shard: int
    version: int
    is_dropped: bool

    def on_agent_rows(self, agents: list[Row]) -> None:
        """All rows of agents; the others are still to be read."""

    def on_job_rows(self, jobs: list[Row], ends: list[Row]) -> None:
        """All rows of jobs and of their ends."""

    def is_known(self, job_id: str) -> bool:
        """Whether a job is known already."""

    def on_job_row_found(self, row: Row) -> None:
        """A job that nobody has told of."""

    def on_ownership_lost(self) -> None:
        """Another owner has the shard."""

    def on_ownership_confirmed(self, sent_at: float) -> None:
        """A reading that was sent then shows that the shard is still owned."""

    def cancel(self, job_id: str) -> None:
        """A cancellation."""


class ShardReader:
    """Loads one shard, and polls it for what messages have missed.

    Attributes:
        store_time: The store's clock, as far as its answers have told.
    """

    def __init__(
        self,
        reactor: Any,
        clock: Clock,
        store: RowStore,
        rows: ShardRows,
    ) -> None:
        """Hand what is read to ``rows``."""
        self.store_time = StoreClock(clock)
        self._reactor = reactor
        self._clock = clock
        self._store = store
        self._rows = rows
        self._part = part_of(rows.shard)
        self._is_polling = False
        self._read_version = 0
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
        sent_at = self._clock.now()
        asked = self._store.changes(JOBS_TABLE, self._seen_version, 0)
        asked.addCallbacks(
            self._changed,
            self._poll_failed,
            callbackArgs=(sent_at,),
        )
        asked.addErrback(self._poll_failed)

    @inlineCallbacks
    def _load(self) -> Any:
        agents = yield self._read_part(AGENTS_TABLE, self._part)
        self._rows.on_agent_rows(agents)
        jobs = yield self._read_part(JOBS_TABLE, self._part)
        ends = yield self._read_part(PROGRESS_TABLE, self._part)
        is_owner = yield self._is_owner()
        if is_owner:
            # Changes from here on are read by polls.
            self._seen_version = self._read_version
            self._rows.on_job_rows(jobs, ends)
            self._take_cancellations(jobs)

    @inlineCallbacks
    def _is_owner(self) -> Any:
        """Whether the shard was still this owner's when the rows were read.

        A job is told to one owner, which starts it at once, as no other one
        knows it. A former owner, which has authority for seconds, would find
        the job's row and start it too, on an agent that its successor has not
        heard. The successor's row was there before it was told of the job, so
        that an owner row which is read after the job's shows it.
        """
        sent_at = self._clock.now()
        row = yield self._store.read_one(owner_key(self._rows.shard))
        if self._rows.is_dropped:
            return False
        if row is not None and row.version == self._rows.version:
            self._rows.on_ownership_confirmed(sent_at)
            return True
        self._rows.on_ownership_lost()
        return False

    @inlineCallbacks
    def _read_part(self, table: str, part: str) -> Any:
        rows: list[Row] = []
        first = ''
        while True:
            sent_at = self._clock.now()
            page: Page = yield self._store.read(table, part, first)
            self.store_time.update(page.read_ms, sent_at)
            if table == JOBS_TABLE and not first:
                self._read_version = page.version
            rows.extend(page.rows)
            if not page.has_more:
                return rows
            first = f'{page.rows[-1].row_key.key}\0'

    def _load_failed(self, failure: TwistedFailure) -> None:
        failure.trap(StoreRefused, StoreUncertain, MalformedRowError)
        log_event(
            Event.STORE_UNREACHABLE,
            doing='load',
            shard=self._rows.shard,
            detail=str(failure.value),
        )
        if not self._rows.is_dropped:
            self._reactor.callLater(_RETRY_S, self.load)

    @inlineCallbacks
    def _changed(self, changes: Changes, sent_at: float) -> Any:
        self.store_time.update(changes.read_ms, sent_at)
        rows = [row for row in changes.rows if not row.is_removed]
        yield self._take(rows, changes.version)
        self._is_polling = False

    @inlineCallbacks
    def _reread(self) -> Any:
        """Read all jobs anew, as the history of changes is gone."""
        self._is_polling = True
        rows: list[Row] = yield self._read_part(JOBS_TABLE, self._part)
        yield self._take(rows, self._read_version)
        self._is_polling = False

    @inlineCallbacks
    def _take(self, rows: list[Row], version: int) -> Any:
        """Take jobs and cancellations that were read at a version."""
        own = [row for row in rows if row.row_key.part == self._part]
        new = [row for row in own if self._is_new(row)]
        is_owner = yield self._is_owner()
        if not is_owner or self._rows.is_dropped:
            return
        # Not before: what a failed call kept from being taken is read again.
        self._seen_version = max(self._seen_version, version)
        for row in new:
            self._rows.on_job_row_found(row)
        self._take_cancellations(own)

    def _is_new(self, row: Row) -> bool:
        """Whether a row is a job that is not known."""
        key = row.row_key.key
        return is_job_key(key) and not self._rows.is_known(key)

    def _take_cancellations(self, rows: list[Row]) -> None:
        for row in rows:
            if row.row_key.key.endswith(CANCEL_SUFFIX):
                self._rows.cancel(row.row_key.key.removesuffix(CANCEL_SUFFIX))

    def _poll_failed(self, failure: TwistedFailure) -> None:
        self._is_polling = False
        reason = failure.trap(
            StoreRefused,
            StoreUncertain,
            HistoryLost,
            MalformedRowError,
        )
        if reason is HistoryLost:
            self._reread().addErrback(self._poll_failed)
