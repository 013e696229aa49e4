"""Plan the jobs, keepers and tasks of one held shard."""

from typing import Mapping, Sequence

from hyssopring.configuration import ServicePolicy
from hyssopring.leases import HeldShard
from hyssopring.logs import Event, log_event
from hyssopring.membership import AgentRecord
from hyssopring.placement.chunk_writer import ChunkWriter
from hyssopring.placement.ports import PlannerPorts
from hyssopring.placement.records import CHUNK_TASKS, Chunk, TaskRecord
from hyssopring.placement.task_commands import TaskCommands
from hyssopring.placement.task_index import PlannedTask, TaskIndex
from hyssopring.placement.task_reconciler import GrantKey, TaskReconciler
from hyssopring.placement.task_states import TaskStates
from hyssopring.placement.task_steps import TaskSteps
from hyssopring.protocol.messages import Resources, TaskReport, TaskStatus
from hyssopring.store import Row
from hyssopring.tasks import StopMode, TaskKind

__all__ = ('ShardPlan', 'keeper_job_id')

# Minimum interval between writes of the checkpoints of running tasks.
_PROGRESS_INTERVAL_MS = 15_000.0
# How long the rows of a finished job are kept in the table.
_RETENTION_MS = 3_600_000.0


def keeper_job_id(service_name: str) -> str:
    """Return the id of a service's keeper set, distinct from all job ids."""
    return f'keeper.{service_name.replace("/", ".")}'


