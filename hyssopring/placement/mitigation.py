"""Throttle and evict this entry's batch tasks to reduce interference.

Every entry receives every agent's reports and computes the same shares. Each
entry acts only on tasks of the shards that it holds, under their epochs. If a
command is lost or a task has started since, the mean share in the next
heartbeat differs and the command is repeated.
"""

from typing import Iterable

from hyssopring.logs import Event, log_event
from hyssopring.membership import AgentRecord
from hyssopring.placement.interference import InterferenceTracker, template_of
from hyssopring.placement.records import TaskState
from hyssopring.placement.share_control import ShareControl
from hyssopring.placement.tail_guard import GuardStep, TailGuard
from hyssopring.placement.task_index import PlannedTask
from hyssopring.tasks import TaskKind

__all__ = ('Mitigation',)

_SHARE_TOLERANCE = 0.01
# Memory cannot be throttled: a VM whose tasks use more memory than it has
# checkpoints one task, then waits for measurements that include the effect.
_MEMORY_EXCESS_FRACTION = 0.02
_MEMORY_EVICTION_INTERVAL_MS = 10_000.0


class Mitigation:
    """Throttle and evict batch tasks that slow services on the same VM."""

    def __init__(self, interference: InterferenceTracker) -> None:
        """Create a mitigation that uses the model of ``interference``."""
        self.tail_guard = TailGuard(interference)
        self.share_control = ShareControl(interference)
        self._memory_evicted_at_by_agent: dict[str, float] = {}

    def on_heartbeat(
        self,
        record: AgentRecord,
        own_tasks: Iterable[PlannedTask],
        now_ms: float,
    ) -> None:
        """Throttle or evict tasks as an agent's latest report requires.

        Args:
            record: The agent, with its latest report.
            own_tasks: Tasks of the shards that this entry holds; iterated
                only if an action is needed.
            now_ms: Clock time in milliseconds.
        """
        self.share_control.review(record)
        guard_step = self.tail_guard.review(record, now_ms)
        is_memory_exceeded = self._is_memory_exceeded(record, now_ms)
        if not (
            guard_step or is_memory_exceeded or self._has_share_mismatch(record)
        ):
            return
        local_tasks = [
            planned
            for planned in own_tasks
            if planned.task.agent_id == record.agent_id
            and planned.task.state is TaskState.ASSIGNED
            and planned.chunk.kind is TaskKind.BATCH
        ]
        self._throttle(record, local_tasks)
        if guard_step is not None and guard_step.evictions:
            self._evict(local_tasks, guard_step)
        if is_memory_exceeded and local_tasks:
            self._memory_evicted_at_by_agent[record.agent_id] = now_ms
            _evict_task(local_tasks[-1], 'the VM uses more memory than it has')

    def remove_agent(self, agent_id: str) -> None:
        """Drop the state of an agent that has disconnected."""
        self.tail_guard.remove_agent(agent_id)
        self.share_control.remove_agent(agent_id)
        self._memory_evicted_at_by_agent.pop(agent_id, None)

    def _has_share_mismatch(self, record: AgentRecord) -> bool:
        """Whether a reported share differs from the required one."""
        return any(
            group.kind == TaskKind.BATCH.value
            and abs(group.share - self._share(record, group.service_name))
            > _SHARE_TOLERANCE
            for group in record.usage
        )

    def _share(self, record: AgentRecord, service_name: str) -> float:
        """Return the smaller of the predicted and the reactive share."""
        template = template_of(service_name)
        return min(
            self.share_control.shares(record.agent_id).get(template, 1),
            self.tail_guard.shares(record.agent_id).get(template, 1),
        )

    def _throttle(
        self,
        record: AgentRecord,
        local_tasks: Iterable[PlannedTask],
    ) -> None:
        for planned in local_tasks:
            share = self._share(record, planned.chunk.service_name)
            if planned.task.share != share:
                log_event(
                    Event.TASK_THROTTLED,
                    task=planned.task.task_id,
                    agent=record.agent_id,
                    share=share,
                )
            planned.plan.throttle(planned, share)

    def _evict(
        self, local_tasks: list[PlannedTask], guard_step: GuardStep
    ) -> None:
        template_tasks = [
            planned
            for planned in local_tasks
            if template_of(planned.chunk.service_name) == guard_step.template
        ]
        for planned in template_tasks[-guard_step.evictions :]:
            _evict_task(planned, 'slows a service although throttled')

    def _is_memory_exceeded(self, record: AgentRecord, now_ms: float) -> bool:
        limit = -_MEMORY_EXCESS_FRACTION * record.capacity.memory_gb
        evicted_at = self._memory_evicted_at_by_agent.get(record.agent_id)
        is_measured = (
            evicted_at is None
            or now_ms - evicted_at > _MEMORY_EVICTION_INTERVAL_MS
        )
        return is_measured and record.free.memory_gb < limit


def _evict_task(planned: PlannedTask, reason: str) -> None:
    log_event(
        Event.TASK_EVICTED,
        task=planned.task.task_id,
        agent=planned.task.agent_id,
        why=reason,
    )
    planned.plan.stop_at_checkpoint(planned)
