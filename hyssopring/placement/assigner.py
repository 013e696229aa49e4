"""Assign waiting tasks to workers in rounds."""

from collections import Counter
from dataclasses import dataclass
from typing import Iterable, Sequence

from hyssopring.agent.preemption import MIN_PREEMPTING_URGENCY
from hyssopring.configuration import ServicePolicy
from hyssopring.logs import Event, log_event
from hyssopring.placement.interference import (
    InterferenceTracker,
    TemplateSlowdown,
)
from hyssopring.placement.pending_starts import PendingStarts
from hyssopring.placement.ports import PlannerPorts
from hyssopring.placement.preemption import place_by_preemption
from hyssopring.placement.quotas import TeamUsage
from hyssopring.placement.records import TaskState
from hyssopring.placement.shard_plan import ShardPlan
from hyssopring.placement.sizes import LearnedSizes
from hyssopring.placement.task_index import PlannedTask
from hyssopring.placement.worker_ranking import (
    Candidate,
    Placement,
    WorkerRanking,
    infeasibility_reason,
)
from hyssopring.protocol.messages import Resources
from hyssopring.tasks import TaskKind

__all__ = ('Assigner',)

# Pause before a round is repeated for a backlog that could not be placed.
_BACKLOG_RETRY_MS = 100.0


@dataclass(slots=True)
class _JobGroup:
    """Waiting tasks of one job, which share a policy and a size."""

    policy: ServicePolicy
    size: Resources
    waiting: list[PlannedTask]

    @property
    def is_keeper(self) -> bool:
        return self.waiting[0].chunk.kind is TaskKind.KEEPER


@dataclass(slots=True)
class _PlacementRound:
    """State of one placement round.

    Attributes:
        now_ms: Clock time of the round, in milliseconds.
        candidate_by_agent: Workers that may receive tasks.
        team_usage: Cores in use by team, including this round's starts.
        placed_count: Number of tasks assigned so far.
    """

    now_ms: float
    candidate_by_agent: dict[str, Candidate]
    team_usage: TeamUsage
    placed_count: int = 0


