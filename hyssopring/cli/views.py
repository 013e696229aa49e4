"""What the reading commands show."""

from datetime import datetime, timezone
from types import MappingProxyType
from typing import Any, Callable, Final, Mapping

from hyssopring.cli.client import Answer, OperatorClient
from hyssopring.cli.exits import CommandFailure, ExitCode
from hyssopring.cli.fleet import Fleet, read_fleet
from hyssopring.cli.output import fail, good, say, say_json, say_rows
from hyssopring.cli.tables import render_table

__all__ = (
    'VIEW_BY_NAME',
    'Answer',
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
        say_json(page)
        return
    say(f'configuration version {page["version"]}')
    say(render_table(('key', 'version', 'document'), page['items']))


def item_version(page: _Page, key: str) -> int:
    """Return the version of one item, 0 if it is not in force."""
    versions = {item['key']: item['version'] for item in page['items']}
    return int(versions.get(key, 0))


def show_job(found: _Page, *, as_json: bool) -> None:
    """Show one job's tasks by state."""
    if as_json:
        say_json(found)
        return
    states = found['tasks']
    counts = ' '.join(f'{state}={states[state]}' for state in sorted(states))
    say(f'{found["job"]}: {counts or "no tasks planned yet"}')


def show_fleet(client: OperatorClient, *, as_json: bool) -> None:
    """Show agents, their room, what runs there and whether they take work."""
    fleet = good(read_fleet(client, 'status'))
    agent_by_id = _agents(fleet)
    if not as_json:
        say(_entries_line(fleet))
    columns = (
        'id zone rack cores free_cores free_memory_gb tasks backends '
        'in_flight stopping drained configuration'
    )
    rows = [agent_by_id[agent_id] for agent_id in sorted(agent_by_id)]
    say_rows(fleet, columns.split(), rows, as_json=as_json)


def show_teams(client: OperatorClient, *, as_json: bool) -> None:
    """Show what each team uses of its quota."""
    fleet = good(read_fleet(client, 'teams'))
    row_by_team: dict[str, dict[str, Any]] = {}
    for row in fleet.rows('teams'):
        known = row_by_team.setdefault(
            row['team'],
            {**row, 'tasks': 0, 'cores_used': 0},
        )
        known['tasks'] += row['tasks']
        known['cores_used'] += row['cores_used']
    rows = [row_by_team[team] for team in sorted(row_by_team)]
    columns = ('team', 'tasks', 'cores_used', 'cores_quota')
    say_rows(fleet, columns, rows, as_json=as_json)


def show_jobs(client: OperatorClient, *, as_json: bool) -> None:
    """Show the jobs of all shards."""
    fleet = good(read_fleet(client, 'jobs'))
    rows = sorted(fleet.rows('jobs'), key=lambda row: str(row['job']))
    columns = ('job', 'service', 'tasks', 'why_waiting')
    say_rows(fleet, columns, rows, as_json=as_json)


def show_keepers(client: OperatorClient, *, as_json: bool) -> None:
    """Show declared keepers, those that are up, and why others are not."""
    fleet = good(read_fleet(client, 'keepers'))
    rows = sorted(fleet.rows('keepers'), key=lambda row: str(row['service']))
    columns = ('service', 'declared', 'up', 'down_s', 'down', 'why')
    say_rows(fleet, columns, rows, as_json=as_json)


def show_versions(client: OperatorClient, *, as_json: bool) -> None:
    """Show the configuration version in force in each process."""
    fleet = good(read_fleet(client, 'status'))
    version_by_process = fleet.version_by_process
    rows = [
        {'process': name, 'version': version_by_process[name]}
        for name in sorted(version_by_process)
    ]
    say_rows(fleet, ('process', 'version'), rows, as_json=as_json)


def show_decisions(
    client: OperatorClient,
    subject: str,
    *,
    as_json: bool,
) -> None:
    """Show decisions that any entry keeps, oldest first."""
    fleet = good(read_fleet(client, f'explain/{subject}'))
    pages = fleet.page_by_entry
    rows = [
        {**decision, 'entry': entry, 'time': _clock_time(decision['at'])}
        for entry in sorted(pages)
        for decision in pages[entry]['decisions']
    ]
    rows.sort(key=lambda row: float(row['at']))
    tasks = [page['task'] for page in pages.values() if page['task']]
    if not rows and not tasks and not fleet.silent_by_entry:
        line = f'{subject}: no entry keeps anything about it'
        fail(CommandFailure(ExitCode.REFUSED, line))
    if as_json:
        say_json({'rows': rows, 'task': tasks[0] if tasks else None})
        return
    for task in tasks:
        say(render_table(('name', 'found'), _pairs(task)))
    columns = ('time', 'entry', 'event', 'what', 'where', 'why')
    say_rows(fleet, columns, rows, as_json=False)


def _clock_time(seconds: float) -> str:
    moment = datetime.fromtimestamp(seconds, tz=timezone.utc)
    return moment.strftime('%H:%M:%S.%f')[:-3]


def _pairs(task: _Page) -> list[_Page]:
    return [{'name': name, 'found': task[name]} for name in task]


def _agents(fleet: Fleet) -> dict[str, dict[str, Any]]:
    """Put together what each entry knows of each agent."""
    version_by_process = fleet.version_by_process
    agent_by_id: dict[str, dict[str, Any]] = {}
    for agent in fleet.rows('agents'):
        known = agent_by_id.get(agent['id'])
        agent_by_id[agent['id']] = {
            **agent,
            'backends': len(agent['backends']),
            'in_flight': sum(each['in_flight'] for each in agent['backends']),
            'tasks': 0,
            'stopping': agent['stopping'] or bool(known and known['stopping']),
            'configuration': version_by_process[agent['id']],
        }
    for page in fleet.page_by_entry.values():
        for agent_id, agent_row in agent_by_id.items():
            agent_row['tasks'] += page['tasks_by_agent'].get(agent_id, 0)
    return agent_by_id


def _entries_line(fleet: Fleet) -> str:
    pages = fleet.page_by_entry
    planned = sum(len(page['shards']) for page in pages.values())
    in_all = max(page['shards_in_all'] for page in pages.values())
    names = ' '.join(sorted(pages))
    return f'entries: {names}; shards planned: {planned} of {in_all}'


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
