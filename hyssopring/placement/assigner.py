"""Places waiting tasks on workers, in rounds."""

from collections import Counter
from dataclasses import dataclass
from typing import Iterable, Sequence

from hyssopring.agent.making_room import URGENT
from hyssopring.configuration import ServicePolicy
from hyssopring.logs import Event, log_event
from hyssopring.placement.worker_ranking import (
    Candidate,
    Placement,
    WorkerRanking,
    infeasibility_reason,
)
from hyssopring.placement.interference import (
    InterferenceTracker,
    TemplateSlowdown,
)
from hyssopring.placement.preemption import place_by_making_room
from hyssopring.placement.quotas import TeamUsage
from hyssopring.placement.records import TaskState
from hyssopring.placement.ports import PlannerPorts
from hyssopring.placement.shard_plan import ShardPlan
from hyssopring.placement.sizes import LearnedSizes
from hyssopring.placement.task_index import PlannedTask
from hyssopring.placement.pending_starts import PendingStarts
from hyssopring.protocol.messages import Resources
from hyssopring.tasks import TaskKind

__all__ = ('Assigner',)

# While nothing could be placed, the same tasks are not tried each tick.
_IDLE_ROUND_MS = 100.0


@dataclass(slots=True)
class _Group:
    """Waiting tasks of one job: all alike."""

    policy: ServicePolicy
    size: Resources
    waiting: list[PlannedTask]

    @property
    def is_keeper(self) -> bool:
        return self.waiting[0].chunk.kind is TaskKind.KEEPER


@dataclass(slots=True)
class _Round:
    """What one round of placing works with."""

    now: float
    candidate_by_agent: dict[str, Candidate]
    team_use: TeamUsage
    placed: int = 0


