"""The jobs of one shard that this entry owns, and their durable part."""

from dataclasses import dataclass, field
from typing import Any, Callable, Final, Iterable

from twisted.internet.defer import Deferred, inlineCallbacks
from twisted.python.failure import Failure as TwistedFailure

from hyssopring.clock import Clock
from hyssopring.jobs.book import JobRecord
from hyssopring.jobs.documents import (
    AGENTS,
    CANCEL_SUFFIX,
    DONE,
    JOBS,
    JobRow,
    ProgressRow,
    UnreadableRow,
    cancel_key,
    job_key,
    owner_key,
    part_of,
    progress_key,
)
from hyssopring.jobs.model import JobState
from hyssopring.jobs.rows import (
    Committed,
    Conflict,
    HistoryLost,
    Page,
    Row,
    RowCheck,
    RowPut,
    RowStore,
    StoreRefused,
    StoreUncertain,
    Transaction,
)
from hyssopring.jobs.times import ROSTER_WAIT_MS
from hyssopring.logs import Event, log_event

__all__ = ('Ack', 'OwnedShard')

# Ends that come within this time share a transaction; a job is shown as
# completed this much later.
_MERGE_S: Final = 0.02
_RETRY_S: Final = 0.2
# A transaction holds at most so many rows: one is the owner's check.
_MAX_ROWS: Final = 90


@dataclass(frozen=True, slots=True)
class Ack:
    """An end that the agent may forget once it is durable."""

    agent_id: str
    boot: str
    number: int