class ShardPlan:
    """Plan the tasks of one shard under one epoch.

    Attributes:
        held: The shard, with its epoch.
        is_loaded: Whether the rows of the table have been read.
        is_loading: Whether a read of the rows is in flight.
        is_dropped: Whether this entry has lost the shard.
        keepers_version: Configuration version that the numbers of keepers
            were last scaled to, -1 at first.
        index: The tasks by id and by job.
    """

    def __init__(
        self,
        held: HeldShard,
        writer: ChunkWriter,
        ports: PlannerPorts,
    ) -> None:
        """Create an empty plan; ``load`` adds the rows of the table."""
        self.held = held
        self.is_loaded = False
        self.is_loading = False
        self.is_dropped = False
        self.keepers_version = -1
        self._writer = writer
        self._ports = ports
        self._commands = TaskCommands(held, ports.links)
        self.index = TaskIndex()
        self._states = TaskStates(
            writer,
            ports,
            self._commands,
            self.index.requeue,
        )
        self._steps = TaskSteps(held, writer, ports, self._states)
        self._reconciler = TaskReconciler(
            held,
            writer,
            ports,
            self._commands,
            self._states,
        )
        self._ended_at_by_job: dict[str, float] = {}
        self._next_progress_ms: float = 0

    def load(self, rows: Sequence[Row]) -> None:
        """Load the tasks that earlier planners recorded."""
        for row in rows:
            self._add_chunk(Chunk.from_row(self.held.shard, row))
        now_ms = self._ports.clock.now()
        for job_id in self.index.jobs:
            if _has_ended(self.index.job_chunks(job_id)):
                self._ended_at_by_job[job_id] = now_ms
        self.is_loaded = True

    def flush(self) -> None:
        """Write changed chunks, and reported checkpoints at intervals."""
        now_ms = self._ports.clock.now()
        if (
            self._reconciler.progressed_chunk_by_key
            and now_ms >= self._next_progress_ms
        ):
            self._next_progress_ms = now_ms + _PROGRESS_INTERVAL_MS
            for chunk in self._reconciler.progressed_chunk_by_key.values():
                self._writer.mark_dirty(chunk)
            self._reconciler.progressed_chunk_by_key.clear()
        self._writer.flush()

    def handle_inbox_row(self, row: Row) -> None:
        """Accept or cancel a job; delete the row once that is written.

        Each inbox row has its own key and is read repeatedly until it is
        deleted. Handling it again has no effect.
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
        self._writer.delete_row_after(row.key, chunks)

    def accept_job(
        self,
        job_id: str,
        service_name: str,
        kind: TaskKind,
        count: int,
    ) -> None:
        """Add a job's tasks, except those that are already known.

        A planner that crashed may have written only the first chunks.
        """
        known_keys = {chunk.key for chunk in self.index.job_chunks(job_id)}
        chunks = Chunk.from_job(
            self.held.shard,
            job_id,
            service_name,
            kind,
            count,
        )
        missing = [chunk for chunk in chunks if chunk.key not in known_keys]
        for chunk in missing:
            self._add_new_chunk(chunk)
        if missing:
            log_event(Event.JOB_ACCEPTED, job=job_id, tasks=count)

    def cancel_job(self, job_id: str, task_id: str = '') -> None:
        """Cancel a job's unfinished tasks, or only ``task_id`` if given."""
        for chunk in self.index.job_chunks(job_id):
            for task in chunk.tasks:
                if task_id in {'', task.task_id}:
                    self._cancel_task(task)

    def scale_keepers(self, service_name: str, count: int) -> None:
        """Scale a service to ``count`` keepers, 0 if it was withdrawn.

        A cancelled keeper may keep running for a moment, or until its lease
        expires if its agent is unreachable. It is therefore never reused: each
        new keeper gets a new number.
        """
        job_id = keeper_job_id(service_name)
        chunks = self.index.job_chunks(job_id)
        unfinished = [
            task
            for chunk in chunks
            for task in chunk.tasks
            if not task.is_final
        ]
        for surplus in unfinished[count:]:
            self._cancel_task(surplus)
        missing = count - len(unfinished)
        if missing > 0:
            log_event(Event.JOB_ACCEPTED, job=job_id, tasks=missing)
            self._add_keepers(job_id, service_name, missing)

    def keeper_services(self) -> set[str]:
        """Return the services with keepers in this plan."""
        return {
            chunk.service_name
            for chunk in self.index.chunks
            if chunk.kind is TaskKind.KEEPER
        }

    def delete_finished_jobs(self) -> None:
        """Delete the rows of jobs older than the retention time.

        It counts from the first call after the job has ended, which logs the
        end; the planner calls this once per second.
        """
        now_ms = self._ports.clock.now()
        for job_id in self.index.jobs:
            chunks = self.index.job_chunks(job_id)
            if not _has_ended(chunks):
                self._ended_at_by_job.pop(job_id, None)
                continue
            if job_id not in self._ended_at_by_job:
                log_event(Event.JOB_FINISHED, job=job_id)
            ended_at = self._ended_at_by_job.setdefault(job_id, now_ms)
            if now_ms - ended_at > _RETENTION_MS:
                self._delete_job(job_id, chunks)

    def assign(
        self,
        planned: PlannedTask,
        agent_id: str,
        policy: ServicePolicy,
        size: Resources,
    ) -> None:
        """Assign a waiting task; its start is sent once that is written."""
        self._steps.assign(planned, agent_id, policy, size)

    def stop_at_checkpoint(self, planned: PlannedTask) -> None:
        """Stop a task at a checkpoint; it is requeued once it has stopped.

        It stays assigned until its agent reports that it has stopped, so that
        it never runs in two places. If the command is lost, the task runs on.
        """
        task = planned.task
        self._commands.stop(
            task.agent_id,
            task.task_id,
            task.attempt,
            StopMode.CHECKPOINT,
        )

    def throttle(self, planned: PlannedTask, share: float) -> None:
        """Limit a task to a share of its processor time."""
        planned.task.share = share
        self._commands.throttle(planned.task, share)

    def reclaim_expired(
        self, granted_at_by_key: Mapping[GrantKey, float]
    ) -> None:
        """Requeue tasks of unreachable workers whose leases have expired.

        Args:
            granted_at_by_key: Time of the last grant to each agent and
                worker boot, in clock milliseconds.
        """
        self._reconciler.reclaim_expired(granted_at_by_key)

    def handle_status(self, record: AgentRecord, status: TaskStatus) -> None:
        """Handle an agent's report of one attempt."""
        planned = self.index.task(status.task_id)
        if planned is None:
            self._reconciler.reject_status(record, status)
            return
        self._reconciler.handle_status(planned, record, status)

    def reconcile(self, record: AgentRecord, report: TaskReport) -> None:
        """Requeue assigned tasks that an agent's complete report lacks."""
        self._reconciler.reconcile(record, report)

    def _add_chunk(self, chunk: Chunk) -> None:
        self.index.add_chunk(self, chunk)
        for task in chunk.tasks:
            planned = self.index.task(task.task_id)
            if planned is not None:
                self._states.track(planned)

    def _cancel_task(self, task: TaskRecord) -> None:
        planned = self.index.task(task.task_id)
        if planned is not None:
            self._steps.cancel(planned)

    def _add_new_chunk(self, chunk: Chunk) -> None:
        now_ms = self._ports.clock.now()
        for task in chunk.tasks:
            task.waiting_since = now_ms
        self._add_chunk(chunk)
        self._writer.mark_dirty(chunk)

    def _add_keepers(self, job_id: str, service_name: str, count: int) -> None:
        """Add keepers to the last chunk, then to new chunks."""
        chunks = self.index.job_chunks(job_id)
        if chunks:
            last_chunk = chunks[-1]
            added = last_chunk.add_tasks(
                min(count, CHUNK_TASKS - len(last_chunk.tasks))
            )
            for task in added:
                task.waiting_since = self._ports.clock.now()
                self.index.add_task(self, last_chunk, task)
            self._writer.mark_dirty(last_chunk)
            count -= len(added)
        new_chunks = Chunk.from_job(
            self.held.shard,
            job_id,
            service_name,
            TaskKind.KEEPER,
            count,
            len(chunks),
        )
        for chunk in new_chunks:
            self._add_new_chunk(chunk)

    def _delete_job(self, job_id: str, chunks: Sequence[Chunk]) -> None:
        self.index.remove_job(job_id)
        self._ended_at_by_job.pop(job_id)
        for chunk in chunks:
            chunk.is_deleted = True
            self._writer.mark_dirty(chunk)
        self._writer.delete_row_after(f'jobs/{job_id}', chunks)
        log_event(Event.JOB_FORGOTTEN, job=job_id)


def _has_ended(chunks: Sequence[Chunk]) -> bool:
    return all(task.is_final for chunk in chunks for task in chunk.tasks)
