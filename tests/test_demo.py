"""Tests of the demo: separate processes that talk over sockets."""

import pathlib
import re
import signal
import subprocess
import sys

from demo.__main__ import TOKEN

ROOT = pathlib.Path(__file__).resolve().parent.parent


def test_demo_answers_all_bookings_and_completes_the_job():
    run = subprocess.run(
        [sys.executable, '-m', 'demo'],
        capture_output=True,
        text=True,
        timeout=100,
    )
    assert run.returncode == 0, run.stdout + run.stderr


def test_commands_of_the_staying_demo_match_the_readme_and_work():
    demo = subprocess.Popen(
        [sys.executable, '-m', 'demo', '--stay'],
        cwd=ROOT,
        stdout=subprocess.PIPE,
        text=True,
    )
    try:
        printed = read_commands(demo.stdout)
        assert with_placeholders(printed) == commands_of_the_readme()
        *setup, explain = [
            line.replace(
                '.venv/bin/hyssopring', f'{sys.executable} -m hyssopring'
            )
            for line in printed
        ]
        # Retries until the task is placed; until then the command succeeds and
        # shows that the task waits.
        explain_until_placed = (
            f'for _ in $(seq 20); do output=$({explain}) || true; '
            'echo "$output"; [[ $output == *TASK_PLACED* ]] && exit; '
            'sleep 0.5; done'
        )
        shell = subprocess.run(
            [
                'bash',
                '-eu',
                '-c',
                '\n'.join([*setup, explain_until_placed, 'exit 1']),
            ],
            cwd=ROOT,
            capture_output=True,
            text=True,
            timeout=60,
        )
        assert shell.returncode == 0, shell.stdout + shell.stderr
        assert (
            '200 OK' in shell.stdout and 'noon-feed: accepted' in shell.stdout
        )
        assert 'TASK_PLACED' in shell.stdout
    finally:
        demo.send_signal(signal.SIGTERM)
        demo.wait(30)
        demo.stdout.close()


def read_commands(stream):
    """Return the indented lines; the last one is the task's explanation."""
    printed = []
    for line in stream:
        if line.startswith('  '):
            printed.append(line.strip())
        if 'explain task' in line:
            break
    return printed


def with_placeholders(printed):
    """Replace ports and token by the README's placeholders."""
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
