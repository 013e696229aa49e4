"""What is taken as evidence that an attempt of a task runs or has ended.

A task is placed anew only when its agent has said that the attempt is not
there or has ended, or when the lease under which it could run has run out for
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

# An agent and the boot of its worker that leases were granted for.
GrantKey = tuple[str, str]

_OVERRUN = 3


class TaskReconciler:
    """Takes agents' reports, and the lapse of leases, for one shard.

    Attributes:
        progressed: Rows with checkpoints that are not yet written.
    """

    def __init__(
        self,
        held: HeldShard,
        journal: ChunkWriter,
        ports: PlannerPorts,
        commands: TaskCommands,
        states: TaskStates,
    ) -> None:
        """Change ``states`` by what is certain."""
        self._held = held
        self._journal = journal
        self._ports = ports
        self._commands = commands
        self._states = states
        self.progressed: dict[str, Chunk] = {}

    def reclaim_lapsed(self, granted_at: Mapping[GrantKey, float]) -> None:
        """Take back tasks whose worker is out of reach past its leases.

        A worker of another boot under the same agent's name is no evidence:
        the VM may have been replaced while the old one still runs, cut off.
        """
        for agent_id in self._states.agent_ids:
            record = self._ports.fleet.agent(agent_id)
            boot = record.worker_boot if record else ''
            lost = [
                planned
                for planned in self._states.assigned_to(agent_id)
                if not boot or planned.task.worker_boot != boot
            ]
            for planned in lost:
                key = (agent_id, planned.task.worker_boot)
                if self._has_lapsed(planned, granted_at.get(key, 0)):
                    self._states.to_waiting(planned, 'lease lapsed')

    def take_status(
        self,
        planned: PlannedTask,
        record: AgentRecord,
        status: TaskStatus,
    ) -> None:
        """Take an agent's report of one attempt."""
        phase = TaskPhase(status.phase)
        task = planned.task
        is_same = (
            task.attempt == status.attempt and task.agent_id == record.agent_id
        )
        is_current = is_same and task.state is TaskState.ASSIGNED
        if phase not in FINAL_PHASES:
            if is_current:
                self._take_progress(planned, status)
            else:
                self.dismiss(record, status)
            return
        acknowledge = partial(
            self._commands.acknowledge,
            record.agent_id,
            status,
        )
        if is_current:
            self._states.end(planned, phase, status)
        elif phase is TaskPhase.COMPLETED:
            self._take_late_completion(planned, status)
        elif not is_same:
            acknowledge()
            return
        self._journal.mark(planned.chunk, acknowledge)

    def dismiss(self, record: AgentRecord, status: TaskStatus) -> None:
        """Answer a report of an attempt that is not wanted any more."""
        if TaskPhase(status.phase) in FINAL_PHASES:
            self._commands.acknowledge(record.agent_id, status)
            return
        self._commands.stop(record.agent_id, status.task_id, status.attempt)

    def reconcile(self, record: AgentRecord, report: TaskReport) -> None:
        """An agent that knows our epoch has named all tasks that it runs.

        A start sent on this same connection may have crossed the report on
        its way; taking it for lost would run the task in two places. Only
        starts of older connections or older planners are settled here, and
        only those for the worker boot that the report speaks of. An earlier
        attempt that has ended there does not stand for the present one, whose
        start was lost with its connection: no later report would tell.
        """
        if self._held.epoch != report.epoch or not report.worker_boot:
            return
        present = {
            status.task_id
            for status in report.tasks
            if TaskPhase(status.phase) not in FINAL_PHASES
        }
        ended = {(status.task_id, status.attempt) for status in report.tasks}
        for planned in self._states.assigned_to(record.agent_id):
            task = planned.task
            is_settled = (
                task.sent_generation < record.generation
                and task.worker_boot == report.worker_boot
            )
            is_named = (
                task.task_id in present or (task.task_id, task.attempt) in ended
            )
            if is_settled and not is_named:
                self._states.to_waiting(planned, 'not on its agent')

    def _has_lapsed(self, planned: PlannedTask, granted_at: float) -> bool:
        # An earlier planner may have granted until we took the shard.
        last = max(granted_at, self._held.acquired_at)
        lapse_ms = self._ports.lease_times.lapse_ms(planned.chunk.kind)
        return self._ports.clock.now() > last + lapse_ms

    def _take_progress(self, planned: PlannedTask, status: TaskStatus) -> None:
        task = planned.task
        now = self._ports.clock.now()
        if not task.is_confirmed:
            task.is_confirmed = True
            task.confirmed_at = now
            task.refusals = 0
        if status.checkpoint and status.checkpoint != task.checkpoint:
            task.checkpoint = status.checkpoint
            self.progressed[planned.chunk.key] = planned.chunk
        policy = self._ports.configuration.policy(planned.chunk.service_name)
        if policy is None or task.is_overrun:
            return
        is_batch = planned.chunk.kind is TaskKind.BATCH
        took = now - task.confirmed_at
        if is_batch and took > _OVERRUN * policy.run_ms:
            # Declared times are often far off: said, and left to run.
            task.is_overrun = True
            self._ports.metrics.count('tasks_overrun_total')
            log_event(Event.TASK_OVERRUN, task=task.task_id, took_ms=took)

    def _take_late_completion(
        self,
        planned: PlannedTask,
        status: TaskStatus,
    ) -> None:
        """An attempt that was given up has completed before it lapsed.

        Running the task again would do its work twice. A newer attempt is
        stopped; its planner never had two at once.
        """
        task = planned.task
        is_batch = planned.chunk.kind is TaskKind.BATCH
        if task.is_final or not is_batch or status.attempt > task.attempt:
            return
        was_assigned = task.state is TaskState.ASSIGNED
        task.checkpoint = status.checkpoint or task.checkpoint
        self._states.complete(planned)
        if was_assigned:
            self._states.stop_after(planned)
