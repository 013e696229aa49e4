"""Starts of an agent whose next process has an earlier time of day."""

import pytest

from standins.jobs.deployment import Deployment, a_job, settled

RESTART_S = 0.2
LATE_S = 3
SLOW_S = 0.1
LONG_MS = 30_000
SHORT_MS = 300
# Starts of which one is delayed at last, whatever its fence is.
STARTS = 80


class LateStart:
    """Delays the first start that has a fence which its worker has not seen.

    If there is none, it delays a later one.

    The agent is killed as it sends that start, and its machine's clock is set
    back before its next process starts.
    """

    def __init__(self, deployment, back_ms):
        self.deployment = deployment
        self.back_ms = back_ms
        self.task = ''
        self.starts = 0
        self.wall_ms = deployment.wall_ms
        for name, agent in deployment.agents.items():
            self._watch(name, agent.worker)

    def _watch(self, name, worker):
        start = worker.start

        def started(order):
            self.starts += 1
            is_seen = order.fence <= worker.fence and self.starts < STARTS
            if self.task or is_seen:
                return start(order)
            self.task = order.task
            worker.lose_next, worker.late_s = 1, LATE_S
            later = self.deployment.reactor.callLater
            later(0, self._set_back, name)
            later(RESTART_S, self.deployment.start_agent, name, worker)
            return start(order)

        worker.start = started

    def _set_back(self, name):
        self.deployment.kill_agent(name)
        self.deployment.wall_ms = lambda: self.wall_ms() - self.back_ms

    def work_ms(self, task):
        return LONG_MS if task == self.task else SHORT_MS


@pytest.mark.parametrize('back_ms', [0, 800, 3000])
def test_a_late_start_of_a_former_agent_is_fenced(back_ms):
    """Guards against a second run by a start with a fence from the future.

    The former agent had raised its fence, and the worker has seen it in no
    request that was carried out.
    """
    late = None
    deployment = settled(
        Deployment(
            workers=3, entries=2, work_ms=lambda task: late.work_ms(task)
        )
    )
    late = LateStart(deployment, back_ms)
    for worker in deployment.workers:
        worker.slow_s = SLOW_S
    for number in range(40):
        job = a_job(number + 1, steps=((3, ()),))
        at = number * SLOW_S
        deployment.reactor.callLater(
            at, deployment.submit, job, deployment.owner
        )
    deployment.run(15)
    assert late.task
