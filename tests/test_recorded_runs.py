"""Checks of the workers' record on starts after a task is done."""

import pytest
from twisted.internet.task import Clock

from hyssopring.jobs.model import Size
from hyssopring.jobs.worker_port import PollRequest, StartRequest
from standins.jobs.run_recorder import RunRecorder
from standins.jobs.worker import SimWorker

JOB = '0000000000000001'
TASK = f'{JOB}.0.0.0'
WORK_S = 1
HOLD_MS = 3000


class Workers:
    """Two workers without agents, and the record of their runs."""

    def __init__(self):
        self.reactor = Clock()
        self.run_recorder = RunRecorder()
        self.run_recorder.sizes[JOB] = Size(1000, 1000, 0)
        self.workers = [
            SimWorker(
                self.reactor, name, self.run_recorder, lambda task: WORK_S * 1e3
            )
            for name in ('one', 'other')
        ]

    def run(self, seconds):
        for _step in range(round(seconds * 100)):
            self.reactor.advance(0.01)
            for worker in self.workers:
                worker.settle()

    def start(self, index, attempt):
        worker = self.workers[index]
        until_ms = worker.clock_ms() + HOLD_MS
        worker.start(
            StartRequest(worker.boot, 1, TASK, attempt, '', '', until_ms)
        )
        self.run(0.01)

    def poll(self, index, acked=0):
        worker = self.workers[index]
        until_ms = worker.clock_ms() + HOLD_MS
        worker.poll(PollRequest(worker.boot, 1, acked, until_ms, 0, 400))
        self.run(0.01)


@pytest.mark.parametrize(
    ('wait_s', 'violations'),
    [(0.5, 1), (2 * HOLD_MS / 1000, 0)],
)
def test_a_start_before_the_end_is_noted(wait_s, violations):
    """Guards against an unseen start between an end and its note.

    An end after which the hold has lapsed is never taken note of.
    """
    runs = Workers()
    runs.start(0, attempt=1)
    runs.run(WORK_S)
    runs.run(wait_s)
    runs.poll(0)
    # The numbers of two owners may be the same.
    runs.start(1, attempt=1)
    assert not runs.run_recorder.broken
    runs.poll(0, acked=1)
    assert len(runs.run_recorder.broken) == violations


def test_a_start_before_the_end_of_another_attempt():
    """An earlier attempt has failed or lapsed; only the later one is done."""
    runs = Workers()
    runs.start(0, attempt=1)
    runs.workers[0].fail_all()
    runs.start(1, attempt=2)
    runs.run(WORK_S)
    runs.poll(1)
    runs.poll(1, acked=1)
    assert not runs.run_recorder.broken
