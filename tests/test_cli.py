"""Tests of the command line without processes: usage, help, settings."""

import pathlib
import time

import pytest

from hyssopring.cli.help import command_names
from hyssopring.cli.main import main

ROOT = pathlib.Path(__file__).resolve().parent.parent
TOKEN = '--token=0123456789abcdef'


def run(capsys, *arguments):
    """Return the exit code, standard output and standard error."""
    try:
        main(arguments)
    except SystemExit as stop:
        code = int(stop.code)
    else:
        code = 0
    captured = capsys.readouterr()
    return code, captured.out, captured.err


@pytest.mark.parametrize(
    ('arguments', 'message'),
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
    capsys, monkeypatch, arguments, message
):
    for name in ('ENTRY', 'TOKEN', 'SETTINGS'):
        monkeypatch.delenv(f'HYSSOPRING_{name}', raising=False)
    code, out, err = run(capsys, *arguments)
    assert (code, out, err.count('\n')) == (2, '', 1), err
    assert message in err


def test_unreachable_entry_is_exit_code_3(capsys):
    code, _, err = run(capsys, 'status', TOKEN, '--entry=127.0.0.1:9')
    assert (code, err.count('\n')) == (3, 1)


def test_help_is_plain_text_and_names_every_command(capsys, monkeypatch):
    """Guards against the parser's own help, which starts a pager process."""
    monkeypatch.setattr('subprocess.Popen', lambda *_, **__: pytest.fail())
    code, program_help, err = run(capsys, '--help')
    assert (code, err) == (0, '') and '\x1b' not in program_help
    for name in command_names():
        assert f'\n  {name} ' in program_help
        code, help_text, _ = run(capsys, name, '--help')
        assert code == 0 and help_text.startswith(f'usage: hyssopring {name}')


def test_check_infers_the_role_from_the_keys(capsys):
    path = ROOT / 'examples/hemeroteca/agents/agent-01.json'
    code, out, _ = run(capsys, 'check', str(path))
    assert (code, out) == (0, f'{path}: good AgentSettings\n')
    assert run(capsys, 'check', str(path), '--role=entry')[0] == 2


# The parser of JSON with comments took 21.7 s for 1 MB, so it accepts at most
# 65536 characters. These members are over 1 MB long; the limit is in seconds of
# processor time and has a margin for a slow machine.
MAX_CPU_S = 15
LONG_MEMBERS = ', '.join(f'"key-{n}": {{"a": {n}}}' for n in range(60_000))


@pytest.mark.parametrize(
    ('text', 'message'),
    [
        (f'{{{LONG_MEMBERS}}}', 'unknown key'),
        (
            f'// ours\n{{{LONG_MEMBERS}}}',
            'with comments at most 65536 characters',
        ),
        (f'{{{LONG_MEMBERS}, "key-7": 1}}', 'an object names a key twice'),
        (f'{{{LONG_MEMBERS}', 'with comments at most 65536 characters'),
        ('[' * 100_000, 'is not JSON with comments'),
    ],
    ids=('plain', 'comments', 'twice', 'cut', 'deep'),
)
def test_a_long_settings_file_is_refused_quickly(
    capsys, tmp_path, text, message
):
    path = tmp_path / 'long.json'
    path.write_text(text)
    started_s = time.process_time()
    code, out, err = run(capsys, 'check', str(path), '--role=operator')
    assert time.process_time() - started_s < MAX_CPU_S
    assert (code, out, err.count('\n')) == (2, '', 1)
    assert message in err and len(err) < 1000


@pytest.mark.parametrize(
    'text',
    [
        '// ours\n{entry: "127.0.0.1:7002", "token": "0123456789abcdef",}',
        '{"entry": "127.0.0.1:7002", "token": "0123456789abcdef"}',
    ],
)
def test_a_short_settings_file_may_have_comments(capsys, tmp_path, text):
    path = tmp_path / 'short.json'
    path.write_text(text)
    assert run(capsys, 'check', str(path))[0] == 0
    path.write_text(text.replace('{', '{"entry": "a:1", ', 1))
    code, _, err = run(capsys, 'check', str(path))
    assert code == 2 and 'uplicate key' in err
