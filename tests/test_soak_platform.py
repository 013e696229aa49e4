"""The fault soak of the platform's programs: a short run, and its parts."""

import re
import subprocess
import sys

import pytest

from soak.platform.plan import PlannedJob, draw_plan
from standins.programs import ROOT

SECONDS = 6
SEEDS = (2,)


@pytest.mark.parametrize('seed', SEEDS)
def test_programs_keep_their_promises_under_faults(seed):
    run = subprocess.run(
        [sys.executable, '-m', 'soak.platform', '--seed', str(seed)]
        + ['--seconds', str(SECONDS)],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=100,
    )
    assert run.returncode == 0, run.stdout + run.stderr
    figures = re.search(r'(\d+) events, .* (\d+) jobs accepted', run.stdout)
    assert int(figures[1]) >= len(draw_plan(seed, SECONDS).events) - 1
    assert int(figures[2]) > 3


def test_a_seed_decides_the_plan():
    assert draw_plan(7, 30).lines() == draw_plan(7, 30).lines()
    assert draw_plan(7, 30).jobs == draw_plan(7, 30).jobs
    assert draw_plan(7, 30).lines() != draw_plan(8, 30).lines()


class _World:
    def __init__(self, book):
        self.book = book
        self.fronts = {'entry-0': 0}
        self.host = ''


def _callers():
    from soak.platform.callers import Callers
    from soak.platform.world import SettlingBook

    callers = Callers(_World(SettlingBook()))
    for job_id in ('a', 'b'):
        callers._expect(PlannedJob(0, job_id, (2,), 500, job_id == 'b', True))
    return callers


def test_the_checks_see_what_callers_must_not():
    callers = _callers()
    callers.accepted += ['a', 'b']
    assert len(callers.open_jobs()) == 3
    callers._told('a', False, 200, {'state': 'completed'})
    assert len(callers.open_jobs()) == 2
    assert len(callers.check()) == 1
    callers._told('a', True, 200, {'state': 'active'})
    callers._told('a', True, 410, {})
    callers._told('a', True, 503, {})
    callers._told('b', False, 200, {'state': 'failed'})
    assert len(callers.broken) == 4


def test_only_a_certain_refusal_at_first_counts_as_one():
    callers = _callers()
    job = callers.jobs['a']
    assert not callers._is_settled(job, True, 0, {})
    assert not callers._is_settled(
        job, False, 503, {'error': 'store-unavailable'}
    )
    assert not callers._is_settled(job, True, 504, {'error': 'outcome-unknown'})
    assert callers._is_settled(job, True, 503, {'error': 'store-unavailable'})
    callers.book.starts.append((0, 'agent-0', 'a.0.0.0', 1))
    assert callers.check() == ['a was refused and has started']
