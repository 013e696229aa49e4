"""The tasks of one held shard, and every step that changes them.

A task is assigned in the table before its start is sent, under the shard's
epoch and a new attempt number. It is placed anew only when its agent has said
that the attempt is not there, or when the lease of an agent that cannot be
reached has run out for certain.
"""

from functools import partial
from types import MappingProxyType

from hyssopring.configuration import ServicePolicy
from hyssopring.leases import HeldShard
from hyssopring.logs import Event, log_event
from hyssopring.membership import AgentRecord
from hyssopring.placement.journal import Journal
from hyssopring.placement.ports import PlannerPorts
from hyssopring.placement.records import (
    Chunk,
    TaskRecord,
    TaskState,
)
from hyssopring.placement.task_commands import TaskCommands
from hyssopring.placement.task_index import PlannedTask, TaskIndex
from hyssopring.protocol.messages import (
    StartTask,
    Resources,
    TaskReport,
    TaskStatus,
)
from hyssopring.store.rows import Row
from hyssopring.tasks import FINAL_PHASES, StopMode, TaskKind, TaskPhase

__all__ = ('PlannerPorts', 'ShardPlan')

_BACKOFF_MS = 1000.0
_MAX_BACKOFF_DOUBLINGS = 5
# A worker that refused a task for want of room may have some soon; one that
# failed it is tried again only when no other is left or much later.
_AVOID_MS_BY_PHASE = MappingProxyType(
    {TaskPhase.REFUSED: 1000.0, TaskPhase.FAILED: 600_000.0}
)
# An assignment whose start is still to be sent: no report can settle it.
_NOT_SENT = 2**62


