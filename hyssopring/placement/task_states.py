"""State transitions of one shard's tasks, and the tasks of each agent.

Every transition is written to the table. A task that failed or was refused
is requeued with a backoff.
"""

from collections import defaultdict
from functools import partial
from types import MappingProxyType
from typing import Callable

from hyssopring.logs import Event, log_event
from hyssopring.placement.chunk_writer import ChunkWriter
from hyssopring.placement.ports import PlannerPorts
from hyssopring.placement.records import TaskRecord, TaskState
from hyssopring.placement.task_commands import TaskCommands
from hyssopring.placement.task_index import PlannedTask
from hyssopring.protocol.messages import TaskStatus
from hyssopring.tasks import TaskKind, TaskPhase

__all__ = ('TaskStates',)

_BACKOFF_MS = 1000.0
_MAX_BACKOFF_DOUBLINGS = 5
_REFUSAL_BACKOFF_MS = 250.0
_MAX_REFUSAL_DOUBLINGS = 5
_STEADY_RUN_MS = 60_000.0
# A worker that refused a task for lack of capacity may have some soon. One on
# which it failed is avoided for much longer.
_AVOID_MS_BY_PHASE = MappingProxyType(
    {TaskPhase.REFUSED: 1000.0, TaskPhase.FAILED: 600_000.0}
)


class TaskStates:
    """Change the states of tasks and record each change."""

    def __init__(
        self,
        writer: ChunkWriter,
        ports: PlannerPorts,
        commands: TaskCommands,
        on_requeued: Callable[[str], None],
    ) -> None:
        """Create the states of a shard's tasks.

        Args:
            writer: Writes changed chunks to the table.
            ports: Clock, fleet, configuration, metrics and worker health.
            commands: Sends commands to agents.
            on_requeued: Called with the id of each requeued task.
        """
        self._writer = writer
        self._ports = ports
        self._commands = commands
        self._on_requeued = on_requeued
        self._assigned_by_agent: defaultdict[str, dict[str, PlannedTask]]
        self._assigned_by_agent = defaultdict(dict)

    @property
    def agent_ids(self) -> tuple[str, ...]:
        """Agents with current or former assignments."""
        return tuple(self._assigned_by_agent)

    def assigned_to(self, agent_id: str) -> tuple[PlannedTask, ...]:
        """Return the tasks that are assigned to an agent."""
        return tuple(self._assigned_by_agent[agent_id].values())

    def track(self, planned: PlannedTask) -> None:
        """Add a task to its agent's tasks if it is assigned."""
        task = planned.task
        if task.state is TaskState.ASSIGNED:
            self._assigned_by_agent[task.agent_id][task.task_id] = planned

    def unassign(self, planned: PlannedTask, state: TaskState) -> None:
        """Enter a state in which the task has no agent."""
        task = planned.task
        self._assigned_by_agent[task.agent_id].pop(task.task_id, None)
        task.state = state
        task.why_waiting = ''
        self._writer.mark_dirty(planned.chunk)

    def complete(self, planned: PlannedTask) -> None:
        """Record that a batch task has completed."""
        self.unassign(planned, TaskState.COMPLETED)
        self._ports.metrics.count('tasks_completed_total')
        log_event(Event.TASK_FINISHED, task=planned.task.task_id)

    def requeue(self, planned: PlannedTask, reason: str) -> None:
        """Requeue a task, with a backoff if it failed or was refused."""
        task = planned.task
        if planned.chunk.kind is TaskKind.KEEPER and task.is_confirmed:
            self._ports.metrics.count('keepers_lost_total')
            log_event(
                Event.KEEPER_LOST,
                task=task.task_id,
                agent=task.agent_id,
                why=reason,
            )
        self.unassign(planned, TaskState.WAITING)
        now_ms = self._ports.clock.now()
        task.is_confirmed = False
        task.not_before = now_ms + _backoff_ms(task)
        task.waiting_since = now_ms
        task.why_waiting = reason
        self._on_requeued(task.task_id)

    def stop_once_written(self, planned: PlannedTask) -> None:
        """Stop the current attempt once the task's new state is written."""
        task = planned.task
        stop = partial(
            self._commands.stop,
            task.agent_id,
            task.task_id,
            task.attempt,
        )
        self._writer.mark_dirty(planned.chunk, stop)

    def handle_end(
        self,
        planned: PlannedTask,
        phase: TaskPhase,
        status: TaskStatus,
    ) -> None:
        """Handle the end of a task's current attempt."""
        chunk, task = planned.chunk, planned.task
        is_batch = chunk.kind is TaskKind.BATCH
        self._update_worker_health(planned, phase)
        task.checkpoint = status.checkpoint or task.checkpoint
        if phase is TaskPhase.COMPLETED and is_batch:
            self.complete(planned)
            return
        self._count_failure(task, phase)
        policy = self._ports.configuration.policy(chunk.service_name)
        max_attempts = policy.max_attempts if policy else 1
        if is_batch and task.failures >= max_attempts:
            self.unassign(planned, TaskState.FAILED)
            self._ports.metrics.count('tasks_failed_total')
            log_event(Event.TASK_FAILED, task=task.task_id, tries=task.failures)
            return
        self.requeue(planned, status.detail)

    def _update_worker_health(
        self, planned: PlannedTask, phase: TaskPhase
    ) -> None:
        """Update the worker's health and the workers that the task avoids."""
        chunk, task = planned.chunk, planned.task
        now_ms = self._ports.clock.now()
        health = self._ports.health
        if phase is TaskPhase.COMPLETED:
            health.on_success(task.agent_id, chunk.service_name, now_ms)
        if phase is TaskPhase.FAILED:
            worker_count = len(self._ports.fleet.agents)
            health.on_failure(
                task.agent_id, chunk.service_name, now_ms, worker_count
            )
        avoid_ms = _AVOID_MS_BY_PHASE.get(phase)
        if avoid_ms is not None:
            task.avoid_until_by_agent[task.agent_id] = now_ms + avoid_ms

    def _count_failure(self, task: TaskRecord, phase: TaskPhase) -> None:
        if phase is TaskPhase.REFUSED:
            task.refusals += 1
        elif phase is not TaskPhase.STOPPED:
            ran_ms = self._ports.clock.now() - task.confirmed_at
            is_steady = task.is_confirmed and ran_ms > _STEADY_RUN_MS
            task.failures = 1 if is_steady else task.failures + 1


def _backoff_ms(task: TaskRecord) -> float:
    """Return the backoff after consecutive failures or refusals."""
    backoff_ms: float = 0
    if task.failures:
        doublings = min(task.failures, _MAX_BACKOFF_DOUBLINGS)
        backoff_ms = _BACKOFF_MS * 2**doublings
    if task.refusals:
        doublings = min(task.refusals - 1, _MAX_REFUSAL_DOUBLINGS)
        backoff_ms = max(backoff_ms, _REFUSAL_BACKOFF_MS * 2**doublings)
    return backoff_ms