class Assigner:
    """Chooses a worker for each waiting task, most urgent first."""

    def __init__(
        self,
        ports: PlannerPorts,
        interference: InterferenceTracker,
        sizes: LearnedSizes,
    ) -> None:
        """Use the fleet, the configuration and what was learned of both."""
        self._ports = ports
        self._interference = interference
        self._sizes = sizes
        self._under_way = PendingStarts(ports.fleet)
        self._idle_until: float = 0
        self._idle_waiting = 0

    def place_waiting(self, plans: Sequence[ShardPlan]) -> None:
        """Assign what can be placed; note for the rest why it waits."""
        now = self._ports.clock.now()
        waiting = [task for plan in plans for task in plan.index.waiting(now)]
        is_same = len(waiting) == self._idle_waiting
        if not waiting or (is_same and now < self._idle_until):
            return
        placing = self._begin(now)
        for group in self._ordered(waiting, placing):
            self._place_group(group, placing)
        self._idle_waiting = len(waiting) - placing.placed
        self._idle_until = now + _IDLE_ROUND_MS

    def _begin(self, now: float) -> _Round:
        """Count room, less the starts that no report shows so far."""
        agents = self._ports.fleet.agents
        promised_by_agent = self._under_way.promised(now)
        health = self._ports.health
        team_use = TeamUsage(self._ports.configuration, agents)
        for start in self._under_way.starts:
            team_use.add(start.team, start.size.cores)
        candidate_by_agent = {
            record.agent_id: Candidate(
                record,
                record.free.minus(promised)
                if (promised := promised_by_agent.get(record.agent_id))
                else record.free,
                is_probe=health.is_quarantined(record.agent_id),
            )
            for record in agents
            if record.worker_boot
            and not record.is_stopping
            and health.is_usable(record.agent_id, now)
        }
        return _Round(now, candidate_by_agent, team_use)

    def _ordered(
        self,
        waiting: Iterable[PlannedTask],
        placing: _Round,
    ) -> list[_Group]:
        """Group by job; most urgent, then least used quota, then oldest."""
        tasks_by_job: dict[str, list[PlannedTask]] = {}
        for planned in waiting:
            tasks_by_job.setdefault(planned.chunk.job_id, []).append(planned)
        groups = []
        for tasks in tasks_by_job.values():
            service_name = tasks[0].chunk.service_name
            policy = self._ports.configuration.policy(service_name)
            if policy is None:
                _explain(tasks, 'its template or parameters were withdrawn')
                continue
            size = self._sizes.needed(service_name, policy.size)
            groups.append(_Group(policy, size, tasks))
        groups.sort(
            key=lambda group: (
                -group.policy.urgency,
                placing.team_use.part(group.policy.team),
                group.waiting[0].task.waiting_since,
            ),
        )
        return groups

    def _place_group(self, group: _Group, placing: _Round) -> None:
        why = self._impossible(group)
        if why:
            _explain(group.waiting, why)
            return
        ranking = self._rank(group, placing, self._harm(group, placing))
        for index, planned in enumerate(group.waiting):
            why = placing.team_use.refusal(group.policy.team, group.size.cores)
            placement = (
                Placement(None, why)
                if why
                else self._choose(planned, group, ranking, placing)
            )
            if placement.agent is not None:
                self._assign(planned, group, placement, placing)
                continue
            if not planned.task.avoid_until_by_agent or why:
                # The others are alike and fare alike.
                _explain(group.waiting[index:], placement.why)
                return
            _explain([planned], placement.why)

    def _impossible(self, group: _Group) -> str:
        agents = self._ports.fleet.agents
        why = infeasibility_reason(group.policy, group.size, agents)
        if why and group.size != group.policy.size:
            # What was learned must not make a task impossible.
            group.size = group.policy.size
            why = infeasibility_reason(group.policy, group.size, agents)
        return why

    def _harm(self, group: _Group, placing: _Round) -> TemplateSlowdown:
        """Keepers, urgent tasks and a template's only task are not held up.

        The last: a template that hurts a service everywhere would otherwise
        never run at all. One task of it does, where it hurts least.
        """
        service_name = group.policy.service_name
        harm = self._interference.template_slowdown(service_name, placing.now)
        is_held_up = not (
            group.is_keeper or group.policy.urgency >= URGENT
        ) and self._interference.is_running(harm.template, placing.now)
        return harm if is_held_up else harm.unlimited()

    def _rank(
        self,
        group: _Group,
        placing: _Round,
        harm: TemplateSlowdown,
    ) -> WorkerRanking:
        zones = group.policy.zones
        return WorkerRanking(
            group.size,
            [
                candidate
                for candidate in placing.candidate_by_agent.values()
                if not zones or candidate.agent.zone in zones
            ],
            self._load_by_rack(group.waiting[0]),
            harm,
        )

    def _choose(
        self,
        planned: PlannedTask,
        group: _Group,
        ranking: WorkerRanking,
        placing: _Round,
    ) -> Placement:
        avoided = [
            agent_id
            for agent_id, until in planned.task.avoid_until_by_agent.items()
            if until > placing.now
        ]
        placement = ranking.choose(avoided)
        if placement.agent is None and group.policy.urgency >= URGENT:
            made = place_by_making_room(
                group.policy,
                group.size,
                placing.candidate_by_agent.values(),
                avoided,
            )
            return made or placement
        return placement

    def _assign(
        self,
        planned: PlannedTask,
        group: _Group,
        placement: Placement,
        placing: _Round,
    ) -> None:
        assert placement.agent is not None
        agent_id = placement.agent.agent_id
        team = group.policy.team
        planned.plan.assign(planned, agent_id, group.policy, group.size)
        placing.placed += 1
        placing.team_use.add(team, group.size.cores)
        self._under_way.add(planned, team, group.size)
        self._ports.health.on_assigned(agent_id, placing.now)
        log_event(
            Event.TASK_PLACED,
            task=planned.task.task_id,
            attempt=planned.task.attempt,
            agent=agent_id,
            why=placement.why,
        )

    def _load_by_rack(self, planned: PlannedTask) -> Counter[str]:
        load: Counter[str] = Counter()
        for chunk in planned.plan.index.job_chunks(planned.chunk.job_id):
            for task in chunk.tasks:
                if task.state is TaskState.ASSIGNED:
                    record = self._ports.fleet.agent(task.agent_id)
                    load[record.rack if record else ''] += 1
        return load


def _explain(waiting: Sequence[PlannedTask], why: str) -> None:
    """Keep the reason with each task; one log line says it for all."""
    is_news = False
    for planned in waiting:
        if planned.task.why_waiting != why:
            planned.task.why_waiting = why
            is_news = True
    if is_news:
        log_event(
            Event.TASK_UNPLACED,
            task=waiting[0].task.task_id,
            tasks=len(waiting),
            why=why,
        )