class ShardPlan:
    """Follows and changes the tasks of one shard under one epoch."""

    def __init__(
        self,
        held: HeldShard,
        journal: Journal,
        ports: PlannerPorts,
    ) -> None:
        """Start empty; ``load`` takes the table's rows."""
        self.held = held
        self.is_loaded = False
        self.is_loading = False
        self._journal = journal
        self._ports = ports
        self._commands = TaskCommands(held, ports.links)
        self.index = TaskIndex()

    def load(self, rows: list[Row]) -> None:
        """Take over what earlier planners recorded."""
        for row in rows:
            self.index.add(self, Chunk.from_row(self.held.shard, row))
        self.is_loaded = True

    def flush(self) -> None:
        """Write what changed."""
        self._journal.flush(self.index.chunks)

    def take_letter(self, row: Row) -> None:
        """Accept or cancel a job; the letter goes with the same write."""
        if row.document['what'] == 'submit':
            self.accept_job(
                row.document['job'],
                row.document['service'],
                TaskKind(row.document['kind']),
                row.document['tasks'],
            )
        else:
            self.cancel_job(row.document['job'], row.document.get('task', ''))
        self._journal.also_delete(row.key)

    def accept_job(
        self,
        job_id: str,
        service_name: str,
        kind: TaskKind,
        count: int,
    ) -> None:
        """Take in a job's tasks; a job that is known stays as it is."""
        if self.index.job_chunks(job_id):
            return
        chunks = Chunk.for_job(
            self.held.shard,
            job_id,
            service_name,
            kind,
            count,
        )
        now = self._ports.clock.now()
        for chunk in chunks:
            chunk.is_dirty = True
            self.index.add(self, chunk)
            for task in chunk.tasks:
                task.waiting_since = now
        log_event(Event.JOB_ACCEPTED, job=job_id, tasks=count)

    def cancel_job(self, job_id: str, task_id: str = '') -> None:
        """Cancel a job's tasks that have not ended, or the one named."""
        for planned in self.index.tasks:
            is_meant = task_id in {'', planned.task.task_id}
            if planned.chunk.job_id != job_id or planned.task.is_final:
                continue
            if is_meant:
                self._cancel(planned.chunk, planned.task)

    def assign(
        self,
        planned: PlannedTask,
        agent_id: str,
        policy: ServicePolicy,
        size: Resources,
    ) -> None:
        """Give a waiting task to an agent; its start follows the write."""
        chunk, task = planned.chunk, planned.task
        task.state = TaskState.ASSIGNED
        task.attempt += 1
        task.agent_id = agent_id
        task.is_confirmed = False
        task.sent_generation = _NOT_SENT
        task.why_waiting = ''
        task.share = 1
        chunk.is_dirty = True
        command = StartTask(
            task_id=task.task_id,
            shard=self.held.shard,
            epoch=self.held.epoch,
            attempt=task.attempt,
            kind=chunk.kind.value,
            service_name=chunk.service_name,
            size=size,
            checkpoint=task.checkpoint,
            run_ms=policy.run_ms,
            urgency=policy.urgency,
        )
        self._journal.when_written(partial(self._start, planned, command))

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

    def reclaim_lapsed(self, granted_at_by_agent: dict[str, float]) -> None:
        """Take back tasks of agents that are gone past their leases."""
        now = self._ports.clock.now()
        for planned in self.index.tasks:
            task = planned.task
            is_gone = self._ports.fleet.agent(task.agent_id) is None
            if task.state is not TaskState.ASSIGNED or not is_gone:
                continue
            # An earlier planner may have granted until we took the shard.
            granted_at = max(
                granted_at_by_agent.get(task.agent_id, 0),
                self.held.acquired_at,
            )
            lapse_ms = self._ports.times.lapse_ms(planned.chunk.kind)
            if now > granted_at + lapse_ms:
                self._to_waiting(planned.chunk, task, 'lease lapsed')

    def take_status(self, record: AgentRecord, status: TaskStatus) -> None:
        """Take an agent's word on one attempt."""
        planned = self.index.task(status.task_id)
        phase = TaskPhase(status.phase)
        if planned is None or not _is_wanted(planned.task, record, status):
            self._dismiss(record, status, phase)
            return
        task = planned.task
        if phase not in FINAL_PHASES:
            task.is_confirmed = True
            return
        if task.state is TaskState.ASSIGNED:
            self._end(planned.chunk, task, phase, status)
        self._journal.when_written(
            partial(self._commands.acknowledge, record.agent_id, status),
        )

    def reconcile(self, record: AgentRecord, report: TaskReport) -> None:
        """An agent that knows our epoch has named all tasks that it runs.

        A start sent on this same connection may have crossed the report on
        its way; taking it for lost would run the task in two places. Only
        starts of older connections or older planners are settled here.
        """
        if self.held.epoch != report.epoch:
            return
        present = {status.task_id for status in report.tasks}
        for planned in self.index.tasks:
            task = planned.task
            is_here = (
                task.state is TaskState.ASSIGNED
                and task.agent_id == record.agent_id
                and task.sent_generation < record.generation
            )
            if is_here and task.task_id not in present:
                self._to_waiting(planned.chunk, task, 'not on its agent')

    def _cancel(self, chunk: Chunk, task: TaskRecord) -> None:
        was_assigned = task.state is TaskState.ASSIGNED
        task.state = TaskState.CANCELLED
        chunk.is_dirty = True
        log_event(Event.TASK_CANCELLED, task=task.task_id)
        if was_assigned:
            self._journal.when_written(
                partial(
                    self._commands.stop,
                    task.agent_id,
                    task.task_id,
                    task.attempt,
                ),
            )

    def _start(self, planned: PlannedTask, command: StartTask) -> None:
        task = planned.task
        is_current = (
            task.state is TaskState.ASSIGNED and task.attempt == command.attempt
        )
        if not is_current:
            return
        record = self._ports.fleet.agent(task.agent_id)
        if record is None or not self._ports.links.send(
            task.agent_id,
            command,
        ):
            # Nothing was sent, so the attempt runs nowhere.
            self._to_waiting(planned.chunk, task, 'agent has gone')
            return
        task.sent_generation = record.generation

    def _dismiss(
        self,
        record: AgentRecord,
        status: TaskStatus,
        phase: TaskPhase,
    ) -> None:
        """Answer a report of an attempt that is not wanted any more."""
        if phase in FINAL_PHASES:
            self._commands.acknowledge(record.agent_id, status)
            return
        self._commands.stop(record.agent_id, status.task_id, status.attempt)

    def _end(
        self,
        chunk: Chunk,
        task: TaskRecord,
        phase: TaskPhase,
        status: TaskStatus,
    ) -> None:
        is_batch = chunk.kind is TaskKind.BATCH
        self._note_health(chunk, task, phase)
        task.checkpoint = status.checkpoint or task.checkpoint
        if phase is TaskPhase.COMPLETED and is_batch:
            task.state = TaskState.COMPLETED
            chunk.is_dirty = True
            self._ports.metrics.count('tasks_completed_total')
            log_event(Event.TASK_FINISHED, task=task.task_id)
            return
        if phase is TaskPhase.FAILED:
            task.failures += 1
        self._to_waiting(chunk, task, status.detail)
        policy = self._ports.configuration.policy(chunk.service_name)
        limit = policy.max_attempts if policy else 1
        if is_batch and task.failures >= limit:
            task.state = TaskState.FAILED
            log_event(Event.TASK_FAILED, task=task.task_id, tries=task.failures)

    def _note_health(
        self,
        chunk: Chunk,
        task: TaskRecord,
        phase: TaskPhase,
    ) -> None:
        """Learn which workers fail what they start."""
        now = self._ports.clock.now()
        health = self._ports.health
        if phase is TaskPhase.COMPLETED:
            health.on_success(task.agent_id, chunk.service_name, now)
        if phase is TaskPhase.FAILED:
            workers = len(self._ports.fleet.agents)
            health.on_failure(task.agent_id, chunk.service_name, now, workers)
        avoid_ms = _AVOID_MS_BY_PHASE.get(phase)
        if avoid_ms is not None:
            task.avoid_until_by_agent[task.agent_id] = now + avoid_ms

    def _to_waiting(self, chunk: Chunk, task: TaskRecord, why: str) -> None:
        if chunk.kind is TaskKind.KEEPER:
            log_event(
                Event.KEEPER_LOST,
                task=task.task_id,
                agent=task.agent_id,
                why=why,
            )
        task.state = TaskState.WAITING
        self.index.wait(task.task_id)
        task.is_confirmed = False
        doublings = min(task.failures, _MAX_BACKOFF_DOUBLINGS)
        backoff = _BACKOFF_MS * 2**doublings if task.failures else 0
        now = self._ports.clock.now()
        task.not_before = now + backoff
        task.waiting_since = now
        task.why_waiting = why
        chunk.is_dirty = True


def _is_wanted(
    task: TaskRecord,
    record: AgentRecord,
    status: TaskStatus,
) -> bool:
    return (
        not task.is_final
        and task.attempt == status.attempt
        and task.agent_id == record.agent_id
    )
