"""Writes the progress of a shard's jobs to the store."""

from dataclasses import dataclass
from typing import Any, Callable, Final, Mapping

from twisted.python.failure import Failure as TwistedFailure

from hyssopring.jobs.job_record import JobRecord
from hyssopring.jobs.model import JobState
from hyssopring.jobs.row_keys import owner_key, progress_key
from hyssopring.jobs.rows import (
    Committed,
    Conflict,
    RowCheck,
    RowPut,
    RowStore,
    StoreRefused,
    StoreUncertain,
    Transaction,
)
from hyssopring.logs import Event, log_event

__all__ = ('Ack', 'ProgressWriter', 'owner_check')

# Ends within this time share a transaction, which delays the visible state
# of a job by as much.
_MERGE_S: Final = 0.02
_RETRY_S: Final = 0.2
# A transaction holds at most 100 operations: two for each job, and the
# owner check.
_MAX_JOBS: Final = 45


@dataclass(frozen=True, slots=True)
class Ack:
    """Identifies an end that an agent may drop once it is durable.

    Attributes:
        agent_id: The agent that reported the end.
        boot: The incarnation of the worker that listed the end.
        number: The number of the end in that incarnation.
    """

    agent_id: str
    boot: str
    number: int


_AcksByJob = dict[str, list[Ack]]


class ProgressWriter:
    """Writes progress rows under one epoch, one transaction at a time.

    Each write checks the owner row, so a delayed call of an owner that has
    lost the shard is not applied.

    Attributes:
        is_stopped: Whether nothing is written any more.
    """

    def __init__(
        self,
        reactor: Any,
        wall_ms: Callable[[], float],
        store: RowStore,
        owner_check: RowCheck,
        by_job: Mapping[str, JobRecord],
        on_acks: Callable[[list[Ack]], None],
        on_ownership_lost: Callable[[], None],
    ) -> None:
        """Create a writer for the jobs in ``by_job``."""
        self._reactor = reactor
        self._wall_ms = wall_ms
        self._store = store
        self._owner_check = owner_check
        self._by_job = by_job
        self._on_acks = on_acks
        self._on_ownership_lost = on_ownership_lost
        self._dirty: _AcksByJob = {}
        self._is_flushing = False
        self.is_stopped = False

    def save(self, job_id: str, ack: Ack | None = None) -> None:
        """Write a job's progress, then acknowledge an end."""
        acks = self._dirty.setdefault(job_id, [])
        if ack is not None:
            acks.append(ack)
        self._flush_after(_MERGE_S)

    def _flush_after(self, seconds: float) -> None:
        if not self._is_flushing:
            self._is_flushing = True
            self._reactor.callLater(seconds, self._flush)

    def _flush(self) -> None:
        if self.is_stopped:
            return
        batch = dict(list(self._dirty.items())[:_MAX_JOBS])
        for job_id in batch:
            self._dirty.pop(job_id)
        # Jobs that ended may have been removed since.
        batch = {
            job_id: acks
            for job_id, acks in batch.items()
            if job_id in self._by_job
        }
        checks = [self._row_check(job_id) for job_id in batch]
        puts = [self._put(job_id) for job_id in batch]
        states = {job_id: self._by_job[job_id].final_state for job_id in batch}
        deferred = self._store.commit(
            Transaction((self._owner_check, *checks), tuple(puts)),
        )
        deferred.addCallbacks(
            self._on_flushed,
            self._on_flush_failed,
            callbackArgs=(batch, states),
            errbackArgs=(batch,),
        )

    def _row_check(self, job_id: str) -> RowCheck:
        """Return a check that the row still has its last known version.

        A write without a response may be applied seconds later, after newer
        ones of the same owner. It would remove their ends, and tasks that are
        done would start again under the next owner.
        """
        return RowCheck(progress_key(job_id), self._by_job[job_id].version)

    def _put(self, job_id: str) -> RowPut:
        record = self._by_job[job_id]
        progress = record.progress
        if record.final_state is not None and not progress.state:
            progress.state = record.final_state.value
            progress.ended_ms = self._wall_ms()
        return RowPut(progress_key(job_id), progress.to_text())

    def _on_flushed(
        self,
        outcome: Committed | Conflict,
        batch: _AcksByJob,
        states: dict[str, JobState | None],
    ) -> None:
        self._is_flushing = False
        if isinstance(outcome, Conflict):
            self._on_conflict(outcome, batch)
            return
        for job_id, state in states.items():
            self._by_job[job_id].version = outcome.version
            self._publish(job_id, state)
        self._on_acks([ack for acks in batch.values() for ack in acks])
        if self._dirty:
            self._flush_after(0)

    def _on_conflict(self, conflict: Conflict, batch: _AcksByJob) -> None:
        """Retry on the current versions, unless the ownership is lost.

        The rows changed because an earlier write without a response was
        applied, or another owner has the shard.
        """
        version_by_key = {row.row_key: row.version for row in conflict.rows}
        check = self._owner_check
        if version_by_key.get(check.row_key) != check.version:
            self._on_ownership_lost()
            return
        for job_id in batch:
            row_key = progress_key(job_id)
            self._by_job[job_id].version = version_by_key.get(row_key, 0)
        self._requeue(batch, 0)

    def _publish(self, job_id: str, state: JobState | None) -> None:
        record = self._by_job[job_id]
        if state is None or record.state is state:
            return
        record.state = state
        log_event(
            Event.JOB_FINISHED,
            job=job_id,
            state=state.value,
            age_ms=int(self._wall_ms() - record.accepted_ms),
            due_ms=int(record.deadline() - record.accepted_ms),
        )

    def _on_flush_failed(
        self,
        failure: TwistedFailure,
        batch: _AcksByJob,
    ) -> None:
        failure.trap(StoreRefused, StoreUncertain)
        self._is_flushing = False
        self._requeue(batch, _RETRY_S)

    def _requeue(self, batch: _AcksByJob, seconds: float) -> None:
        for job_id, acks in batch.items():
            self._dirty[job_id] = acks + self._dirty.get(job_id, [])
        self._flush_after(seconds)


def owner_check(shard: int, version: int) -> RowCheck:
    """Return the check that each write of an owner carries."""
    return RowCheck(owner_key(shard), version)
