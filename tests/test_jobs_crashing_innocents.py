"""Long tasks on workers that crash for other reasons, in virtual time."""

import random

import pytest

from hyssopring.jobs.model import JobState
from standins.jobs.deployment import Deployment, a_job, settled
from standins.jobs.lasting_rule import AWAY_S, LastingRule

INNOCENT = 2
KEEPER = 3
FOREVER_MS = 1e9
LONG_MS = 20_000
SEEDS = 6


def work_of(task):
    return FOREVER_MS if task.startswith(f'{KEEPER:016x}.') else LONG_MS


def submitted(workers, tasks):
    """Return a deployment with a long job and a keeper, and their rule."""
    deployment = settled(Deployment(workers=workers, work_ms=work_of))
    innocent = a_job(INNOCENT, steps=((tasks, ()),))
    keeper = a_job(KEEPER, steps=((6, ()),), is_keeper=True)
    deployment.submit(innocent)
    deployment.submit(keeper)
    rule = LastingRule(deployment, [keeper])
    rule.run(2)
    return deployment, rule


def assert_unharmed(deployment, rule):
    """Check that the job is completed and the keeper ran again in time."""
    states = [
        deployment.state(f'{number:016x}', deployment.owner)
        for number in (INNOCENT, KEEPER)
    ]
    assert states == [JobState.COMPLETED, JobState.ACTIVE]
    assert rule.longest_s <= AWAY_S


@pytest.mark.parametrize('seed', range(SEEDS))
def test_random_crashes_fail_no_long_task(seed):
    """Guards against long tasks blamed for single crashes of their workers."""
    random_source = random.Random(seed)
    deployment, rule = submitted(workers=8, tasks=16)
    for _crash in range(30):
        random_source.choice(deployment.workers).go_down(1)
        rule.run(random_source.uniform(0.5, 3))
    rule.run(60)
    assert_unharmed(deployment, rule)


@pytest.mark.parametrize('period_s', [2, 3, 4.5])
def test_workers_that_crash_again_and_again_fail_no_task(period_s):
    """Guards against trials on workers that crash by themselves."""
    deployment, rule = submitted(workers=6, tasks=12)
    for _crash in range(12):
        for worker in deployment.workers[:2]:
            worker.go_down(1)
            rule.run(period_s / 2)
    rule.run(60)
    assert_unharmed(deployment, rule)
