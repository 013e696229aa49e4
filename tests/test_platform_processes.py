"""End-to-end tests: entry and agent processes on the stand-in platform."""

import contextlib
import json
import re
import time
import urllib.error
import urllib.request

from hyssopring.cli.main import main
from standins.ports import ReservedPorts
from standins.programs import settings_file, start_program

TIMEOUT_S = 30


@contextlib.contextmanager
def run_platform(
    tmp_path,
    agents_seed=None,
    second_entry_after_s=0,
    entry_files=(),
    limits=None,
    operator_limits=None,
):
    """Run two entries, two agents and the stand-in, each in a process.

    The seed of the agents is the first entry, or ``agents_seed``. The entries'
    command names the ``entry_files``; the settings of all have the ``limits``, the
    operator's configuration the ``operator_limits``. Yield the
    ports of the entries for callers and the processes of the entries.
    """
    ports = ReservedPorts()
    store = f'127.0.0.1:{next(ports)}'
    front = [next(ports), next(ports)]
    inner = [next(ports), next(ports)]
    runners = [
        {
            'app': f'127.0.0.1:{next(ports)}',
            'control': f'127.0.0.1:{next(ports)}',
        }
        for _agent in range(2)
    ]
    route = {
        'name': 'q',
        'host': 'h.example',
        'pathPrefix': '/q/',
        'service': 'service',
        'maxAttempts': 2,
    }
    standin_settings = {
        'store': store,
        'runners': runners,
        'configuration': {
            'version': 3,
            'routes': [route],
            'limits': operator_limits or {},
        },
    }
    (tmp_path / 'standin.json').write_text(json.dumps(standin_settings))
    commands = [['standins.platform', str(tmp_path / 'standin.json')]]
    environments = [{}]
    for number in range(2):
        bind = {
            'frontend': f'127.0.0.1:{front[number]}',
            'ready': f'127.0.0.1:{next(ports)}',
        }
        name = f'entry-{number}'
        environments.append(
            settings_file(
                tmp_path,
                name,
                inner[number],
                bind,
                store,
                inner[0],
                '',
                next(ports),
                limits=limits,
            )
        )
        commands.append(['hyssopring.platform', 'entry', *entry_files])
    for number, runner in enumerate(runners):
        name = f'agent-{number}'
        bind = {'controlPlane': runner['control']}
        seed = inner[0] if agents_seed is None else agents_seed
        environments.append(
            settings_file(
                tmp_path,
                name,
                seed,
                bind,
                store,
                seed,
                runner['app'],
                next(ports),
                limits=limits,
            )
        )
        commands.append(['hyssopring.platform', 'agent'])
    # The second entry starts last, after ``second_entry_after_s``.
    commands.append(commands.pop(2))
    environments.append(environments.pop(2))
    with contextlib.ExitStack() as running:
        running.callback(ports.release)
        processes = []
        for command, environment in zip(commands, environments, strict=True):
            if 'entry-1' in str(environment):
                time.sleep(second_entry_after_s)
            log = tmp_path / f'process-{len(processes)}.log'
            output = running.enter_context(log.open('wb'))
            process = start_program(command, environment, output)
            processes.append(process)
            running.callback(process.wait)
            running.callback(process.terminate)
        yield front, (processes[1], processes[-1])


def call(port, method, path, body=None):
    """Return status and body; the status is 0 if the connection fails."""
    request = urllib.request.Request(
        f'http://127.0.0.1:{port}{path}',
        data=None if body is None else json.dumps(body).encode(),
        method=method,
        headers={'Host': 'h.example', 'Content-Type': 'application/json'},
    )
    try:
        with urllib.request.urlopen(request, timeout=5) as response:
            return response.status, json.loads(response.read())
    except urllib.error.HTTPError as error:
        return error.code, {}
    except OSError:
        return 0, {}


def wait_for_response(expected, *request):
    """Repeat a request until the response is the expected one."""
    ends_at = time.monotonic() + TIMEOUT_S
    while (response := call(*request)) != expected:
        assert time.monotonic() < ends_at, response
        time.sleep(0.1)


