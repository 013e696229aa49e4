"""Assign and cancel tasks.

An assignment is written to the table, under the shard's epoch and with a new
attempt number, before the start is sent to the agent.
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

# Larger than any connection number: no report can refer to an unsent start.
_NOT_SENT = 2**62


class TaskSteps:
    """Assign and cancel the tasks of one shard under one epoch."""

    def __init__(
        self,
        held: HeldShard,
        writer: ChunkWriter,
        ports: PlannerPorts,
        states: TaskStates,
    ) -> None:
        """Create the operations of one shard's planner."""
        self._held = held
        self._writer = writer
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
        """Assign a waiting task; its start is sent once that is written."""
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
        self._states.track(planned)
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
        self._writer.mark_dirty(
            chunk, partial(self._send_start, planned, command)
        )

    def cancel(self, planned: PlannedTask) -> None:
        """Cancel a task unless it is final; stop it if it is assigned."""
        task = planned.task
        if task.is_final:
            return
        was_assigned = task.state is TaskState.ASSIGNED
        self._states.unassign(planned, TaskState.CANCELLED)
        log_event(Event.TASK_CANCELLED, task=task.task_id)
        if was_assigned:
            self._states.stop_once_written(planned)

    def _send_start(self, planned: PlannedTask, command: StartTask) -> None:
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
            # The start was not sent, so the attempt does not run anywhere.
            task.refusals += 1
            self._states.requeue(planned, 'agent has gone')
            return
        task.sent_generation = record.generation
