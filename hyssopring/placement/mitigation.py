"""Carries out what heartbeats call for: throttles, and moves, own tasks.

Every entry sees every agent's reports and comes to the same shares; each acts
only on tasks of the shards that it holds, under their epochs. What a message
that was lost, or a task that started since, leaves behind, the next
heartbeat's mean share shows.
"""

from typing import Iterable

from hyssopring.logs import Event, log_event
from hyssopring.membership import AgentRecord
from hyssopring.placement.interference import InterferenceTracker, template_of
from hyssopring.placement.records import TaskState
from hyssopring.placement.task_index import PlannedTask
from hyssopring.placement.share_control import ShareControl
from hyssopring.placement.tail_guard import GuardStep, TailGuard
from hyssopring.tasks import TaskKind

__all__ = ('Mitigation',)

_SAME_SHARE = 0.01
# Memory cannot be throttled: a VM whose tasks use more than it has sheds one,
# then waits until the measurements can show it.
_OVERFULL_PART = 0.02
_SHED_PAUSE_MS = 10_000.0


class Mitigation:
    """Acts on own tasks for the sake of the services beside them."""

    def __init__(self, interference: InterferenceTracker) -> None:
        """Decide by what ``interference`` has learned."""
        self.tail_guard = TailGuard(interference)
        self.share_control = ShareControl(interference)
        self._shed_at_by_agent: dict[str, float] = {}

    def on_heartbeat(
        self,
        record: AgentRecord,
        own_tasks: Iterable[PlannedTask],
        now: float,
    ) -> None:
        """Take the step that an agent's report calls for.

        Args:
            record: The agent, with its latest report.
            own_tasks: Tasks of the shards that this entry holds; read only
                when there is something to do.
            now: Clock milliseconds.
        """
        self.share_control.review(record)
        step = self.tail_guard.review(record, now)
        is_overfull = self._is_overfull(record, now)
        if not (step or is_overfull or self._has_other_share(record)):
            return
        here = [
            planned
            for planned in own_tasks
            if planned.task.agent_id == record.agent_id
            and planned.task.state is TaskState.ASSIGNED
            and planned.chunk.kind is TaskKind.BATCH
        ]
        self._throttle(record, here)
        if step is not None and step.moves:
            self._move(here, step)
        if is_overfull and here:
            self._shed_at_by_agent[record.agent_id] = now
            _checkpoint(here[-1], 'the VM uses more memory than it has')

    def forget(self, agent_id: str) -> None:
        """An agent has gone."""
        self.tail_guard.forget(agent_id)
        self.share_control.forget(agent_id)
        self._shed_at_by_agent.pop(agent_id, None)

    def _has_other_share(self, record: AgentRecord) -> bool:
        return any(
            group.kind == TaskKind.BATCH.value
            and abs(group.share - self._share(record, group.service_name))
            > _SAME_SHARE
            for group in record.usage
        )

    def _share(self, record: AgentRecord, service_name: str) -> float:
        """Return the smaller of the learned and the guard's share."""
        template = template_of(service_name)
        return min(
            self.share_control.shares(record.agent_id).get(template, 1),
            self.tail_guard.shares(record.agent_id).get(template, 1),
        )

    def _throttle(
        self,
        record: AgentRecord,
        here: Iterable[PlannedTask],
    ) -> None:
        for planned in here:
            share = self._share(record, planned.chunk.service_name)
            if planned.task.share != share:
                log_event(
                    Event.TASK_THROTTLED,
                    task=planned.task.task_id,
                    agent=record.agent_id,
                    share=share,
                )
            planned.plan.throttle(planned, share)

    def _move(self, here: list[PlannedTask], step: GuardStep) -> None:
        culprits = [
            planned
            for planned in here
            if template_of(planned.chunk.service_name) == step.template
        ]
        for planned in culprits[-step.moves :]:
            _checkpoint(planned, 'slows a service although throttled')

    def _is_overfull(self, record: AgentRecord, now: float) -> bool:
        limit = -_OVERFULL_PART * record.capacity.memory_gb
        shed_at = self._shed_at_by_agent.get(record.agent_id)
        is_settled = shed_at is None or now - shed_at > _SHED_PAUSE_MS
        return is_settled and record.free.memory_gb < limit


def _checkpoint(planned: PlannedTask, why: str) -> None:
    log_event(
        Event.TASK_EVICTED,
        task=planned.task.task_id,
        agent=planned.task.agent_id,
        why=why,
    )
    planned.plan.checkpoint(planned)