class Assigner:
    """Choose a worker for each waiting task, most urgent first."""

    def __init__(
        self,
        ports: PlannerPorts,
        interference: InterferenceTracker,
        sizes: LearnedSizes,
    ) -> None:
        """Create an assigner.

        Args:
            ports: Clock, fleet, configuration and worker health.
            interference: Predicts how tasks slow the services on a worker.
            sizes: Task sizes learned from measured use.
        """
        self._ports = ports
        self._interference = interference
        self._sizes = sizes
        self._pending_starts = PendingStarts(ports.fleet)
        self._skip_until_ms: float = 0
        self._unplaced_count = 0

    def place_waiting(self, plans: Sequence[ShardPlan]) -> None:
        """Assign the tasks that fit and record why the others wait."""
        now_ms = self._ports.clock.now()
        waiting = [
            task for plan in plans for task in plan.index.waiting(now_ms)
        ]
        is_same_backlog = len(waiting) == self._unplaced_count
        if not waiting or (is_same_backlog and now_ms < self._skip_until_ms):
            return
        placement_round = self._start_round(now_ms)
        for group in self._ordered_groups(waiting, placement_round):
            self._place_group(group, placement_round)
        self._unplaced_count = len(waiting) - placement_round.placed_count
        self._skip_until_ms = now_ms + _BACKLOG_RETRY_MS

    def _start_round(self, now_ms: float) -> _PlacementRound:
        """Collect usable workers and subtract starts not yet reported."""
        agents = self._ports.fleet.agents
        reserved_by_agent = self._pending_starts.reserved_by_agent(now_ms)
        health = self._ports.health
        team_usage = TeamUsage(self._ports.configuration, agents)
        for start in self._pending_starts.starts:
            team_usage.add(start.team, start.size.cores)
        candidate_by_agent = {
            record.agent_id: Candidate(
                record,
                record.free.minus(reserved)
                if (reserved := reserved_by_agent.get(record.agent_id))
                else record.free,
                is_probe=health.is_quarantined(record.agent_id),
            )
            for record in agents
            if record.worker_boot
            and not record.is_stopping
            and health.is_usable(record.agent_id, now_ms)
        }
        return _PlacementRound(now_ms, candidate_by_agent, team_usage)

    def _ordered_groups(
        self,
        waiting: Iterable[PlannedTask],
        placement_round: _PlacementRound,
    ) -> list[_JobGroup]:
        """Group tasks by job, sorted by urgency, used quota, waiting time."""
        tasks_by_job: dict[str, list[PlannedTask]] = {}
        for planned in waiting:
            tasks_by_job.setdefault(planned.chunk.job_id, []).append(planned)
        groups = []
        for tasks in tasks_by_job.values():
            service_name = tasks[0].chunk.service_name
            policy = self._ports.configuration.policy(service_name)
            if policy is None:
                _record_reason(
                    tasks, 'its template or parameters were withdrawn'
                )
                continue
            size = self._sizes.needed(service_name, policy.size)
            groups.append(_JobGroup(policy, size, tasks))
        groups.sort(
            key=lambda group: (
                -group.policy.urgency,
                placement_round.team_usage.used_fraction(group.policy.team),
                group.waiting[0].task.waiting_since,
            ),
        )
        return groups

    def _place_group(
        self, group: _JobGroup, placement_round: _PlacementRound
    ) -> None:
        reason = self._infeasibility(group)
        if reason:
            _record_reason(group.waiting, reason)
            return
        ranking = self._rank(
            group, placement_round, self._slowdown(group, placement_round)
        )
        for index, planned in enumerate(group.waiting):
            reason = placement_round.team_usage.refusal_reason(
                group.policy.team, group.size.cores
            )
            placement = (
                Placement(None, reason)
                if reason
                else self._choose(planned, group, ranking, placement_round)
            )
            if placement.agent is not None:
                self._assign(planned, group, placement, placement_round)
                continue
            if not planned.task.avoid_until_by_agent or reason:
                # The remaining tasks have the same size and no exclusions.
                _record_reason(group.waiting[index:], placement.reason)
                return
            _record_reason([planned], placement.reason)

    def _infeasibility(self, group: _JobGroup) -> str:
        agents = self._ports.fleet.agents
        reason = infeasibility_reason(group.policy, group.size, agents)
        if reason and group.size != group.policy.size:
            # A learned size must not make a task infeasible.
            group.size = group.policy.size
            reason = infeasibility_reason(group.policy, group.size, agents)
        return reason

    def _slowdown(
        self, group: _JobGroup, placement_round: _PlacementRound
    ) -> TemplateSlowdown:
        """Predict the slowdown; limit it only where a task may wait.

        Keepers, urgent tasks and the only task of a template are placed
        without a limit. A template that slows a service on every worker would
        otherwise never run: one task of it runs where the slowdown is smallest.
        """
        service_name = group.policy.service_name
        slowdown = self._interference.template_slowdown(
            service_name, placement_round.now_ms
        )
        is_limited = not (
            group.is_keeper or group.policy.urgency >= MIN_PREEMPTING_URGENCY
        ) and self._interference.is_running(
            slowdown.template, placement_round.now_ms
        )
        return slowdown if is_limited else slowdown.unlimited()

    def _rank(
        self,
        group: _JobGroup,
        placement_round: _PlacementRound,
        slowdown: TemplateSlowdown,
    ) -> WorkerRanking:
        zones = group.policy.zones
        return WorkerRanking(
            group.size,
            [
                candidate
                for candidate in placement_round.candidate_by_agent.values()
                if not zones or candidate.agent.zone in zones
            ],
            self._task_count_by_rack(group.waiting[0]),
            slowdown,
        )

    def _choose(
        self,
        planned: PlannedTask,
        group: _JobGroup,
        ranking: WorkerRanking,
        placement_round: _PlacementRound,
    ) -> Placement:
        avoided = [
            agent_id
            for agent_id, until_ms in planned.task.avoid_until_by_agent.items()
            if until_ms > placement_round.now_ms
        ]
        placement = ranking.choose(avoided)
        if (
            placement.agent is None
            and group.policy.urgency >= MIN_PREEMPTING_URGENCY
        ):
            preempting = place_by_preemption(
                group.policy,
                group.size,
                placement_round.candidate_by_agent.values(),
                avoided,
            )
            return preempting or placement
        return placement

    def _assign(
        self,
        planned: PlannedTask,
        group: _JobGroup,
        placement: Placement,
        placement_round: _PlacementRound,
    ) -> None:
        assert placement.agent is not None
        agent_id = placement.agent.agent_id
        team = group.policy.team
        planned.plan.assign(planned, agent_id, group.policy, group.size)
        placement_round.placed_count += 1
        placement_round.team_usage.add(team, group.size.cores)
        self._pending_starts.add(planned, team, group.size)
        self._ports.health.on_assigned(agent_id, placement_round.now_ms)
        log_event(
            Event.TASK_PLACED,
            task=planned.task.task_id,
            attempt=planned.task.attempt,
            agent=agent_id,
            why=placement.reason,
        )

    def _task_count_by_rack(self, planned: PlannedTask) -> Counter[str]:
        task_count_by_rack: Counter[str] = Counter()
        for chunk in planned.plan.index.job_chunks(planned.chunk.job_id):
            for task in chunk.tasks:
                if task.state is TaskState.ASSIGNED:
                    record = self._ports.fleet.agent(task.agent_id)
                    task_count_by_rack[record.rack if record else ''] += 1
        return task_count_by_rack


def _record_reason(waiting: Sequence[PlannedTask], reason: str) -> None:
    """Record the reason on each task and log it once for the group."""
    is_new_reason = False
    for planned in waiting:
        if planned.task.why_waiting != reason:
            planned.task.why_waiting = reason
            is_new_reason = True
    if is_new_reason:
        log_event(
            Event.TASK_UNPLACED,
            task=waiting[0].task.task_id,
            tasks=len(waiting),
            why=reason,
        )
