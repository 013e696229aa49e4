"""What an entry tells operators: its own part of the whole.

An entry knows the agents connected to it and the tasks of the shards that it
plans. The command line asks every entry and puts the parts together.
"""

from collections import Counter
from typing import Any, Iterable, Mapping

from hyssopring.clock import MILLIS_PER_SECOND
from hyssopring.configuration import ServicePolicy
from hyssopring.entry.core import EntryCore
from hyssopring.membership import AgentRecord
from hyssopring.placement.records import TaskState
from hyssopring.placement.shard_plan import PlannedTask
from hyssopring.tasks import TaskKind

__all__ = (
    'fleet_status',
    'job_status',
    'keeper_status',
    'task_status',
    'team_status',
)


_Page = Mapping[str, Any]


def fleet_status(core: EntryCore) -> _Page:
    """Return the fleet as this entry sees it."""
    tasks_by_agent = Counter(
        planned.task.agent_id
        for planned in core.planner.tasks()
        if planned.task.state is TaskState.ASSIGNED
    )
    return {
        **_head(core),
        'entries': core.shards.registry.version_by_entry,
        'agents_at_least': core.shards.registry.agent_version_by_entry,
        'operators': core.shards.registry.operators_by_entry,
        'pending': core.router.pending,
        'agents': [_agent(core, record) for record in core.fleet.agents],
        'tasks_by_agent': tasks_by_agent,
        'waiting': [
            {'task': planned.task.task_id, 'why': planned.task.why_waiting}
            for planned in core.planner.tasks()
            if planned.task.why_waiting
        ],
    }


def job_status(core: EntryCore) -> _Page:
    """Return the batch jobs of the shards that this entry plans."""
    planned_by_job: dict[str, list[PlannedTask]] = {}
    for planned in core.planner.tasks():
        if planned.chunk.kind is TaskKind.BATCH:
            planned_by_job.setdefault(planned.chunk.job_id, []).append(planned)
    return {
        **_head(core),
        'jobs': [
            _job(job_id, planned_by_job[job_id])
            for job_id in sorted(planned_by_job)
        ],
    }


def keeper_status(core: EntryCore) -> _Page:
    """Return the keepers of the shards that this entry plans."""
    planned_by_service: dict[str, list[PlannedTask]] = {}
    for planned in core.planner.tasks():
        is_keeper = planned.chunk.kind is TaskKind.KEEPER
        if is_keeper and not planned.task.is_final:
            name = planned.chunk.service_name
            planned_by_service.setdefault(name, []).append(planned)
    return {
        **_head(core),
        'keepers': [
            _keeper(core, name, planned_by_service[name])
            for name in sorted(planned_by_service)
        ],
    }


def team_status(core: EntryCore) -> _Page:
    """Return each team's quota, and what the planned shards use of it."""
    used_by_team: dict[str, float] = {}
    tasks_by_team: Counter[str] = Counter()
    for planned in core.planner.tasks():
        policy = core.configuration.policy(planned.chunk.service_name)
        if policy is not None and planned.task.state is TaskState.ASSIGNED:
            used = used_by_team.get(policy.team, 0)
            used_by_team[policy.team] = used + policy.size.cores
            tasks_by_team[policy.team] += 1
    return {
        **_head(core),
        'teams': [
            {
                'team': team,
                'tasks': tasks_by_team[team],
                'cores_used': used_by_team.get(team, 0),
                'cores_quota': core.configuration.team(team).cores,
            }
            for team in sorted(_teams(core.configuration.policies()))
        ],
    }


def task_status(core: EntryCore, task_id: str) -> _Page | None:
    """Return one task, None if this entry does not plan it."""
    for planned in core.planner.tasks():
        if planned.task.task_id == task_id:
            return {
                'task': task_id,
                'service': planned.chunk.service_name,
                'shard': planned.chunk.shard,
                'planned_by': core.identity.entry_id,
                'state': planned.task.state.value,
                'attempt': planned.task.attempt,
                'failures': planned.task.failures,
                'agent': planned.task.agent_id,
                'why_waiting': planned.task.why_waiting,
            }
    return None


def _head(core: EntryCore) -> dict[str, Any]:
    return {
        'entry': core.identity.entry_id,
        'configuration': core.configuration.version,
        'shards': [held.shard for held in core.shards.held()],
        'shards_in_all': core.shards.shards,
    }


def _agent(core: EntryCore, record: AgentRecord) -> _Page:
    return {
        'id': record.agent_id,
        'zone': record.zone,
        'rack': record.rack,
        'configuration': record.configuration_version,
        'cores': record.capacity.cores,
        'free_cores': record.free.cores,
        'free_memory_gb': record.free.memory_gb,
        'stopping': record.is_stopping,
        'drained': core.configuration.is_drained(record.agent_id),
        'backends': [
            {
                'id': view.report.backend_id,
                'service': view.report.service_name,
                'leaving': view.report.leaving,
                'in_flight': view.report.in_flight,
            }
            for view in record.backend_by_id.values()
        ],
    }


def _count_states(planned: Iterable[PlannedTask]) -> Mapping[str, int]:
    return Counter(each.task.state.value for each in planned)


def _job(job_id: str, planned: list[PlannedTask]) -> _Page:
    reasons = Counter(
        each.task.why_waiting for each in planned if each.task.why_waiting
    )
    return {
        'job': job_id,
        'service': planned[0].chunk.service_name,
        'shard': planned[0].chunk.shard,
        'tasks': _count_states(planned),
        'why_waiting': '; '.join(
            f'{reason} ({count})' for reason, count in reasons.most_common()
        ),
    }


def _keeper(core: EntryCore, name: str, planned: list[PlannedTask]) -> _Page:
    down = [each.task for each in planned if not _is_up(each)]
    now = core.clock.now()
    longest = max((now - task.waiting_since for task in down), default=0)
    policy = core.configuration.policy(name)
    return {
        'service': name,
        'declared': policy.keepers if policy else 0,
        'up': len(planned) - len(down),
        'down_s': round(longest / MILLIS_PER_SECOND, 1),
        'down': [task.task_id for task in down],
        'why': '; '.join(
            sorted({task.why_waiting for task in down if task.why_waiting}),
        ),
    }


def _is_up(planned: PlannedTask) -> bool:
    task = planned.task
    return task.state is TaskState.ASSIGNED and task.is_confirmed


def _teams(policies: Iterable[ServicePolicy]) -> set[str]:
    return {policy.team for policy in policies}
