"""Operators' commands on a small deployment of real processes."""

import json
import time

import pytest

from demo.__main__ import TOKEN, Deployment, http_call
from hyssopring.cli.main import main

SIZE = '{"kind": "batch", "size": {"cores": 1, "memory_gb": 2}, "run_ms": '


@pytest.fixture(scope='module')
def deployment(tmp_path_factory):
    started = Deployment(work=tmp_path_factory.mktemp('deployment'))
    started.start()
    try:
        started.wait_ready()
        started.wait_in_force(started.configure())
        yield started
    finally:
        started.stop()


@pytest.fixture
def operate(deployment, capsys, monkeypatch, tmp_path):
    monkeypatch.setenv('HYSSOPRING_TOKEN', TOKEN)
    monkeypatch.setenv('HYSSOPRING_ENTRY', deployment.entries[0]['operators'])

    def run(line, document=None):
        arguments = line.split()
        if document is not None:
            path = tmp_path / 'document.json'
            path.write_text(f'// A comment.\n{document}')
            arguments = [
                str(path) if argument == 'FILE' else argument
                for argument in arguments
            ]
        try:
            main(arguments)
        except SystemExit as stop:
            code = int(stop.code)
        else:
            code = 0
        output = capsys.readouterr()
        return code, output.out, output.err

    return run


def rows_of(operate, line):
    code, out, err = operate(f'{line} --json')
    assert code == 0, err
    return json.loads(out)['rows']


def wait_until(check, seconds=12):
    deadline = time.monotonic() + seconds
    while not check():
        assert time.monotonic() < deadline
        time.sleep(0.1)


def test_item_is_submitted_changed_shown_and_withdrawn(operate):
    code, out, _ = operate('submit team/viva FILE --json', '{"cores": 8}')
    version = json.loads(out)['version']
    code, out, err = operate(
        f'change team/viva FILE {version} --wait', '{"cores": 9}'
    )
    assert code == 0 and 'in force everywhere' in out, err
    found = json.loads(operate('show team/viva --json')[1])['items'][0]
    assert found['document'] == {'cores': 9}
    assert operate(f'withdraw team/viva {found["version"]} --wait')[0] == 0
    assert json.loads(operate('show team/viva --json')[1])['items'] == []


def test_slower_of_two_operators_is_told_the_current_version(operate):
    """Guards against one operator silently undoing another's change.

    Two operators change an item after they read the same version. One change
    is accepted; the other gets exit code 1 and the current version.
    """
    _, out, _ = operate('submit team/race FILE --json', '{"cores": 1}')
    version = json.loads(out)['version']
    _, out, _ = operate(
        f'change team/race FILE {version} --json', '{"cores": 2}'
    )
    current = json.loads(out)['version']
    code, out, err = operate(f'change team/race FILE {version}', '{"cores": 3}')
    assert (code, out, err.count('\n')) == (1, '', 1)
    assert f'at version {current}, not {version}' in err


def test_wrong_document_is_refused_with_the_key_named(operate):
    code, _, err = operate('submit team/odd FILE', '{"cpus": 1}')
    assert code == 1 and err.startswith('hyssopring: invalid: cpus')
    assert operate('submit moon/odd FILE', '{}')[0] == 1


def test_every_status_page_answers(operate):
    fleet = rows_of(operate, 'status')
    assert [agent['id'] for agent in fleet] == ['agent-0', 'agent-1', 'agent-2']
    wait_until(
        lambda: [row['up'] for row in rows_of(operate, 'status keepers')] == [2]
    )
    teams = {row['team']: row for row in rows_of(operate, 'status teams')}
    assert teams['trust']['cores_used'] >= 2
    assert len(rows_of(operate, 'status versions')) == 5
    wait_until(
        lambda: (
            len({row['version'] for row in rows_of(operate, 'status versions')})
            == 1
        ),
        seconds=3,
    )
    assert operate('status')[1].startswith('entries: entry-0 entry-1; shards')


