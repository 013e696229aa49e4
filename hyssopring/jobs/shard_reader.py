"""Reads a shard's rows: all of them once, then the changes."""

from typing import Any, Callable, Final, Protocol

from twisted.internet.defer import inlineCallbacks
from twisted.python.failure import Failure as TwistedFailure

from hyssopring.clock import Clock
from hyssopring.jobs.documents import MalformedRowError
from hyssopring.jobs.ownership import Ownership
from hyssopring.jobs.row_keys import (
    AGENTS_TABLE,
    CANCEL_SUFFIX,
    JOBS_TABLE,
    PROGRESS_TABLE,
    is_job_key,
    job_key,
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
    """Receives the rows of a shard as they are read.

    Attributes:
        shard: Number of the shard.
        version: Version of the owner row with which the shard was taken.
        is_dropped: The shard was released; nothing more is delivered.
        ownership: Records the reads that showed this owner's row.
    """

    shard: int
    version: int
    is_dropped: bool
    ownership: Ownership

    def on_agent_rows(self, agents: list[Row]) -> None:
        """Handle all rows of agents; job rows follow."""

    def on_job_rows(self, jobs: list[Row], ends: list[Row]) -> None:
        """Handle all rows of jobs and of their progress."""

    def is_known(self, job_id: str) -> bool:
        """Whether the job is known already."""

    def on_job_row_found(self, row: Row) -> None:
        """Handle the row of a job of which no message came."""

    def on_ownership_lost(self) -> None:
        """Handle that another owner has taken the shard."""

    def on_ownership_checked(self) -> None:
        """Handle that a requested check has confirmed the ownership."""

    def cancel(self, job_id: str) -> None:
        """Handle the cancellation of a job."""


class ShardReader:
    """Loads one shard and polls it for rows that no message announced.

    Attributes:
        store_clock: Estimate of the store's clock from its responses.
    """

    def __init__(
        self,
        reactor: Any,
        clock: Clock,
        store: RowStore,
        rows: ShardRows,
    ) -> None:
        """Deliver what is read to ``rows``."""
        self.store_clock = StoreClock(clock)
        self._reactor = reactor
        self._clock = clock
        self._store = store
        self._rows = rows
        self._part = part_of(rows.shard)
        self._is_polling = False
        self._is_checking = False
        self._read_version = 0
        self._seen_version = 0

    def load(self) -> None:
        """Read all rows; retry until it succeeds."""
        loading = self._load()
        loading.addErrback(self._on_load_failed)

    def poll(self) -> None:
        """Read jobs and cancellations of which no message came."""
        if self._is_polling:
            return
        self._is_polling = True
        sent_at = self._clock.now()
        polling = self._store.changes(JOBS_TABLE, self._seen_version, 0)
        polling.addCallbacks(
            self._on_changes,
            self._on_poll_failed,
            callbackArgs=(sent_at,),
        )
        polling.addErrback(self._on_poll_failed)

    def check_ownership(self) -> None:
        """Read the owner row, unless such a read is in flight."""
        if not self._is_checking and not self._rows.is_dropped:
            self._is_checking = True
            checking = self._is_owner()
            checking.addCallback(self._on_checked)
            checking.addErrback(self._on_check_failed)

    @inlineCallbacks
    def look_up(self, job_id: str, on_read: Callable[[bool], None]) -> Any:
        """Read the row of a job of which neither message nor poll came.

        Args:
            on_read: Called with whether the job is stored, unless the read
                fails or another entry owns the shard. A stored job is
                delivered before.
        """
        try:
            row = yield self._store.read_one(job_key(job_id))
            is_owner = yield self._is_owner()
        except (StoreRefused, StoreUncertain):
            return
        if not is_owner or self._rows.is_dropped:
            return
        if row is not None and self._is_new(row):
            self._rows.on_job_row_found(row)
        on_read(row is not None)

    @inlineCallbacks
    def _load(self) -> Any:
        agents = yield self._read_part(AGENTS_TABLE, self._part)
        self._rows.on_agent_rows(agents)
        jobs = yield self._read_part(JOBS_TABLE, self._part)
        ends = yield self._read_part(PROGRESS_TABLE, self._part)
        is_owner = yield self._is_owner()
        if is_owner:
            # Polls read the changes after this version.
            self._seen_version = self._read_version
            self._rows.on_job_rows(jobs, ends)
            self._deliver_cancellations(jobs)

    @inlineCallbacks
    def _is_owner(self) -> Any:
        """Check that this owner still had the shard when rows were read.

        Guards against a job that two owners start. A new job is announced to
        the current owner only, which starts it immediately. A former owner's
        lease is valid for some more seconds; on finding the job's row it
        would start the job too, on an agent that has not reported to its
        successor yet. The successor wrote its owner row before the job was
        announced to it, so the owner row, read after the job rows, shows it.
        """
        sent_at = self._clock.now()
        row = yield self._store.read_one(owner_key(self._rows.shard))
        if self._rows.is_dropped:
            return False
        if row is not None and row.version == self._rows.version:
            self._rows.ownership.confirm(sent_at)
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
            self.store_clock.update(page.read_ms, sent_at)
            if table == JOBS_TABLE and not first:
                self._read_version = page.version
            rows.extend(page.rows)
            if not page.has_more:
                return rows
            first = f'{page.rows[-1].row_key.key}\0'

    def _on_load_failed(self, failure: TwistedFailure) -> None:
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
    def _on_changes(self, changes: Changes, sent_at: float) -> Any:
        self.store_clock.update(changes.read_ms, sent_at)
        rows = [row for row in changes.rows if not row.is_removed]
        yield self._deliver(rows, changes.version)
        self._is_polling = False

    @inlineCallbacks
    def _read_all_jobs(self) -> Any:
        """Read all jobs again, as the store lost the history of changes."""
        self._is_polling = True
        rows: list[Row] = yield self._read_part(JOBS_TABLE, self._part)
        yield self._deliver(rows, self._read_version)
        self._is_polling = False

    @inlineCallbacks
    def _deliver(self, rows: list[Row], version: int) -> Any:
        """Deliver jobs and cancellations that were read at a version."""
        own_rows = [row for row in rows if row.row_key.part == self._part]
        new_rows = [row for row in own_rows if self._is_new(row)]
        is_owner = yield self._is_owner()
        if not is_owner or self._rows.is_dropped:
            return
        # Only now: rows that were not delivered after a failed call are read
        # again.
        self._seen_version = max(self._seen_version, version)
        for row in new_rows:
            self._rows.on_job_row_found(row)
        self._deliver_cancellations(own_rows)

    def _is_new(self, row: Row) -> bool:
        """Whether the row is that of an unknown job."""
        key = row.row_key.key
        return is_job_key(key) and not self._rows.is_known(key)

    def _deliver_cancellations(self, rows: list[Row]) -> None:
        for row in rows:
            if row.row_key.key.endswith(CANCEL_SUFFIX):
                self._rows.cancel(row.row_key.key.removesuffix(CANCEL_SUFFIX))

    def _on_checked(self, is_owner: bool) -> None:
        self._is_checking = False
        if is_owner:
            self._rows.on_ownership_checked()

    def _on_check_failed(self, failure: TwistedFailure) -> None:
        self._is_checking = False
        failure.trap(StoreRefused, StoreUncertain, HistoryLost)

    def _on_poll_failed(self, failure: TwistedFailure) -> None:
        self._is_polling = False
        reason = failure.trap(
            StoreRefused,
            StoreUncertain,
            HistoryLost,
            MalformedRowError,
        )
        if reason is HistoryLost:
            self._read_all_jobs().addErrback(self._on_poll_failed)
