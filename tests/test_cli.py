"""The command line without a deployment: usage, help, settings files."""

import pathlib
import time

import pytest

from hyssopring.cli.help import command_names
from hyssopring.cli.main import main

ROOT = pathlib.Path(__file__).resolve().parent.parent
TOKEN = '--token=0123456789abcdef'


def run(capsys, *arguments):
    try:
        main(arguments)
    except SystemExit as stop:
        code = int(stop.code)
    else:
        code = 0
    seen = capsys.readouterr()
    return code, seen.out, seen.err


@pytest.mark.parametrize(
    ('arguments', 'words'),
    [
        ([], 'no command'),
        (['bogus'], 'unknown command bogus'),
        (['status', '--colour'], 'unknown argument --colour'),
        (['status', '--', '--trace'], 'unknown argument --'),
        (['status', 'fleet', 'extra', TOKEN], 'unknown argument extra'),
        (['status', 'moon', TOKEN], 'status moon: unknown'),
        (['submit', 'team/a'], 'FILE is missing'),
        (['change', 'team/a', 'f', 'new', TOKEN], 'version: '),
        (['run', 'j', 't', 'p', '--tasks=many'], 'tasks: '),
        (['submit', 'team/a', 'nowhere.json', TOKEN], 'nowhere.json: cannot'),
        (['entry', 'nowhere.json'], 'nowhere.json: cannot be read'),
        (['check', 'pyproject.toml'], 'is not JSON with comments'),
        (['check', 'pyproject.toml', '--role=cook'], 'is not JSON'),
        (['status'], 'no token'),
        (['status', '--token=short'], '--token: '),
        (['status', TOKEN, '--entry=nowhere'], '--entry: '),
        (['explain', 'weather', 'x', TOKEN], 'use request, task or job'),
        (['job', 'a?b', TOKEN], 'not a name'),
    ],
)
def test_wrong_usage_is_one_line_and_exit_code_2(
    capsys, monkeypatch, arguments, words
):
    for name in ('ENTRY', 'TOKEN', 'SETTINGS'):
        monkeypatch.delenv(f'HYSSOPRING_{name}', raising=False)
    code, out, err = run(capsys, *arguments)
    assert (code, out, err.count('\n')) == (2, '', 1), err
    assert words in err


def test_no_entry_is_exit_code_3(capsys):
    code, _, err = run(capsys, 'status', TOKEN, '--entry=127.0.0.1:9')
    assert (code, err.count('\n')) == (3, 1)


def test_help_is_plain_text_and_names_every_command(capsys, monkeypatch):
    """A pager would be a process; the parser's own help opens one."""
    monkeypatch.setattr('subprocess.Popen', lambda *_, **__: pytest.fail())
    code, page, err = run(capsys, '--help')
    assert (code, err) == (0, '') and '\x1b' not in page
    for name in command_names():
        assert f'\n  {name} ' in page
        code, own, _ = run(capsys, name, '--help')
        assert code == 0 and own.startswith(f'usage: hyssopring {name}')


def test_check_tells_the_role_by_the_files_shape(capsys):
    path = ROOT / 'examples/hemeroteca/agents/agent-01.json'
    code, out, _ = run(capsys, 'check', str(path))
    assert (code, out) == (0, f'{path}: good AgentSettings\n')
    assert run(capsys, 'check', str(path), '--role=entry')[0] == 2


# A settings file of any length gets an answer soon. The reader of JSON with
# comments took 21.7 s for 1 MB; this file has over 1 MB, and the limit, in
# seconds of processor time, has room for a slow machine.
LONG_S = 15
LONG = ', '.join(f'"key-{n}": {{"a": {n}}}' for n in range(60_000))


@pytest.mark.parametrize(
    ('text', 'words'),
    [
        (f'{{{LONG}}}', 'unknown key'),
        (f'// ours\n{{{LONG}}}', 'with comments at most 65536 characters'),
        (f'{{{LONG}, "key-7": 1}}', 'an object names a key twice'),
        (f'{{{LONG}', 'with comments at most 65536 characters'),
        ('[' * 100_000, 'is not JSON with comments'),
    ],
    ids=('plain', 'comments', 'twice', 'cut', 'deep'),
)
def test_a_long_settings_file_is_answered_soon(capsys, tmp_path, text, words):
    path = tmp_path / 'long.json'
    path.write_text(text)
    started = time.process_time()
    code, out, err = run(capsys, 'check', str(path), '--role=operator')
    assert time.process_time() - started < LONG_S
    assert (code, out, err.count('\n')) == (2, '', 1)
    assert words in err and len(err) < 1000


@pytest.mark.parametrize(
    'text',
    [
        '// ours\n{entry: "127.0.0.1:7002", "token": "0123456789abcdef",}',
        '{"entry": "127.0.0.1:7002", "token": "0123456789abcdef"}',
    ],
)
def test_a_short_file_may_have_comments(capsys, tmp_path, text):
    path = tmp_path / 'short.json'
    path.write_text(text)
    assert run(capsys, 'check', str(path))[0] == 0
    path.write_text(text.replace('{', '{"entry": "a:1", ', 1))
    code, _, err = run(capsys, 'check', str(path))
    assert code == 2 and 'uplicate key' in err
