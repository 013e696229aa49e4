"""The output of the commands that read."""

from datetime import datetime, timezone
from types import MappingProxyType
from typing import Any, Callable, Final, Mapping

from hyssopring.cli.client import CallResult, OperatorClient
from hyssopring.cli.exits import CommandFailure, ExitCode
from hyssopring.cli.fleet_pages import FleetPages, read_fleet_pages
from hyssopring.cli.output import (
    exit_with,
    unwrap_or_exit,
    write_json,
    write_line,
    write_rows,
)
from hyssopring.cli.tables import render_table

__all__ = (
    'VIEW_BY_NAME',
    'CallResult',
    'item_version',
    'show_decisions',
    'show_items',
    'show_job',
    'show_jobs',
)

_Page = Mapping[str, Any]


def show_items(page: _Page, *, as_json: bool) -> None:
    """Show configuration items."""
    if as_json:
        write_json(page)
        return
    write_line(f'configuration version {page["version"]}')
    write_line(render_table(('key', 'version', 'document'), page['items']))


def item_version(page: _Page, key: str) -> int:
    """Return the version of one item; 0 if it is not in force."""
    version_by_key = {item['key']: item['version'] for item in page['items']}
    return int(version_by_key.get(key, 0))


def show_job(job_page: _Page, *, as_json: bool) -> None:
    """Show one job's tasks by state."""
    if as_json:
        write_json(job_page)
        return
    count_by_state = job_page['tasks']
    counts = ' '.join(
        f'{state}={count_by_state[state]}' for state in sorted(count_by_state)
    )
    write_line(f'{job_page["job"]}: {counts or "no tasks planned yet"}')


def show_fleet(client: OperatorClient, *, as_json: bool) -> None:
    """Show agents, their free capacity, their load and their state."""
    fleet = unwrap_or_exit(read_fleet_pages(client, 'status'))
    agent_by_id = _merge_agents(fleet)
    if not as_json:
        write_line(_entries_line(fleet))
    columns = (
        'id zone rack cores free_cores free_memory_gb tasks backends '
        'in_flight stopping drained configuration'
    )
    rows = [agent_by_id[agent_id] for agent_id in sorted(agent_by_id)]
    write_rows(fleet, columns.split(), rows, as_json=as_json)


def show_teams(client: OperatorClient, *, as_json: bool) -> None:
    """Show the use of each team's quota."""
    fleet = unwrap_or_exit(read_fleet_pages(client, 'teams'))
    row_by_team: dict[str, dict[str, Any]] = {}
    for row in fleet.rows('teams'):
        team_row = row_by_team.setdefault(
            row['team'],
            {**row, 'tasks': 0, 'cores_used': 0},
        )
        team_row['tasks'] += row['tasks']
        team_row['cores_used'] += row['cores_used']
    rows = [row_by_team[team] for team in sorted(row_by_team)]
    columns = ('team', 'tasks', 'cores_used', 'cores_quota')
    write_rows(fleet, columns, rows, as_json=as_json)


def show_jobs(client: OperatorClient, *, as_json: bool) -> None:
    """Show the jobs of all shards."""
    fleet = unwrap_or_exit(read_fleet_pages(client, 'jobs'))
    rows = sorted(fleet.rows('jobs'), key=lambda row: str(row['job']))
    columns = ('job', 'service', 'tasks', 'why_waiting')
    write_rows(fleet, columns, rows, as_json=as_json)


def show_keepers(client: OperatorClient, *, as_json: bool) -> None:
    """Show declared keepers, how many are up, and why others are not."""
    fleet = unwrap_or_exit(read_fleet_pages(client, 'keepers'))
    rows = sorted(fleet.rows('keepers'), key=lambda row: str(row['service']))
    columns = ('service', 'declared', 'up', 'down_s', 'down', 'why')
    write_rows(fleet, columns, rows, as_json=as_json)


def show_versions(client: OperatorClient, *, as_json: bool) -> None:
    """Show the configuration version in force in each process."""
    fleet = unwrap_or_exit(read_fleet_pages(client, 'status'))
    version_by_process = fleet.version_by_process
    rows = [
        {'process': name, 'version': version_by_process[name]}
        for name in sorted(version_by_process)
    ]
    write_rows(fleet, ('process', 'version'), rows, as_json=as_json)


def show_decisions(
    client: OperatorClient,
    subject: str,
    *,
    as_json: bool,
) -> None:
    """Show the recent decisions of all entries, oldest first.

    Args:
        client: A client of one entry.
        subject: The path of the subject, such as ``task/<name>``.
        as_json: Whether to write JSON.
    """
    fleet = unwrap_or_exit(read_fleet_pages(client, f'explain/{subject}'))
    pages = fleet.page_by_entry
    rows = [
        {**decision, 'entry': entry, 'time': _clock_time(decision['at'])}
        for entry in sorted(pages)
        for decision in pages[entry]['decisions']
    ]
    rows.sort(key=lambda row: float(row['at']))
    tasks = [page['task'] for page in pages.values() if page['task']]
    if not rows and not tasks and not fleet.failure_by_entry:
        line = f'{subject}: no entry keeps anything about it'
        exit_with(CommandFailure(ExitCode.REFUSED, line))
    if as_json:
        write_json({'rows': rows, 'task': tasks[0] if tasks else None})
        return
    for task in tasks:
        write_line(render_table(('name', 'found'), _field_rows(task)))
    columns = ('time', 'entry', 'event', 'what', 'where', 'why')
    write_rows(fleet, columns, rows, as_json=False)


def _clock_time(seconds: float) -> str:
    moment = datetime.fromtimestamp(seconds, tz=timezone.utc)
    return moment.strftime('%H:%M:%S.%f')[:-3]


def _field_rows(task: _Page) -> list[_Page]:
    return [{'name': name, 'found': task[name]} for name in task]


def _merge_agents(fleet: FleetPages) -> dict[str, dict[str, Any]]:
    """Merge the rows of each agent from the pages of all entries."""
    version_by_process = fleet.version_by_process
    agent_by_id: dict[str, dict[str, Any]] = {}
    for agent in fleet.rows('agents'):
        previous = agent_by_id.get(agent['id'])
        agent_by_id[agent['id']] = {
            **agent,
            'backends': len(agent['backends']),
            'in_flight': sum(
                backend['in_flight'] for backend in agent['backends']
            ),
            'tasks': 0,
            'stopping': agent['stopping']
            or bool(previous and previous['stopping']),
            'configuration': version_by_process[agent['id']],
        }
    for page in fleet.page_by_entry.values():
        for agent_id, agent_row in agent_by_id.items():
            agent_row['tasks'] += page['tasks_by_agent'].get(agent_id, 0)
    return agent_by_id


def _entries_line(fleet: FleetPages) -> str:
    pages = fleet.page_by_entry
    planned_count = sum(len(page['shards']) for page in pages.values())
    shard_count = max(page['shards_in_all'] for page in pages.values())
    names = ' '.join(sorted(pages))
    return f'entries: {names}; shards planned: {planned_count} of {shard_count}'


_View = Callable[..., None]
VIEW_BY_NAME: Final[Mapping[str, _View]] = MappingProxyType(
    {
        'fleet': show_fleet,
        'teams': show_teams,
        'jobs': show_jobs,
        'keepers': show_keepers,
        'versions': show_versions,
    }
)
