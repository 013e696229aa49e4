"""The demo's separate processes, over real sockets."""

import pathlib
import re
import signal
import subprocess
import sys

from demo.__main__ import TOKEN

ROOT = pathlib.Path(__file__).resolve().parent.parent


def test_demo_answers_every_booking_and_completes_the_job():
    run = subprocess.run(
        [sys.executable, '-m', 'demo'],
        capture_output=True,
        text=True,
        timeout=100,
    )
    assert run.returncode == 0, run.stdout + run.stderr


def test_demo_that_stays_prints_what_the_readme_says_and_it_works():
    run = subprocess.Popen(
        [sys.executable, '-m', 'demo', '--stay'],
        cwd=ROOT,
        stdout=subprocess.PIPE,
        text=True,
    )
    try:
        printed = read_commands(run.stdout)
        assert named(printed) == commands_of_the_readme()
        *before, explained = [
            line.replace(
                '.venv/bin/hyssopring', f'{sys.executable} -m hyssopring'
            )
            for line in printed
        ]
        # A person types slower than a task is placed; before that the command
        # succeeds too, and says that the task waits.
        again = (
            f'for _ in $(seq 20); do told=$({explained}) || true; '
            'echo "$told"; [[ $told == *TASK_PLACED* ]] && exit; '
            'sleep 0.5; done'
        )
        seen = subprocess.run(
            ['bash', '-eu', '-c', '\n'.join([*before, again, 'exit 1'])],
            cwd=ROOT,
            capture_output=True,
            text=True,
            timeout=60,
        )
        assert seen.returncode == 0, seen.stdout + seen.stderr
        assert '200 OK' in seen.stdout and 'noon-feed: accepted' in seen.stdout
        assert 'TASK_PLACED' in seen.stdout
    finally:
        run.send_signal(signal.SIGTERM)
        run.wait(30)
        run.stdout.close()


def read_commands(stream):
    """Return the indented lines; the last one is the task's explanation."""
    printed = []
    for line in stream:
        if line.startswith('  '):
            printed.append(line.strip())
        if 'explain task' in line:
            break
    return printed


def named(printed):
    """Put the README's names for what differs from run to run."""
    callers = re.search(r'http://127.0.0.1:([0-9]+)/trust', printed[0])[1]
    operators = re.search(r'http://127.0.0.1:([0-9]+)/v1', printed[1])[1]
    assert callers != operators
    return [
        line.replace(f':{callers}', ':CALLERS-PORT')
        .replace(f':{operators}', ':OPERATORS-PORT')
        .replace(TOKEN, 'TOKEN')
        for line in printed
    ]


def commands_of_the_readme():
    text = (ROOT / 'README.md').read_text()
    block = re.search(r'^```console\n(.*?)^```', text, re.S | re.M)[1]
    return block.splitlines()
