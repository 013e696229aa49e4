"""Checks of the soak on the runs of tasks that may have copies."""

import pytest

from hyssopring.jobs.model import AttemptEnd
from soak.platform.settling_recorder import SettlingRecorder
from standins.jobs.run_recorder import Run

JOB = '0000000000000001'
TASK = f'{JOB}.0.0.0'


class StubWorker:
    def __init__(self, name):
        self.name = self.boot = name


def start(recorder, number):
    worker = StubWorker(f'runner-{number}')
    run = Run(TASK, number, 9, '')
    recorder.started(number, worker, run)
    return worker, run


@pytest.mark.parametrize(
    ('may_copy', 'starts', 'violations'),
    [(True, 2, 0), (True, 3, 1), (False, 2, 1)],
)
def test_attempts_at_one_time(may_copy, starts, violations):
    recorder = SettlingRecorder()
    recorder.copyable |= {(JOB, '0')} if may_copy else set()
    for number in range(1, starts + 1):
        start(recorder, number)
    assert len(recorder.broken) == violations


@pytest.mark.parametrize(
    ('may_copy', 'starts', 'violations'),
    [(True, 1, 0), (True, 2, 1), (False, 1, 1)],
)
def test_starts_after_a_noted_end(may_copy, starts, violations):
    """Guards against copies that are ordered after the task is done."""
    recorder = SettlingRecorder()
    recorder.copyable |= {(JOB, '0')} if may_copy else set()
    worker, run = start(recorder, 1)
    recorder.ended(2, worker, run, AttemptEnd.DONE)
    recorder.noted(TASK, 1, AttemptEnd.DONE)
    for number in range(2, 2 + starts):
        worker, run = start(recorder, number)
        recorder.ended(3, worker, run, AttemptEnd.STOPPED)
    assert len(recorder.broken) == violations
