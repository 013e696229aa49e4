"""Status documents for operators: the part that one entry knows.

An entry knows the agents connected to it and the tasks of the shards that it
plans. The command line queries every entry and merges the parts.
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


_Document = Mapping[str, Any]


def fleet_status(core: EntryCore) -> _Document:
    """Return the entries, the agents connected here, and waiting tasks."""
    tasks_by_agent = Counter(
        planned.task.agent_id
        for planned in core.planner.tasks()
        if planned.task.state is TaskState.ASSIGNED
    )
    return {
        **_common_fields(core),
        'entries': core.shards.registry.version_by_entry,
        'agents_at_least': core.shards.registry.agent_version_by_entry,
        'operators': core.shards.registry.operators_by_entry,
        'pending': core.router.pending,
        'agents': [
            _describe_agent(core, record) for record in core.fleet.agents
        ],
        'tasks_by_agent': tasks_by_agent,
        'waiting': [
            {'task': planned.task.task_id, 'why': planned.task.why_waiting}
            for planned in core.planner.tasks()
            if planned.task.why_waiting
        ],
    }


def job_status(core: EntryCore) -> _Document:
    """Return the batch jobs of the shards that this entry plans."""
    planned_by_job: dict[str, list[PlannedTask]] = {}
    for planned in core.planner.tasks():
        if planned.chunk.kind is TaskKind.BATCH:
            planned_by_job.setdefault(planned.chunk.job_id, []).append(planned)
    return {
        **_common_fields(core),
        'jobs': [
            _describe_job(job_id, planned_by_job[job_id])
            for job_id in sorted(planned_by_job)
        ],
    }


def keeper_status(core: EntryCore) -> _Document:
    """Return the keepers, by service, of the shards that this entry plans."""
    planned_by_service: dict[str, list[PlannedTask]] = {}
    for planned in core.planner.tasks():
        is_keeper = planned.chunk.kind is TaskKind.KEEPER
        if is_keeper and not planned.task.is_final:
            service_name = planned.chunk.service_name
            planned_by_service.setdefault(service_name, []).append(planned)
    return {
        **_common_fields(core),
        'keepers': [
            _describe_keeper(
                core, service_name, planned_by_service[service_name]
            )
            for service_name in sorted(planned_by_service)
        ],
    }


def team_status(core: EntryCore) -> _Document:
    """Return each team's quota and its usage in the planned shards."""
    cores_by_team: dict[str, float] = {}
    tasks_by_team: Counter[str] = Counter()
    for planned in core.planner.tasks():
        policy = core.configuration.policy(planned.chunk.service_name)
        if policy is not None and planned.task.state is TaskState.ASSIGNED:
            used_cores = cores_by_team.get(policy.team, 0)
            cores_by_team[policy.team] = used_cores + policy.size.cores
            tasks_by_team[policy.team] += 1
    return {
        **_common_fields(core),
        'teams': [
            {
                'team': team,
                'tasks': tasks_by_team[team],
                'cores_used': cores_by_team.get(team, 0),
                'cores_quota': core.configuration.team(team).cores,
            }
            for team in sorted(_team_names(core.configuration.policies()))
        ],
    }


def task_status(core: EntryCore, task_id: str) -> _Document | None:
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


def _common_fields(core: EntryCore) -> dict[str, Any]:
    return {
        'entry': core.identity.entry_id,
        'configuration': core.configuration.version,
        'shards': [held.shard for held in core.shards.held()],
        'shards_in_all': core.shards.shards,
    }


def _describe_agent(core: EntryCore, record: AgentRecord) -> _Document:
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


def _count_states(planned_tasks: Iterable[PlannedTask]) -> Mapping[str, int]:
    return Counter(planned.task.state.value for planned in planned_tasks)


def _describe_job(job_id: str, planned_tasks: list[PlannedTask]) -> _Document:
    reasons = Counter(
        planned.task.why_waiting
        for planned in planned_tasks
        if planned.task.why_waiting
    )
    return {
        'job': job_id,
        'service': planned_tasks[0].chunk.service_name,
        'shard': planned_tasks[0].chunk.shard,
        'tasks': _count_states(planned_tasks),
        'why_waiting': '; '.join(
            f'{reason} ({count})' for reason, count in reasons.most_common()
        ),
    }


def _describe_keeper(
    core: EntryCore,
    service_name: str,
    planned_tasks: list[PlannedTask],
) -> _Document:
    down = [planned.task for planned in planned_tasks if not _is_up(planned)]
    now_ms = core.clock.now()
    longest_ms = max((now_ms - task.waiting_since for task in down), default=0)
    policy = core.configuration.policy(service_name)
    return {
        'service': service_name,
        'declared': policy.keepers if policy else 0,
        'up': len(planned_tasks) - len(down),
        'down_s': round(longest_ms / MILLIS_PER_SECOND, 1),
        'down': [task.task_id for task in down],
        'why': '; '.join(
            sorted({task.why_waiting for task in down if task.why_waiting}),
        ),
    }


def _is_up(planned: PlannedTask) -> bool:
    task = planned.task
    return task.state is TaskState.ASSIGNED and task.is_confirmed


def _team_names(policies: Iterable[ServicePolicy]) -> set[str]:
    return {policy.team for policy in policies}