def test_job_submitted_at_both_entries_is_one_job(
    tmp_path,
):
    """A caller submits the same job at two entries and queries both."""
    steps = [
        {'count': 3, 'cpu': 500, 'memMb': 10},
        {'count': 2, 'cpu': 500, 'memMb': 10, 'after': [0]},
    ]
    path = '/q/5c0e7a21d94b36f8'
    with run_platform(tmp_path) as ((first, second), _entries):
        wait_for_response((200, {'pending': 0}), first, 'GET', '/q/')
        wait_for_response((200, {'pending': 0}), second, 'GET', '/q/')
        assert (
            call(first, 'POST', path, {'spec': 'x', 'steps': steps})[0] == 200
        )
        assert (
            call(second, 'POST', path, {'spec': 'x', 'steps': steps})[0] == 200
        )
        wait_for_response((200, {'state': 'completed'}), first, 'GET', path)
        wait_for_response((200, {'state': 'completed'}), second, 'GET', path)
        assert call(first, 'GET', '/q/00000000000000aa')[0] == 410
        assert call(first, 'DELETE', '/q/00000000000000aa')[0] == 410
        assert call(first, 'GET', '/other/')[0] == 404
        assert call(first, 'POST', path, {'steps': 'none'})[0] == 400


def test_logs_explain_a_job_after_an_entry_was_killed(tmp_path, capsys):
    """The logs of the processes alone suffice to explain what happened."""
    path = '/q/5c0e7a21d94b36f8'
    with run_platform(tmp_path) as ((first, second), entries):
        wait_for_response((200, {'pending': 0}), first, 'GET', '/q/')
        wait_for_response((200, {'pending': 0}), second, 'GET', '/q/')
        entries[0].kill()
        body = {'steps': [{'count': 3, 'cpu': 500}]}
        assert call(second, 'POST', path, body)[0] == 200
        wait_for_response((200, {'state': 'completed'}), second, 'GET', path)
        # The end of the job is logged within a second.
        time.sleep(1.5)
    logs = sorted(map(str, tmp_path.glob('process-*.log')))
    assert len(logs) == 5
    main(['explain', 'logs', *logs, '--job=5c0e7a21d94b36f8'])
    explanation = capsys.readouterr().out
    assert 'this entry took shard 0 under reign ' in explanation
    assert 'accepted in queue q with 3 tasks' in explanation
    for index in range(3):
        # The numbers of attempts start again under each epoch.
        task = rf'5c0e7a21d94b36f8\.0\.0\.{index} attempt \d+'
        assert re.search(f'{task} is placed on agent-', explanation), (
            explanation
        )
        assert re.search(f'{task} ended: done', explanation), explanation
    assert 'the job finished: completed' in explanation
    assert 'unknown' not in explanation and 'foreign' not in explanation, (
        explanation
    )
    cause = explanation.splitlines()[-1]
    # Either entry may have owned the shard.
    was_owner = 'took shard 0' in explanation.partition('accepted')[2]
    assert cause.startswith('Likely cause: ')
    assert ('the owner died' in cause) == was_owner, explanation


def write_rows(tmp_path, **changes):
    """Commit a transaction at the stand-in's store, as an operator does."""
    store = json.loads((tmp_path / 'standin.json').read_text())['store']
    request = urllib.request.Request(
        f'http://{store}/-/rows-tx',
        data=json.dumps(changes).encode(),
        headers={'Content-Type': 'application/json'},
    )
    with urllib.request.urlopen(request, timeout=5) as response:
        assert response.status == 200


def test_nothing_starts_while_the_zone_is_evacuated(tmp_path):
    """Guards the path of an operator's row to the agents' refusals."""
    path = '/q/5c0e7a21d94b36f8'
    row = {'table': 'op', 'part': '', 'key': 'evacuate/z'}
    with run_platform(tmp_path) as ((first, second), _entries):
        wait_for_response((200, {'pending': 0}), first, 'GET', '/q/')
        wait_for_response((200, {'pending': 0}), second, 'GET', '/q/')
        write_rows(tmp_path, writes=[{**row, 'value': 'e30='}])
        time.sleep(1)
        body = {'steps': [{'count': 3, 'cpu': 500}]}
        assert call(second, 'POST', path, body)[0] == 200
        time.sleep(3)
        assert call(first, 'GET', path) == (200, {'state': 'queued'})
        write_rows(tmp_path, remove=[row])
        wait_for_response((200, {'state': 'completed'}), first, 'GET', path)
    logs = [log.read_text() for log in tmp_path.glob('process-*.log')]
    assert sum('EVACUATION_BEGUN' in log for log in logs) == 2
    assert sum('EVACUATION_IN_FORCE' in log for log in logs) == 2
    assert sum('EVACUATION_ENDED' in log for log in logs) == 4