@dataclass
class OwnedShard:
    """One shard under one reign.

    Attributes:
        version: The owner row's; each write checks it, so that a deposed
            owner writes nothing, however late its calls are carried out.
        unheard: Agents that have not told this reign yet what they run.
        is_loaded: Whether all stored jobs are known.
    """

    shard: int
    reign: int
    version: int
    acquired_at: float
    reactor: Any
    clock: Clock
    wall_ms: Callable[[], float]
    store: RowStore
    on_acks: Callable[[Iterable[Ack]], None]
    on_deposed: Callable[['OwnedShard'], None]
    on_job: Callable[[JobRecord], None]
    on_cancelled: Callable[[JobRecord], None]
    on_loaded: Callable[[], None]
    by_job: dict[str, JobRecord] = field(default_factory=dict)
    unheard: set[str] = field(default_factory=set)
    is_loaded: bool = False
    is_dropped: bool = False
    _live: dict[str, JobRecord] = field(default_factory=dict)
    _dirty: dict[str, list[Ack]] = field(default_factory=dict)
    _is_flushing: bool = False
    _is_polling: bool = False
    _seen_version: int = 0

    def may_start(self, record: JobRecord) -> bool:
        """Whether tasks of a job may start as far as the shard is known.

        A job of an earlier reign may have tasks on an agent that was not
        heard yet; started elsewhere they would run twice.
        """
        if not record.is_inherited or not self.unheard:
            return True
        return self.clock.now() > self.acquired_at + ROSTER_WAIT_MS

    def live_jobs(self) -> list[JobRecord]:
        """Return the jobs whose final state is not decided."""
        live = [
            record
            for record in self._live.values()
            if record.final_state is None
        ]
        if len(live) < len(self._live):
            self._live = {record.job.job_id: record for record in live}
        return live

    def load(self) -> Deferred:
        """Read all rows, again until it succeeds."""
        loading = self._read_all()
        loading.addErrback(self._load_failed)
        return loading

    def add(self, row: JobRow, is_inherited: bool = False) -> None:
        """Take a job that was accepted."""
        if row.job.job_id in self.by_job:
            return
        record = JobRecord.from_row(row, self.reign, is_inherited)
        self._keep(record)
        self.on_job(record)

    def cancel(self, job_id: str) -> None:
        """A job's cancellation is durable."""
        record = self.by_job.get(job_id)
        if record is None or record.final_state is not None:
            return
        record.final_state = JobState.CANCELLED
        record.state = JobState.CANCELLED
        self.save(record)
        self.on_cancelled(record)

    def save(self, record: JobRecord, ack: Ack | None = None) -> None:
        """Make a job's progress durable, then acknowledge an end."""
        acks = self._dirty.setdefault(record.job.job_id, [])
        if ack is not None:
            acks.append(ack)
        self._flush_after(_MERGE_S)

    def poll(self) -> None:
        """Look for jobs and cancellations that nobody has told of."""
        if self._is_polling or not self.is_loaded or self.is_dropped:
            return
        self._is_polling = True
        asked = self.store.changes(JOBS, self._seen_version, 0)
        asked.addCallbacks(self._changed, self._poll_failed)

    def forget_ended(self, before_ms: float) -> None:
        """Remove jobs that ended before this time (since 1970)."""
        ended = [
            record.job.job_id
            for record in self.by_job.values()
            if record.state.is_final
            and 0 < record.progress.ended_ms < before_ms
        ][: _MAX_ROWS // 3]
        if not ended:
            return
        removals = [
            place
            for job_id in ended
            for place in (
                job_key(job_id),
                cancel_key(job_id),
                progress_key(job_id),
            )
        ]
        removing = self.store.commit(
            Transaction((self._check(),), (), tuple(removals)),
        )
        removing.addCallbacks(self._forgotten, _later, callbackArgs=(ended,))

    def _forgotten(self, outcome: object, ended: list[str]) -> None:
        if isinstance(outcome, Committed):
            for job_id in ended:
                self.by_job.pop(job_id, None)

    def _check(self) -> RowCheck:
        return RowCheck(owner_key(self.shard), self.version)

    @inlineCallbacks
    def _read_all(self) -> Any:
        roster = yield self._read_part(AGENTS, '')
        jobs = yield self._read_part(JOBS, part_of(self.shard))
        ends = yield self._read_part(DONE, part_of(self.shard))
        if self.is_dropped:
            return
        self.unheard = {row.place.key for row in roster}
        progress_by_job = {
            row.place.key: ProgressRow.from_text(row.text) for row in ends
        }
        for row in jobs:
            if not row.place.key.endswith(CANCEL_SUFFIX):
                self._inherit(row, progress_by_job.get(row.place.key))
        self.is_loaded = True
        for row in jobs:
            if row.place.key.endswith(CANCEL_SUFFIX):
                self.cancel(row.place.key.removesuffix(CANCEL_SUFFIX))
        log_event(
            Event.SHARD_ACQUIRED,
            shard=self.shard,
            reign=self.reign,
            jobs=len(self.by_job),
            unheard=len(self.unheard),
        )
        self.on_loaded()

    @inlineCallbacks
    def _read_part(self, table: str, part: str) -> Any:
        rows: list[Row] = []
        first = ''
        while True:
            page: Page = yield self.store.read(table, part, first)
            if table == JOBS and not self._seen_version:
                self._seen_version = page.version
            rows.extend(page.rows)
            if not page.has_more:
                return rows
            first = f'{page.rows[-1].place.key}\0'

    def _inherit(self, row: Row, progress: ProgressRow | None) -> None:
        job_id = row.place.key
        if job_id in self.by_job:
            return
        self._keep(
            JobRecord.from_row(
                JobRow.from_text(row.text),
                self.reign,
                is_inherited=True,
                progress=progress,
            ),
        )

    def _keep(self, record: JobRecord) -> None:
        self.by_job[record.job.job_id] = record
        if record.final_state is None:
            self._live[record.job.job_id] = record

    def _load_failed(self, failure: TwistedFailure) -> None:
        failure.trap(StoreRefused, StoreUncertain, UnreadableRow)
        log_event(
            Event.STORE_UNREACHABLE,
            doing='load',
            shard=self.shard,
            detail=str(failure.value),
        )
        if not self.is_dropped:
            self.reactor.callLater(_RETRY_S, self.load)

    def _changed(self, changes: Any) -> None:
        self._is_polling = False
        self._seen_version = max(self._seen_version, changes.version)
        part = part_of(self.shard)
        rows = [row for row in changes.rows if row.place.part == part]
        for row in rows:
            if row.is_removed:
                continue
            if row.place.key.endswith(CANCEL_SUFFIX):
                self.cancel(row.place.key.removesuffix(CANCEL_SUFFIX))
            else:
                self.add(JobRow.from_text(row.text))

    def _poll_failed(self, failure: TwistedFailure) -> None:
        self._is_polling = False
        reason = failure.trap(StoreRefused, StoreUncertain, HistoryLost)
        if reason is HistoryLost:
            self._seen_version = 0
            reading = self._read_missed()
            reading.addErrback(_later)

    @inlineCallbacks
    def _read_missed(self) -> Any:
        """The history is gone: compare with all rows."""
        rows = yield self._read_part(JOBS, part_of(self.shard))
        for row in rows:
            if not row.place.key.endswith(CANCEL_SUFFIX):
                self.add(JobRow.from_text(row.text))
        for row in rows:
            if row.place.key.endswith(CANCEL_SUFFIX):
                self.cancel(row.place.key.removesuffix(CANCEL_SUFFIX))

    def _flush_after(self, seconds: float) -> None:
        if not self._is_flushing:
            self._is_flushing = True
            self.reactor.callLater(seconds, self._flush)

    def _flush(self) -> None:
        if self.is_dropped:
            return
        if not self.is_loaded:
            self.reactor.callLater(_RETRY_S, self._flush)
            return
        taken = dict(list(self._dirty.items())[:_MAX_ROWS])
        for job_id in taken:
            self._dirty.pop(job_id)
        saving = self.store.commit(
            Transaction(
                (self._check(),),
                tuple(self._put(job_id) for job_id in taken),
            ),
        )
        states = {job_id: self.by_job[job_id].final_state for job_id in taken}
        saving.addCallbacks(
            self._flushed,
            self._flush_failed,
            callbackArgs=(taken, states),
            errbackArgs=(taken,),
        )

    def _put(self, job_id: str) -> RowPut:
        record = self.by_job[job_id]
        progress = record.progress
        if record.final_state is not None and not progress.state:
            progress.state = record.final_state.value
            progress.ended_ms = self.wall_ms()
        return RowPut(progress_key(job_id), progress.to_text())

    def _flushed(
        self,
        outcome: Committed | Conflict,
        taken: dict[str, list[Ack]],
        states: dict[str, JobState | None],
    ) -> None:
        self._is_flushing = False
        if isinstance(outcome, Conflict):
            self.on_deposed(self)
            return
        for job_id, state in states.items():
            self._publish(job_id, state)
        self.on_acks([ack for acks in taken.values() for ack in acks])
        if self._dirty:
            self._flush_after(0)

    def _publish(self, job_id: str, state: JobState | None) -> None:
        record = self.by_job[job_id]
        if state is None or record.state is state:
            return
        record.state = state
        log_event(
            Event.JOB_FINISHED,
            job=job_id,
            state=state.value,
            age_ms=int(self.wall_ms() - record.accepted_ms),
            due_ms=int(record.deadline() - record.accepted_ms),
        )

    def _flush_failed(
        self,
        failure: TwistedFailure,
        taken: dict[str, list[Ack]],
    ) -> None:
        failure.trap(StoreRefused, StoreUncertain)
        self._is_flushing = False
        for job_id, acks in taken.items():
            self._dirty[job_id] = acks + self._dirty.get(job_id, [])
        self._flush_after(_RETRY_S)


def _later(failure: TwistedFailure) -> None:
    """The next turn tries again."""
    failure.trap(StoreRefused, StoreUncertain)
