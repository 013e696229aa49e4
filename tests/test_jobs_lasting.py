"""Tasks that last and stay away, in virtual time, judged by the rule.

Made after a day on which tasks that fail by themselves after some seconds ran
nowhere, beside workers that die and owners that are killed in series.
"""

import random

import pytest

from standins.jobs.deployment import Deployment, a_job, settled
from standins.jobs.lasting_rule import LastingRule

WORKERS = 6
FOREVER_MS = 1e9
CALM_S = 25


def is_lasting(task):
    return task.startswith('0000000000000001.')


def failing_keepers(seed, workers=WORKERS):
    """A deployment whose lasting tasks fail 3 to 15 s after their start."""
    chances = random.Random(seed)

    def work_ms(task):
        return chances.randint(3000, 15_000) if is_lasting(task) else 700

    deployment = settled(
        Deployment(workers=workers, work_ms=work_ms, keeps_ids=True)
    )
    for worker in deployment.workers:
        worker.fails = is_lasting
    job = a_job(steps=((5, ()),), is_keeper=True, max_per_worker=1)
    deployment.submit(job)
    deployment.submit(a_job(2, steps=((8, ()),)))
    return deployment, job, chances


def lose_power(deployment, away_s=1):
    """All processes and workers stop at once; workers keep their ids."""
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
    """Owners are killed in series; each is back 2 s later."""
    for _each in range(count):
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


def restart_workers(deployment, rule, chances):
    """Workers die one after the other and return under their ids."""
    for worker in chances.sample(deployment.workers, len(deployment.workers)):
        worker.go_down(chances.uniform(0.2, 3))
        rule.disturb(3)
        rule.run(chances.uniform(0.1, 2))


@pytest.mark.parametrize('leaves', [False, True])
def test_restarted_workers_take_lasting_tasks_again(leaves):
    """Guards against a worker that takes nothing after it kept its id."""
    deployment, job, chances = failing_keepers(1)
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
def test_failing_lasting_tasks_come_back_after_a_day_of_restarts(seed):
    """Guards against lasting tasks that nothing runs once all is calm."""
    deployment, job, chances = failing_keepers(seed)
    rule = LastingRule(deployment, [job])
    rule.run(10)
    parts = [
        lambda: restart_workers(deployment, rule, chances),
        lambda: kill_owners(deployment, rule),
        lambda: lose_power(deployment, chances.uniform(0.3, 2)),
    ]
    for _each in range(5):
        chances.choice(parts)()
        rule.disturb()
        rule.run(chances.uniform(1, 14))
    rule.run(CALM_S)
    assert not rule.lost
