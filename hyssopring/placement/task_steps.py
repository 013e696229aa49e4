"""The steps that a planner takes with a task by itself: assign and cancel.

A task is assigned in the table before its start is sent, under the shard's
epoch and a new attempt number. See ``task_reconciler`` for what agents report.
"""

from functools import partial

from hyssopring.configuration import ServicePolicy
from hyssopring.invariants import Invariants
from hyssopring.leases import HeldShard
from hyssopring.logs import Event, log_event
from hyssopring.placement.chunk_writer import ChunkWriter
from hyssopring.placement.ports import PlannerPorts
from hyssopring.placement.records import TaskState
from hyssopring.placement.task_index import PlannedTask
from hyssopring.placement.task_states import TaskStates
from hyssopring.protocol.messages import Resources, StartTask

__all__ = ('TaskSteps',)

# An assignment whose start is still to be sent: no report can settle it.
_NOT_SENT = 2**62


class TaskSteps:
    """Assigns and cancels the tasks of one shard under one epoch."""

    def __init__(
        self,
        held: HeldShard,
        journal: ChunkWriter,
        ports: PlannerPorts,
        states: TaskStates,
    ) -> None:
        """Write through ``journal``."""
        self._held = held
        self._journal = journal
        self._ports = ports
        self._states = states
        self._invariants = Invariants(ports.metrics)

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
        self._states.adopt(planned)
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
        self._states.settle(planned, TaskState.CANCELLED)
        log_event(Event.TASK_CANCELLED, task=task.task_id)
        if was_assigned:
            self._states.stop_after(planned)

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
            self._states.to_waiting(planned, 'agent has gone')
            return
        task.sent_generation = record.generation