def test_agents_find_entries_although_all_seeds_are_stale(tmp_path):
    """All processes restart while the seeds name machines that are gone.

    The agents must read the entries from the store. Agents that only dial the
    seeds never connect, and no task runs.
    """
    ports = ReservedPorts()
    with (
        ports,
        run_platform(tmp_path, agents_seed=next(ports)) as (
            (first, _second),
            _entries,
        ),
    ):
        wait_for_response((200, {'pending': 0}), first, 'GET', '/q/')
        assert (
            call(
                first,
                'POST',
                '/q/5c0e7a21d94b36f8',
                {'steps': [{'count': 3, 'cpu': 500}]},
            )[0]
            == 200
        )
        wait_for_response(
            (200, {'state': 'completed'}), first, 'GET', '/q/5c0e7a21d94b36f8'
        )


def test_agents_connect_to_entries_that_start_later(tmp_path):
    """The only seed of the agents is killed.

    It has announced the other entry to them before, although that one started
    later.
    """
    with run_platform(tmp_path, second_entry_after_s=2) as (
        (first, second),
        entries,
    ):
        wait_for_response((200, {'pending': 0}), first, 'GET', '/q/')
        wait_for_response((200, {'pending': 0}), second, 'GET', '/q/')
        time.sleep(2.5)
        entries[0].kill()
        path = '/q/5c0e7a21d94b36f8'
        assert (
            call(second, 'POST', path, {'steps': [{'count': 3, 'cpu': 500}]})[0]
            == 200
        )
        wait_for_response((200, {'state': 'completed'}), second, 'GET', path)


def test_each_process_serves_its_metrics(tmp_path):
    """The counters of both roles include a completed job."""
    with run_platform(tmp_path) as (fronts, _entries):
        body = {'spec': 'x', 'steps': [{'count': 1, 'cpu': 100, 'memMb': 10}]}
        path = '/q/00000000000000aa'
        wait_for_response((200, {}), fronts[0], 'POST', path, body)
        wait_for_response((200, {'state': 'completed'}), fronts[0], 'GET', path)
        entry_metrics, agent_metrics = scrape(tmp_path, 'entry-0'), ''
        for number in range(2):
            agent_metrics += scrape(tmp_path, f'agent-{number}')
        assert 'hyssopring_jobs_accepted_total 1' in entry_metrics
        assert 'hyssopring_store_calls_total{status="200"}' in entry_metrics
        assert 'hyssopring_attempts_ended_total{how="done"} 1' in agent_metrics


def test_an_entry_goes_on_with_what_a_killed_one_has_learned(tmp_path):
    """The row's way through the store's interface, from process to process."""
    scheduling = tmp_path / 'scheduling.json'
    scheduling.write_text('{"learning": {"save_interval_ms": 500}}')
    files = [str(scheduling)]
    with run_platform(tmp_path, entry_files=files) as (fronts, entries):
        body = {'spec': 'x', 'steps': [{'count': 1, 'cpu': 100, 'memMb': 10}]}
        path = '/q/00000000000000aa'
        wait_for_response((200, {'pending': 0}), fronts[1], 'GET', '/q/')
        wait_for_response((200, {}), fronts[0], 'POST', path, body)
        wait_for_response((200, {'state': 'completed'}), fronts[0], 'GET', path)
        former = int('hyssopring_shards_owned 1' in scrape(tmp_path, 'entry-1'))
        assert 'learned_run_times 1' in scrape(tmp_path, f'entry-{former}')
        time.sleep(1.5)
        entries[former].kill()
        wait_for_metric('learned_run_times 1', tmp_path, f'entry-{1 - former}')
        successor_metrics = scrape(tmp_path, f'entry-{1 - former}')
        assert 'hyssopring_learned_states_loaded_total 1' in successor_metrics


def wait_for_metric(expected, tmp_path, name):
    """Read the metrics of a process until they have a line."""
    ends_at = time.monotonic() + TIMEOUT_S
    while expected not in scrape(tmp_path, name):
        assert time.monotonic() < ends_at, expected
        time.sleep(0.1)


def scrape(tmp_path, name):
    port = json.loads((tmp_path / f'{name}.json').read_text())['metricsPort']
    address = f'http://127.0.0.1:{port}/metrics'
    ends_at = time.monotonic() + TIMEOUT_S
    while True:
        try:
            with urllib.request.urlopen(address, timeout=5) as response:
                return response.read().decode()
        except urllib.error.URLError:
            # The job needs only one agent; the other may still be starting.
            assert time.monotonic() < ends_at, name
            time.sleep(0.1)
