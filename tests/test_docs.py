"""Tests of the docs: commands run as written, links and events exist."""

import os
import pathlib
import re
import subprocess
import sys

import pytest

from demo.__main__ import TOKEN, Deployment
from hyssopring.cli.main import main
from hyssopring.logs import Event

ROOT = pathlib.Path(__file__).resolve().parent.parent
PAGES = sorted((ROOT / 'docs').rglob('*.md')) + sorted(ROOT.glob('*.md'))
OPERATORS = sorted((ROOT / 'docs' / 'operators').glob('*.md'))


@pytest.fixture(scope='module')
def environment(tmp_path_factory):
    work_path = tmp_path_factory.mktemp('pages')
    command = work_path / 'bin' / 'hyssopring'
    command.parent.mkdir()
    command.write_text(f'#!/bin/sh\nexec {sys.executable} -m hyssopring "$@"\n')
    command.chmod(0o755)
    deployment = Deployment(work=work_path)
    deployment.start()
    try:
        deployment.wait_ready()
        deployment.wait_in_force(deployment.configure())
        yield {
            **os.environ,
            'PATH': f'{command.parent}:{os.environ["PATH"]}',
            'PYTHONPATH': str(ROOT),
            'HYSSOPRING_ENTRY': deployment.entries[0]['operators'],
            'HYSSOPRING_TOKEN': TOKEN,
        }
    finally:
        deployment.stop()


@pytest.mark.parametrize('page', OPERATORS, ids=lambda page: page.stem)
def test_commands_of_a_page_run_as_written(environment, page):
    blocks = re.findall(r'^```sh\n(.*?)^```', page.read_text(), re.S | re.M)
    run = subprocess.run(
        ['bash', '-eu', '-o', 'pipefail', '-c', ''.join(blocks)],
        cwd=ROOT,
        env=environment,
        capture_output=True,
        text=True,
        timeout=60,
    )
    assert run.returncode == 0, run.stdout + run.stderr


@pytest.mark.parametrize('page', PAGES, ids=lambda page: page.stem)
def test_links_and_events_of_a_page_exist(page):
    text = page.read_text()
    for link in re.findall(r'\]\(([^)#:]+)[^)]*\)', text):
        assert (page.parent / link).exists(), link
    for number, name in re.findall(r'\b(\d{4}) ([A-Z]+(?:_[A-Z]+)+)', text):
        assert Event[name] == int(number)


def test_explain_logs_prints_what_the_operations_page_shows(
    capsys, tmp_path, monkeypatch
):
    """Run the page's commands on a log file of the page's JSON lines."""
    text = (ROOT / 'docs' / 'OPERATIONS.md').read_text()
    lines = re.findall(r'^```json\n(.*?)^```', text, re.S | re.M)
    (tmp_path / 'entry-1.log').write_text(''.join(lines))
    monkeypatch.chdir(tmp_path)
    consoles = re.findall(
        r'^```console\n\$ hyssopring ([^\n]*)\n(.*?)^```', text, re.S | re.M
    )
    assert len(consoles) == 2
    for command, output in consoles:
        main(command.split())
        assert capsys.readouterr().out == output
