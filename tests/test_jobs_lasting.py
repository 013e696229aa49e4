"""Keepers whose tasks fail by themselves, in virtual time.

The tests guard against tasks that run nowhere after they failed, while workers
die and owners are killed in series. ``LastingRule`` checks the bound.
"""

import random

import pytest

from standins.jobs.deployment import Deployment, a_job, settled
from standins.jobs.lasting_rule import LastingRule

WORKERS = 6
FOREVER_MS = 1e9
CALM_S = 25


def is_keeper_task(task):
    return task.startswith('0000000000000001.')


def deploy_failing_keepers(seed, workers=WORKERS):
    """Return a deployment whose keepers fail 3 to 15 s after their start."""
    rng = random.Random(seed)

    def work_ms(task):
        return rng.randint(3000, 15_000) if is_keeper_task(task) else 700

    deployment = settled(
        Deployment(workers=workers, work_ms=work_ms, keeps_ids=True)
    )
    for worker in deployment.workers:
        worker.fails = is_keeper_task
    job = a_job(steps=((5, ()),), is_keeper=True, max_per_worker=1)
    deployment.submit(job)
    deployment.submit(a_job(2, steps=((8, ()),)))
    return deployment, job, rng


def lose_power(deployment, away_s=1):
    """Stop all processes and workers at once; workers keep their ids."""
    for name in list(deployment.entries):
        deployment.kill_entry(name)
    for name, agent in list(deployment.agents.items()):
        deployment.kill_agent(name)
        agent.worker.go_down(away_s)
    deployment.run(away_s)
    for name, agent in list(deployment.agents.items()):
        deployment.start_agent(name, agent.worker)
    for name in list(deployment.entries):
        deployment.start_entry(name)


def kill_owners(deployment, rule, count=3):
    """Kill owners in series; each is back 2 s later."""
    for _round in range(count):
        owner = next(
            (
                name
                for name, entry in deployment.entries.items()
                if entry.is_alive and entry.core.owner.shards.by_shard
            ),
            None,
        )
        if owner is not None:
            deployment.kill_entry(owner)
            deployment.reactor.callLater(2, deployment.start_entry, owner)
        rule.disturb(2)
        rule.run(4)


def restart_workers(deployment, rule, rng):
    """Kill workers one after the other; they return under their ids."""
    for worker in rng.sample(deployment.workers, len(deployment.workers)):
        worker.go_down(rng.uniform(0.2, 3))
        rule.disturb(3)
        rule.run(rng.uniform(0.1, 2))


@pytest.mark.parametrize('leaves', [False, True])
def test_restarted_workers_run_keepers_again(leaves):
    """Guards against a restarted worker with the same id that gets no tasks."""
    deployment, job, rng = deploy_failing_keepers(1)
    rule = LastingRule(deployment, [job])
    rule.run(30)
    for worker in deployment.workers:
        if leaves:
            worker.is_leaving = True
            agent = next(
                each
                for each in deployment.agents.values()
                if each.worker is worker
            )
            agent.beat()
            rule.run(0.5)
            worker.is_leaving = False
        worker.go_down(1)
        rule.disturb(1)
        rule.run(0.5)
    rule.run(CALM_S)
    assert not rule.lost


@pytest.mark.parametrize('seed', [0, 5, 8])
def test_failing_keepers_run_again_after_a_day_of_restarts(seed):
    """Guards against keepers that run nowhere once all faults are over."""
    deployment, job, rng = deploy_failing_keepers(seed)
    rule = LastingRule(deployment, [job])
    rule.run(10)
    faults = [
        lambda: restart_workers(deployment, rule, rng),
        lambda: kill_owners(deployment, rule),
        lambda: lose_power(deployment, rng.uniform(0.3, 2)),
    ]
    for _round in range(5):
        rng.choice(faults)()
        rule.disturb()
        rule.run(rng.uniform(1, 14))
    rule.run(CALM_S)
    assert not rule.lost