def test_operators_command_at_the_callers_port_is_told_the_mistake(
    deployment, operate
):
    callers = deployment.entries[0]['callers']
    code, out, err = operate(f'status --entry={callers}')
    assert (code, out, err.count('\n')) == (1, '', 1)
    assert "v1/status: this is the callers' port" in err


def test_request_is_explained_through_any_entry(deployment, operate):
    """The operator queries another entry than the one that routed it."""
    status, _, headers = call_with_headers(deployment.entries[1]['callers'])
    found = rows_of(
        operate, f'explain request {headers["hyssopring-request-id"]}'
    )
    assert status == 200
    assert [row['what'] for row in found][0] == 'REQUEST_ROUTED'
    assert {row['entry'] for row in found} == {'entry-1'}
    assert operate('explain request nosuch')[0] == 1


def test_waiting_task_says_why_and_a_cancelled_one_ends(operate):
    operate('submit template/giant FILE', SIZE.replace('1,', '900,') + '100}')
    operate('submit parameters/trust/giant FILE --wait', '{}')
    code, _, err = operate('run never trust giant --tasks 2')
    assert code == 1 and 'no worker is large enough' in err
    # It needs an empty VM, and each VM runs a backend server.
    operate('submit template/whole FILE', SIZE.replace('1,', '16,') + '100}')
    operate('submit parameters/trust/whole FILE --wait', '{}')
    assert operate('run big trust whole --tasks 2')[0] == 0
    wait_until(
        lambda: (
            'no room' in operate('explain task big:1')[1] + operate('jobs')[1]
        )
    )
    assert operate('cancel big:0')[0] == 0
    wait_until(lambda: 'cancelled=1' in operate('job big')[1])
    assert operate('cancel big')[0] == 0
    wait_until(lambda: 'cancelled=2' in operate('job big')[1])
    code, _, err = operate('cancel nosuch')
    assert code == 1 and 'no such job' in err


def test_drained_vm_gives_its_batch_tasks_away_and_takes_none(operate):
    """A drained VM's batch tasks move to other VMs with their checkpoints.

    It accepts no new tasks until undrain; its keepers stay.
    """
    operate('submit template/rebuild FILE', SIZE + '6000}')
    operate('submit parameters/trust/rebuild FILE --wait', '{}')
    operate('run title trust rebuild --tasks 6')
    wait_until(lambda: 'assigned=6' in operate('job title')[1])
    code, out, err = operate('drain agent-1 --why=disk --wait')
    assert code == 0 and 'in force' in out, err

    def batch_on_drained():
        pages = [operate(f'explain task title:{n} --json')[1] for n in range(6)]
        tasks = [json.loads(page)['task'] for page in pages]
        return [each for each in tasks if each['agent'] == 'agent-1']

    wait_until(lambda: not batch_on_drained())
    drained = [row for row in rows_of(operate, 'status') if row['drained']]
    assert [row['id'] for row in drained] == ['agent-1']
    assert drained[0]['stopping']
    assert operate('drain agent-1')[0] == 1
    assert operate('undrain agent-1 --wait')[0] == 0
    wait_until(
        lambda: not any(row['stopping'] for row in rows_of(operate, 'status'))
    )
    assert operate('undrain agent-1')[0] == 1
    wait_until(lambda: 'completed=6' in operate('job title')[1], 30)


def call_with_headers(address):
    import http.client

    connection = http.client.HTTPConnection(address, timeout=10)
    connection.request('POST', '/trust/booking/lessons', 'rider')
    response = connection.getresponse()
    headers = {name.lower(): text for name, text in response.getheaders()}
    # Each header once: the backend server's replace those of the entry.
    assert len(headers) == len(response.getheaders())
    connection.close()
    return response.status, None, headers


def test_operators_port_refuses_a_wrong_token(deployment):
    address = deployment.entries[0]['operators']
    for token in ('', 'Bearer wrong'):
        status, _ = http_call(
            address, 'GET', '/v1/status', None, {'Authorization': token}
        )
        assert status == 401
