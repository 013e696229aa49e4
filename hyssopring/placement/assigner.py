"""Places waiting tasks on workers."""

from dataclasses import dataclass, field
from typing import Iterable, Sequence

from hyssopring.logs import Event, log_event
from hyssopring.membership import AgentRecord
from hyssopring.placement.choice import choose_worker
from hyssopring.placement.records import Chunk, TaskState
from hyssopring.placement.shard_plan import PlannedTask, PlannerPorts, ShardPlan
from hyssopring.protocol.messages import Resources

__all__ = ('Assigner',)

_NOTHING = Resources()


@dataclass(slots=True)
class _Round:
    """What one round of placing works with."""

    agents: Sequence[AgentRecord]
    planned_by_agent: dict[str, Resources] = field(default_factory=dict)

    def plan(self, agent_id: str, size: Resources) -> None:
        known = self.planned_by_agent.get(agent_id, _NOTHING)
        self.planned_by_agent[agent_id] = known.plus(size)


class Assigner:
    """Chooses a worker for each waiting task, most urgent first."""

    def __init__(self, ports: PlannerPorts) -> None:
        """Use the fleet and the configuration in ``ports``."""
        self._ports = ports

    def place_waiting(self, plans: Sequence[ShardPlan]) -> None:
        """Assign what can be placed; note for the rest why it waits."""
        now = self._ports.clock.now()
        tasks = [planned for plan in plans for planned in plan.tasks]
        waiting = [
            planned
            for planned in tasks
            if planned.task.state is TaskState.WAITING
            and planned.task.not_before <= now
        ]
        if not waiting:
            return
        waiting.sort(key=self._urgency, reverse=True)
        placing = self._begin(tasks)
        for planned in waiting:
            self._place(planned, placing)

    def _urgency(self, planned: PlannedTask) -> int:
        service_name = planned.chunk.service_name
        policy = self._ports.configuration.policy(service_name)
        return policy.urgency if policy else 0

    def _begin(self, tasks: Iterable[PlannedTask]) -> _Round:
        """Count starts under way, which the agents' reports lack so far."""
        placing = _Round(self._ports.fleet.agents)
        for planned in tasks:
            task = planned.task
            if task.state is not TaskState.ASSIGNED or task.is_confirmed:
                continue
            policy = self._ports.configuration.policy(
                planned.chunk.service_name,
            )
            if policy is not None:
                placing.plan(task.agent_id, policy.size)
        return placing

    def _place(self, planned: PlannedTask, placing: _Round) -> None:
        service_name = planned.chunk.service_name
        policy = self._ports.configuration.policy(service_name)
        if policy is None:
            _explain(planned, 'its template or parameters were withdrawn')
            return
        placement = choose_worker(
            policy,
            placing.agents,
            placing.planned_by_agent,
            self._load_by_rack(planned.chunk),
        )
        if placement.agent is None:
            _explain(planned, placement.why)
            return
        agent_id = placement.agent.agent_id
        placing.plan(agent_id, policy.size)
        planned.plan.assign(planned, agent_id, policy)
        log_event(
            Event.TASK_PLACED,
            task=planned.task.task_id,
            attempt=planned.task.attempt,
            agent=agent_id,
            why=placement.why,
        )

    def _load_by_rack(self, chunk: Chunk) -> dict[str, int]:
        load: dict[str, int] = {}
        for task in chunk.tasks:
            record = self._ports.fleet.agent(task.agent_id)
            if record is not None and task.state is TaskState.ASSIGNED:
                load[record.rack] = load.get(record.rack, 0) + 1
        return load


def _explain(planned: PlannedTask, why: str) -> None:
    task = planned.task
    if task.why_waiting != why:
        task.why_waiting = why
        log_event(Event.TASK_UNPLACED, task=task.task_id, why=why)
