"""The states of one shard's tasks, and which tasks each agent has.

Every change of state goes to the journal, also that back to waiting, which
says how long a task that failed or was refused is held back.
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
_STEADY_MS = 60_000.0
# A worker that refused a task for want of room may have some soon; one that
# failed it is tried again only when no other is left or much later.
_AVOID_MS_BY_PHASE = MappingProxyType(
    {TaskPhase.REFUSED: 1000.0, TaskPhase.FAILED: 600_000.0}
)


class TaskStates:
    """Moves tasks from one state to the next and records it."""

    def __init__(
        self,
        journal: ChunkWriter,
        ports: PlannerPorts,
        commands: TaskCommands,
        on_waiting: Callable[[str], None],
    ) -> None:
        """Write through ``journal``; tell ``on_waiting`` what waits again."""
        self._journal = journal
        self._ports = ports
        self._commands = commands
        self._on_waiting = on_waiting
        self._assigned_by_agent: defaultdict[str, dict[str, PlannedTask]]
        self._assigned_by_agent = defaultdict(dict)

    @property
    def agent_ids(self) -> tuple[str, ...]:
        """Agents that tasks are or were assigned to."""
        return tuple(self._assigned_by_agent)

    def assigned_to(self, agent_id: str) -> tuple[PlannedTask, ...]:
        """Return the tasks that are assigned to an agent."""
        return tuple(self._assigned_by_agent[agent_id].values())

    def adopt(self, planned: PlannedTask) -> None:
        """Follow a task whose record may say that it is assigned."""
        task = planned.task
        if task.state is TaskState.ASSIGNED:
            self._assigned_by_agent[task.agent_id][task.task_id] = planned

    def settle(self, planned: PlannedTask, state: TaskState) -> None:
        """Enter a state in which the task is with no agent."""
        task = planned.task
        self._assigned_by_agent[task.agent_id].pop(task.task_id, None)
        task.state = state
        task.why_waiting = ''
        self._journal.mark(planned.chunk)

    def complete(self, planned: PlannedTask) -> None:
        """The work of a batch task is done."""
        self.settle(planned, TaskState.COMPLETED)
        self._ports.metrics.count('tasks_completed_total')
        log_event(Event.TASK_FINISHED, task=planned.task.task_id)

    def to_waiting(self, planned: PlannedTask, why: str) -> None:
        """Place the task anew, after a pause if it failed or was refused."""
        task = planned.task
        if planned.chunk.kind is TaskKind.KEEPER and task.is_confirmed:
            self._ports.metrics.count('keepers_lost_total')
            log_event(
                Event.KEEPER_LOST,
                task=task.task_id,
                agent=task.agent_id,
                why=why,
            )
        self.settle(planned, TaskState.WAITING)
        now = self._ports.clock.now()
        task.is_confirmed = False
        task.not_before = now + _backoff_ms(task)
        task.waiting_since = now
        task.why_waiting = why
        self._on_waiting(task.task_id)

    def stop_after(self, planned: PlannedTask) -> None:
        """Stop an attempt that is not wanted, once its end is recorded."""
        task = planned.task
        stop = partial(
            self._commands.stop,
            task.agent_id,
            task.task_id,
            task.attempt,
        )
        self._journal.mark(planned.chunk, stop)

    def end(
        self,
        planned: PlannedTask,
        phase: TaskPhase,
        status: TaskStatus,
    ) -> None:
        """Take the end of a task's present attempt."""
        chunk, task = planned.chunk, planned.task
        is_batch = chunk.kind is TaskKind.BATCH
        self._note_health(planned, phase)
        task.checkpoint = status.checkpoint or task.checkpoint
        if phase is TaskPhase.COMPLETED and is_batch:
            self.complete(planned)
            return
        self._count_try(task, phase)
        policy = self._ports.configuration.policy(chunk.service_name)
        limit = policy.max_attempts if policy else 1
        if is_batch and task.failures >= limit:
            self.settle(planned, TaskState.FAILED)
            self._ports.metrics.count('tasks_failed_total')
            log_event(Event.TASK_FAILED, task=task.task_id, tries=task.failures)
            return
        self.to_waiting(planned, status.detail)

    def _note_health(self, planned: PlannedTask, phase: TaskPhase) -> None:
        """Learn which workers fail what they start."""
        chunk, task = planned.chunk, planned.task
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

    def _count_try(self, task: TaskRecord, phase: TaskPhase) -> None:
        if phase is TaskPhase.REFUSED:
            task.refusals += 1
        elif phase is not TaskPhase.STOPPED:
            ran_ms = self._ports.clock.now() - task.confirmed_at
            is_steady = task.is_confirmed and ran_ms > _STEADY_MS
            task.failures = 1 if is_steady else task.failures + 1


def _backoff_ms(task: TaskRecord) -> float:
    """Return how long a task waits after failures or refusals in a row."""
    backoff: float = 0
    if task.failures:
        doublings = min(task.failures, _MAX_BACKOFF_DOUBLINGS)
        backoff = _BACKOFF_MS * 2**doublings
    if task.refusals:
        doublings = min(task.refusals - 1, _MAX_REFUSAL_DOUBLINGS)
        backoff = max(backoff, _REFUSAL_BACKOFF_MS * 2**doublings)
    return backoff
