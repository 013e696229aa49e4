"""Every step that changes a task, and the evidence that each needs.

A task is assigned in the table before its start is sent, under the shard's
epoch and a new attempt number. It is placed anew only when its agent has said
that the attempt is not there or has ended, when nothing was sent, or when the
lease under which it could run has run out for certain.
"""

from collections import defaultdict
from functools import partial
from types import MappingProxyType
from typing import Callable, Mapping

from hyssopring.configuration import ServicePolicy
from hyssopring.invariants import Invariants
from hyssopring.leases import HeldShard
from hyssopring.logs import Event, log_event
from hyssopring.membership import AgentRecord
from hyssopring.placement.journal import Journal
from hyssopring.placement.ports import PlannerPorts
from hyssopring.placement.records import Chunk, TaskRecord, TaskState
from hyssopring.placement.task_commands import TaskCommands
from hyssopring.placement.task_index import PlannedTask
from hyssopring.protocol.messages import (
    Resources,
    StartTask,
    TaskReport,
    TaskStatus,
)
from hyssopring.tasks import FINAL_PHASES, TaskKind, TaskPhase

__all__ = ('GrantKey', 'TaskSteps')

# An agent and the boot of its worker that leases were granted for.
GrantKey = tuple[str, str]

_BACKOFF_MS = 1000.0
_MAX_BACKOFF_DOUBLINGS = 5
_REFUSAL_BACKOFF_MS = 250.0
_MAX_REFUSAL_DOUBLINGS = 5
_STEADY_MS = 60_000.0
_OVERRUN = 3
# A worker that refused a task for want of room may have some soon; one that
# failed it is tried again only when no other is left or much later.
_AVOID_MS_BY_PHASE = MappingProxyType(
    {TaskPhase.REFUSED: 1000.0, TaskPhase.FAILED: 600_000.0}
)
# An assignment whose start is still to be sent: no report can settle it.
_NOT_SENT = 2**62


