"""Checks of the soak on the runs of tasks that may have copies."""

import pytest
from twisted.internet.task import Clock

from hyssopring.jobs.model import AttemptEnd
from hyssopring.jobs.worker_port import PollRequest
from soak.platform.settling_recorder import SettlingRecorder
from standins.jobs.run_recorder import Run
from standins.jobs.worker import SimWorker

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


@pytest.mark.parametrize(
    ('may_copy', 'is_keeper', 'lapses', 'violations'),
    [
        (False, False, False, 1),
        (True, False, False, 0),
        (False, True, False, 0),
        (False, False, True, 0),
    ],
)
def test_starts_before_an_end_is_noted(may_copy, is_keeper, lapses, violations):
    """Guards against tasks that start again before their end is noted."""
    clock, recorder = Clock(), SettlingRecorder()
    recorder.copyable |= {(JOB, '0')} if may_copy else set()
    recorder.keepers |= {TASK} if is_keeper else set()
    runner = SimWorker(clock, 'runner', recorder, lambda task: 0)
    runner.hold_ms = runner.clock_ms() + 6000
    run = Run(TASK, 1, 1, '')
    runner.runs[TASK] = run
    recorder.started(0, runner, run)
    clock.advance(2)
    runner.settle()
    start(recorder, 2)
    if lapses:
        clock.advance(6)
    for acknowledged in (0, 1):
        runner.poll(PollRequest('runner-1', 1, acknowledged, None, 0, 400))
        clock.advance(0.1)
    assert not runner.ends
    assert len(recorder.broken) == violations
