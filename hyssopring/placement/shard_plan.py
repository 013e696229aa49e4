"""The jobs, keepers and tasks of one held shard."""

from typing import Mapping, Sequence

from hyssopring.configuration import ServicePolicy
from hyssopring.leases import HeldShard
from hyssopring.logs import Event, log_event
from hyssopring.membership import AgentRecord
from hyssopring.placement.chunk_writer import ChunkWriter
from hyssopring.placement.ports import PlannerPorts
from hyssopring.placement.records import CHUNK_TASKS, Chunk, TaskRecord
from hyssopring.placement.task_commands import TaskCommands
from hyssopring.placement.task_reconciler import GrantKey, TaskReconciler
from hyssopring.placement.task_index import PlannedTask, TaskIndex
from hyssopring.placement.task_states import TaskStates
from hyssopring.placement.task_steps import TaskSteps
from hyssopring.protocol.messages import Resources, TaskReport, TaskStatus
from hyssopring.store import Row
from hyssopring.tasks import StopMode, TaskKind

__all__ = ('ShardPlan', 'keeper_job_id')

# Checkpoints that running tasks report are written this often at most.
_PROGRESS_MS = 15_000.0
# How long the rows of a finished job are kept.
_RETENTION_MS = 3_600_000.0


def keeper_job_id(service_name: str) -> str:
    """Return the id of a keeper set; no job or other set can have it."""
    return f'keeper.{service_name.replace("/", ".")}'


