"""Makes the progress of a shard's jobs durable."""

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

# Ends that come within this time share a transaction; a job is shown as
# completed this much later.
_MERGE_S: Final = 0.02
_RETRY_S: Final = 0.2
# A transaction holds at most 100 entries: a job takes two, the owner's check
# one.
_MAX_JOBS: Final = 45


@dataclass(frozen=True, slots=True)
class Ack:
    """An end that the agent may forget once it is durable."""

    agent_id: str
    boot: str
    number: int


_AcksByJob = dict[str, list[Ack]]


class ProgressWriter:
    """Writes under one reign, one transaction at a time.

    Each write checks the owner's row: a deposed owner writes nothing, however
    late its calls are carried out.
    """

    def __init__(
        self,
        reactor: Any,
        wall_ms: Callable[[], float],
        store: RowStore,
        owner_check: RowCheck,
        by_job: Mapping[str, JobRecord],
        on_acks: Callable[[list[Ack]], None],
        on_deposed: Callable[[], None],
    ) -> None:
        """Write what ``save`` names of ``by_job``."""
        self._reactor = reactor
        self._wall_ms = wall_ms
        self._store = store
        self._owner_check = owner_check
        self._by_job = by_job
        self._on_acks = on_acks
        self._on_deposed = on_deposed
        self._dirty: _AcksByJob = {}
        self._is_flushing = False
        self.is_stopped = False

    def save(self, job_id: str, ack: Ack | None = None) -> None:
        """Make a job's progress durable, then acknowledge an end."""
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
        taken = dict(list(self._dirty.items())[:_MAX_JOBS])
        for job_id in taken:
            self._dirty.pop(job_id)
        # A job that has ended long ago may have been forgotten since.
        taken = {
            job_id: acks
            for job_id, acks in taken.items()
            if job_id in self._by_job
        }
        checks = [self._row_check(job_id) for job_id in taken]
        puts = [self._put(job_id) for job_id in taken]
        states = {job_id: self._by_job[job_id].final_state for job_id in taken}
        saving = self._store.commit(
            Transaction((self._owner_check, *checks), tuple(puts)),
        )
        saving.addCallbacks(
            self._flushed,
            self._flush_failed,
            callbackArgs=(taken, states),
            errbackArgs=(taken,),
        )

    def _row_check(self, job_id: str) -> RowCheck:
        """Let a write be carried out only on the row that it was made from.

        A write without an answer may be carried out seconds later, after
        newer ones of the same owner, and would take their ends back: tasks
        that were done would start again under the next owner.
        """
        return RowCheck(progress_key(job_id), self._by_job[job_id].version)

    def _put(self, job_id: str) -> RowPut:
        record = self._by_job[job_id]
        progress = record.progress
        if record.final_state is not None and not progress.state:
            progress.state = record.final_state.value
            progress.ended_ms = self._wall_ms()
        return RowPut(progress_key(job_id), progress.to_text())

    def _flushed(
        self,
        outcome: Committed | Conflict,
        taken: _AcksByJob,
        states: dict[str, JobState | None],
    ) -> None:
        self._is_flushing = False
        if isinstance(outcome, Conflict):
            self._rewrite(outcome, taken)
            return
        for job_id, state in states.items():
            self._by_job[job_id].version = outcome.version
            self._publish(job_id, state)
        self._on_acks([ack for acks in taken.values() for ack in acks])
        if self._dirty:
            self._flush_after(0)

    def _rewrite(self, conflict: Conflict, taken: _AcksByJob) -> None:
        """A former write was carried out after all, or another one owns."""
        version_by_place = {row.row_key: row.version for row in conflict.rows}
        check = self._owner_check
        if version_by_place.get(check.row_key) != check.version:
            self._on_deposed()
            return
        for job_id in taken:
            place = progress_key(job_id)
            self._by_job[job_id].version = version_by_place.get(place, 0)
        self._again(taken, 0)

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

    def _flush_failed(
        self,
        failure: TwistedFailure,
        taken: _AcksByJob,
    ) -> None:
        failure.trap(StoreRefused, StoreUncertain)
        self._is_flushing = False
        self._again(taken, _RETRY_S)

    def _again(self, taken: _AcksByJob, seconds: float) -> None:
        for job_id, acks in taken.items():
            self._dirty[job_id] = acks + self._dirty.get(job_id, [])
        self._flush_after(seconds)


def owner_check(shard: int, version: int) -> RowCheck:
    """Return the check that each write of an owner carries."""
    return RowCheck(owner_key(shard), version)
