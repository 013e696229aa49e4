"""Reconcile a shard's tasks with agents' reports and expired leases.

A task is placed again only when its agent has reported that the attempt ended
or does not exist, or when the lease under which it may run has expired for
certain.
"""

from functools import partial
from typing import Mapping

from hyssopring.leases import HeldShard
from hyssopring.logs import Event, log_event
from hyssopring.membership import AgentRecord
from hyssopring.placement.chunk_writer import ChunkWriter
from hyssopring.placement.ports import PlannerPorts
from hyssopring.placement.records import Chunk, TaskState
from hyssopring.placement.task_commands import TaskCommands
from hyssopring.placement.task_index import PlannedTask
from hyssopring.placement.task_states import TaskStates
from hyssopring.protocol.messages import TaskReport, TaskStatus
from hyssopring.tasks import FINAL_PHASES, TaskKind, TaskPhase

__all__ = ('GrantKey', 'TaskReconciler')

# Agent and worker boot that leases were granted to.
GrantKey = tuple[str, str]

# Multiple of the declared run time after which an overrun is logged.
_OVERRUN_FACTOR = 3


class TaskReconciler:
    """Apply agents' reports and lease expiry to the tasks of one shard.

    Attributes:
        progressed_chunk_by_key: Chunks with checkpoints not yet written.
    """

    def __init__(
        self,
        held: HeldShard,
        writer: ChunkWriter,
        ports: PlannerPorts,
        commands: TaskCommands,
        states: TaskStates,
    ) -> None:
        """Create a reconciler that applies changes through ``states``."""
        self._held = held
        self._writer = writer
        self._ports = ports
        self._commands = commands
        self._states = states
        self.progressed_chunk_by_key: dict[str, Chunk] = {}

    def reclaim_expired(
        self, granted_at_by_key: Mapping[GrantKey, float]
    ) -> None:
        """Requeue tasks of unreachable workers whose leases have expired.

        A different worker boot under the same agent id does not prove that
        the task has stopped: the VM may have been replaced while the old one
        still runs behind a network partition.

        Args:
            granted_at_by_key: Time of the last grant to each agent and
                worker boot, in clock milliseconds.
        """
        for agent_id in self._states.agent_ids:
            record = self._ports.fleet.agent(agent_id)
            boot = record.worker_boot if record else ''
            of_other_boots = [
                planned
                for planned in self._states.assigned_to(agent_id)
                if not boot or planned.task.worker_boot != boot
            ]
            for planned in of_other_boots:
                key = (agent_id, planned.task.worker_boot)
                if self._has_expired(planned, granted_at_by_key.get(key, 0)):
                    self._states.requeue(planned, 'lease lapsed')

    def handle_status(
        self,
        planned: PlannedTask,
        record: AgentRecord,
        status: TaskStatus,
    ) -> None:
        """Handle an agent's report of one attempt of a known task."""
        phase = TaskPhase(status.phase)
        task = planned.task
        is_same_attempt = (
            task.attempt == status.attempt and task.agent_id == record.agent_id
        )
        is_current = is_same_attempt and task.state is TaskState.ASSIGNED
        if phase not in FINAL_PHASES:
            if is_current:
                self._record_progress(planned, status)
            else:
                self.reject_status(record, status)
            return
        acknowledge = partial(
            self._commands.acknowledge,
            record.agent_id,
            status,
        )
        if is_current:
            self._states.handle_end(planned, phase, status)
        elif phase is TaskPhase.COMPLETED:
            self._record_late_completion(planned, status)
        elif not is_same_attempt:
            acknowledge()
            return
        self._writer.mark_dirty(planned.chunk, acknowledge)

    def reject_status(self, record: AgentRecord, status: TaskStatus) -> None:
        """Stop an attempt that is not current, or acknowledge its end."""
        if TaskPhase(status.phase) in FINAL_PHASES:
            self._commands.acknowledge(record.agent_id, status)
            return
        self._commands.stop(record.agent_id, status.task_id, status.attempt)

    def reconcile(self, record: AgentRecord, report: TaskReport) -> None:
        """Requeue assigned tasks that an agent's complete report lacks.

        A start sent on the current connection may have crossed the report;
        treating it as lost could run the task in two places. Therefore only
        starts sent on older connections or by older planners are reconciled,
        and only those for the worker boot of the report. A reported end of an
        earlier attempt does not cover the current attempt: if its start was
        lost with a connection, no later report would show that.
        """
        if self._held.epoch != report.epoch or not report.worker_boot:
            return
        live_task_ids = {
            status.task_id
            for status in report.tasks
            if TaskPhase(status.phase) not in FINAL_PHASES
        }
        reported_attempts = {
            (status.task_id, status.attempt) for status in report.tasks
        }
        for planned in self._states.assigned_to(record.agent_id):
            task = planned.task
            is_reconcilable = (
                task.sent_generation < record.generation
                and task.worker_boot == report.worker_boot
            )
            is_reported = (
                task.task_id in live_task_ids
                or (task.task_id, task.attempt) in reported_attempts
            )
            if is_reconcilable and not is_reported:
                self._states.requeue(planned, 'not on its agent')

    def _has_expired(self, planned: PlannedTask, granted_at: float) -> bool:
        # An earlier planner may have granted leases until this entry
        # acquired the shard.
        last_granted_at = max(granted_at, self._held.acquired_at)
        expiry_ms = self._ports.lease_times.expiry_ms(planned.chunk.kind)
        return self._ports.clock.now() > last_granted_at + expiry_ms

    def _record_progress(
        self, planned: PlannedTask, status: TaskStatus
    ) -> None:
        task = planned.task
        now_ms = self._ports.clock.now()
        if not task.is_confirmed:
            task.is_confirmed = True
            task.confirmed_at = now_ms
            task.refusals = 0
        if status.checkpoint and status.checkpoint != task.checkpoint:
            task.checkpoint = status.checkpoint
            self.progressed_chunk_by_key[planned.chunk.key] = planned.chunk
        policy = self._ports.configuration.policy(planned.chunk.service_name)
        if policy is None or task.is_overrun:
            return
        is_batch = planned.chunk.kind is TaskKind.BATCH
        took_ms = now_ms - task.confirmed_at
        if is_batch and took_ms > _OVERRUN_FACTOR * policy.run_ms:
            # Declared run times are often inaccurate, so the task runs on.
            task.is_overrun = True
            self._ports.metrics.count('tasks_overrun_total')
            log_event(Event.TASK_OVERRUN, task=task.task_id, took_ms=took_ms)

    def _record_late_completion(
        self,
        planned: PlannedTask,
        status: TaskStatus,
    ) -> None:
        """Record the completion of an attempt that was already requeued.

        Running the task again would repeat its work. A newer attempt, which
        cannot have run at the same time, is stopped.
        """
        task = planned.task
        is_batch = planned.chunk.kind is TaskKind.BATCH
        if task.is_final or not is_batch or status.attempt > task.attempt:
            return
        was_assigned = task.state is TaskState.ASSIGNED
        task.checkpoint = status.checkpoint or task.checkpoint
        self._states.complete(planned)
        if was_assigned:
            self._states.stop_once_written(planned)