class ShardPlan:
    """Follows and changes the tasks of one shard under one epoch."""

    def __init__(
        self,
        held: HeldShard,
        journal: ChunkWriter,
        ports: PlannerPorts,
    ) -> None:
        """Start empty; ``load`` takes the table's rows."""
        self.held = held
        self.is_loaded = False
        self.is_loading = False
        self.is_dropped = False
        self.keepers_version = -1
        self._journal = journal
        self._ports = ports
        self._commands = TaskCommands(held, ports.links)
        self.index = TaskIndex()
        self._states = TaskStates(
            journal,
            ports,
            self._commands,
            self.index.wait,
        )
        self._steps = TaskSteps(held, journal, ports, self._states)
        self._evidence = TaskReconciler(
            held,
            journal,
            ports,
            self._commands,
            self._states,
        )
        self._final_since_by_job: dict[str, float] = {}
        self._progress_due: float = 0

    def load(self, rows: Sequence[Row]) -> None:
        """Take over what earlier planners recorded."""
        for row in rows:
            self._add(Chunk.from_row(self.held.shard, row))
        now = self._ports.clock.now()
        for job_id in self.index.jobs:
            if _is_over(self.index.job_chunks(job_id)):
                self._final_since_by_job[job_id] = now
        self.is_loaded = True

    def flush(self) -> None:
        """Write what changed."""
        now = self._ports.clock.now()
        if self._evidence.progressed and now >= self._progress_due:
            self._progress_due = now + _PROGRESS_MS
            for chunk in self._evidence.progressed.values():
                self._journal.mark(chunk)
            self._evidence.progressed.clear()
        self._journal.flush()

    def handle_inbox_row(self, row: Row) -> None:
        """Accept or cancel a job; the row goes once that is written.

        Each inbox row has a key of its own and is read again until it is gone:
        taking it twice changes nothing more.
        """
        job_id = row.document['job']
        if row.document['what'] == 'submit':
            self.accept_job(
                job_id,
                row.document['service'],
                TaskKind(row.document['kind']),
                row.document['tasks'],
            )
        else:
            self.cancel_job(job_id, row.document.get('task', ''))
        chunks = self.index.job_chunks(job_id)
        self._journal.delete_after(row.key, chunks)

    def accept_job(
        self,
        job_id: str,
        service_name: str,
        kind: TaskKind,
        count: int,
    ) -> None:
        """Take in a job's tasks; those that are known stay as they are.

        A planner that died may have written only the first chunks.
        """
        known = {chunk.key for chunk in self.index.job_chunks(job_id)}
        chunks = Chunk.for_job(
            self.held.shard,
            job_id,
            service_name,
            kind,
            count,
        )
        lacking = [chunk for chunk in chunks if chunk.key not in known]
        for chunk in lacking:
            self._add_new(chunk)
        if lacking:
            log_event(Event.JOB_ACCEPTED, job=job_id, tasks=count)

    def cancel_job(self, job_id: str, task_id: str = '') -> None:
        """Cancel a job's tasks that have not ended, or the one named."""
        for chunk in self.index.job_chunks(job_id):
            for task in chunk.tasks:
                if task_id in {'', task.task_id}:
                    self._cancel(task)

    def keep_up(self, service_name: str, count: int) -> None:
        """Have so many keepers of a service; a withdrawn one has none.

        A keeper that was cancelled may still run for a moment, or as long as
        its lease where it cannot be reached: it is never taken up again, a
        new keeper gets a new number.
        """
        job_id = keeper_job_id(service_name)
        chunks = self.index.job_chunks(job_id)
        wanted = [
            task
            for chunk in chunks
            for task in chunk.tasks
            if not task.is_final
        ]
        for surplus in wanted[count:]:
            self._cancel(surplus)
        lacking = count - len(wanted)
        if lacking > 0:
            log_event(Event.JOB_ACCEPTED, job=job_id, tasks=lacking)
            self._add_keepers(job_id, service_name, lacking)

    def keeper_services(self) -> set[str]:
        """Return the services that this plan has keepers of."""
        return {
            chunk.service_name
            for chunk in self.index.chunks
            if chunk.kind is TaskKind.KEEPER
        }

    def forget_finished(self) -> None:
        """Delete the rows of jobs that ended long ago; call each second.

        A job's end is logged when it is first seen here, within a second.
        """
        now = self._ports.clock.now()
        for job_id in self.index.jobs:
            chunks = self.index.job_chunks(job_id)
            if not _is_over(chunks):
                self._final_since_by_job.pop(job_id, None)
                continue
            if job_id not in self._final_since_by_job:
                log_event(Event.JOB_FINISHED, job=job_id)
            since = self._final_since_by_job.setdefault(job_id, now)
            if now - since > _RETENTION_MS:
                self._forget(job_id, chunks)

    def assign(
        self,
        planned: PlannedTask,
        agent_id: str,
        policy: ServicePolicy,
        size: Resources,
    ) -> None:
        """Give a waiting task to an agent; its start follows the write."""
        self._steps.assign(planned, agent_id, policy, size)

    def checkpoint(self, planned: PlannedTask) -> None:
        """Stop a task at a checkpoint; it waits again once it has stopped.

        It stays assigned until its agent reports it stopped, so that it can
        never run in two places; a message that is lost stops nothing.
        """
        task = planned.task
        self._commands.stop(
            task.agent_id,
            task.task_id,
            task.attempt,
            StopMode.CHECKPOINT,
        )

    def throttle(self, planned: PlannedTask, share: float) -> None:
        """Leave a task this share of its processor time."""
        planned.task.share = share
        self._commands.throttle(planned.task, share)

    def reclaim_lapsed(self, granted_at: Mapping[GrantKey, float]) -> None:
        """Take back tasks of workers out of reach past their leases."""
        self._evidence.reclaim_lapsed(granted_at)

    def take_status(self, record: AgentRecord, status: TaskStatus) -> None:
        """Take an agent's report of one attempt."""
        planned = self.index.task(status.task_id)
        if planned is None:
            self._evidence.dismiss(record, status)
            return
        self._evidence.take_status(planned, record, status)

    def reconcile(self, record: AgentRecord, report: TaskReport) -> None:
        """Take an agent's complete report: what it lacks is not there."""
        self._evidence.reconcile(record, report)

    def _add(self, chunk: Chunk) -> None:
        self.index.add(self, chunk)
        for task in chunk.tasks:
            planned = self.index.task(task.task_id)
            if planned is not None:
                self._states.adopt(planned)

    def _cancel(self, task: TaskRecord) -> None:
        planned = self.index.task(task.task_id)
        if planned is not None:
            self._steps.cancel(planned)

    def _add_new(self, chunk: Chunk) -> None:
        now = self._ports.clock.now()
        for task in chunk.tasks:
            task.waiting_since = now
        self._add(chunk)
        self._journal.mark(chunk)

    def _add_keepers(self, job_id: str, service_name: str, count: int) -> None:
        """Fill the last chunk, then cut new ones."""
        chunks = self.index.job_chunks(job_id)
        if chunks:
            last = chunks[-1]
            added = last.grow(min(count, CHUNK_TASKS - len(last.tasks)))
            for task in added:
                task.waiting_since = self._ports.clock.now()
                self.index.add_task(self, last, task)
            self._journal.mark(last)
            count -= len(added)
        new = Chunk.for_job(
            self.held.shard,
            job_id,
            service_name,
            TaskKind.KEEPER,
            count,
            len(chunks),
        )
        for chunk in new:
            self._add_new(chunk)

    def _forget(self, job_id: str, chunks: Sequence[Chunk]) -> None:
        self.index.forget_job(job_id)
        self._final_since_by_job.pop(job_id)
        for chunk in chunks:
            chunk.is_forgotten = True
            self._journal.mark(chunk)
        self._journal.delete_after(f'jobs/{job_id}', chunks)
        log_event(Event.JOB_FORGOTTEN, job=job_id)


def _is_over(chunks: Sequence[Chunk]) -> bool:
    return all(task.is_final for chunk in chunks for task in chunk.tasks)