class TaskSteps:
    """Changes the tasks of one shard under one epoch."""

    def __init__(
        self,
        held: HeldShard,
        journal: Journal,
        ports: PlannerPorts,
        commands: TaskCommands,
        on_waiting: Callable[[str], None],
    ) -> None:
        """Write through ``journal``; tell ``on_waiting`` what waits again."""
        self._held = held
        self._commands = commands
        self._on_waiting = on_waiting
        self._journal = journal
        self._ports = ports
        self._invariants = Invariants(ports.metrics)
        self._assigned: defaultdict[str, dict[str, PlannedTask]]
        self._assigned = defaultdict(dict)
        self.progressed: dict[str, Chunk] = {}

    def adopt(self, planned: PlannedTask) -> None:
        """Follow a task that an earlier planner may have assigned."""
        if planned.task.state is TaskState.ASSIGNED:
            self._assigned[planned.task.agent_id][planned.task.task_id] = (
                planned
            )

    def assign(
        self,
        planned: PlannedTask,
        agent_id: str,
        policy: ServicePolicy,
        size: Resources,
    ) -> None:
        """Give a waiting task to an agent; its start follows the write."""
        chunk, task = planned.chunk, planned.task
        record = self._ports.fleet.agent(agent_id)
        may_start = self._invariants.check(
            task.state is TaskState.WAITING,
            'no task is assigned that may still run',
            task.task_id,
        )
        if record is None or not record.worker_boot or not may_start:
            return
        task.state = TaskState.ASSIGNED
        task.attempt += 1
        task.agent_id = agent_id
        task.worker_boot = record.worker_boot
        task.is_confirmed = False
        task.sent_generation = _NOT_SENT
        task.why_waiting = ''
        task.share = 1
        self._assigned[agent_id][task.task_id] = planned
        command = StartTask(
            task_id=task.task_id,
            shard=self._held.shard,
            epoch=self._held.epoch,
            attempt=task.attempt,
            kind=chunk.kind.value,
            service_name=chunk.service_name,
            size=size,
            checkpoint=task.checkpoint,
            run_ms=policy.run_ms,
            urgency=policy.urgency,
            worker_boot=task.worker_boot,
        )
        self._journal.mark(chunk, partial(self._start, planned, command))

    def cancel(self, planned: PlannedTask) -> None:
        """Cancel a task that has not ended; one terminal state, at once."""
        task = planned.task
        if task.is_final:
            return
        was_assigned = task.state is TaskState.ASSIGNED
        self._settle(planned, TaskState.CANCELLED)
        log_event(Event.TASK_CANCELLED, task=task.task_id)
        if was_assigned:
            self._stop_after(planned)

    def reclaim_lapsed(self, granted_at: Mapping[GrantKey, float]) -> None:
        """Take back tasks whose worker is out of reach past its leases.

        A worker of another boot under the same agent's name is no evidence:
        the VM may have been replaced while the old one still runs, cut off.
        """
        for agent_id, planned_by_task in list(self._assigned.items()):
            record = self._ports.fleet.agent(agent_id)
            boot = record.worker_boot if record else ''
            lost = [
                planned
                for planned in planned_by_task.values()
                if not boot or planned.task.worker_boot != boot
            ]
            for planned in lost:
                key = (agent_id, planned.task.worker_boot)
                if self._has_lapsed(planned, granted_at.get(key, 0)):
                    self._to_waiting(planned, 'lease lapsed')

    def take_status(
        self,
        planned: PlannedTask,
        record: AgentRecord,
        status: TaskStatus,
    ) -> None:
        """Take an agent's word on one attempt."""
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
            self._end(planned, phase, status)
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
        for planned in list(self._assigned[record.agent_id].values()):
            task = planned.task
            is_settled = (
                task.sent_generation < record.generation
                and task.worker_boot == report.worker_boot
            )
            is_named = (
                task.task_id in present or (task.task_id, task.attempt) in ended
            )
            if is_settled and not is_named:
                self._to_waiting(planned, 'not on its agent')

    def _has_lapsed(self, planned: PlannedTask, granted_at: float) -> bool:
        # An earlier planner may have granted until we took the shard.
        last = max(granted_at, self._held.acquired_at)
        lapse_ms = self._ports.times.lapse_ms(planned.chunk.kind)
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
        self._complete(planned)
        if was_assigned:
            self._stop_after(planned)

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
            task.refusals += 1
            self._to_waiting(planned, 'agent has gone')
            return
        task.sent_generation = record.generation

    def _end(
        self,
        planned: PlannedTask,
        phase: TaskPhase,
        status: TaskStatus,
    ) -> None:
        chunk, task = planned.chunk, planned.task
        is_batch = chunk.kind is TaskKind.BATCH
        self._note_health(planned, phase)
        task.checkpoint = status.checkpoint or task.checkpoint
        if phase is TaskPhase.COMPLETED and is_batch:
            self._complete(planned)
            return
        self._count_try(task, phase)
        policy = self._ports.configuration.policy(chunk.service_name)
        limit = policy.max_attempts if policy else 1
        if is_batch and task.failures >= limit:
            self._settle(planned, TaskState.FAILED)
            self._ports.metrics.count('tasks_failed_total')
            log_event(Event.TASK_FAILED, task=task.task_id, tries=task.failures)
            return
        self._to_waiting(planned, status.detail)

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

    def _complete(self, planned: PlannedTask) -> None:
        self._settle(planned, TaskState.COMPLETED)
        self._ports.metrics.count('tasks_completed_total')
        log_event(Event.TASK_FINISHED, task=planned.task.task_id)

    def _settle(self, planned: PlannedTask, state: TaskState) -> None:
        task = planned.task
        self._assigned[task.agent_id].pop(task.task_id, None)
        task.state = state
        task.why_waiting = ''
        self._journal.mark(planned.chunk)

    def _to_waiting(self, planned: PlannedTask, why: str) -> None:
        task = planned.task
        if planned.chunk.kind is TaskKind.KEEPER and task.is_confirmed:
            self._ports.metrics.count('keepers_lost_total')
            log_event(
                Event.KEEPER_LOST,
                task=task.task_id,
                agent=task.agent_id,
                why=why,
            )
        self._settle(planned, TaskState.WAITING)
        now = self._ports.clock.now()
        task.is_confirmed = False
        task.not_before = now + _backoff_ms(task)
        task.waiting_since = now
        task.why_waiting = why
        self._on_waiting(task.task_id)

    def _stop_after(self, planned: PlannedTask) -> None:
        task = planned.task
        stop = partial(
            self._commands.stop,
            task.agent_id,
            task.task_id,
            task.attempt,
        )
        self._journal.mark(planned.chunk, stop)


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
