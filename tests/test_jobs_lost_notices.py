"""Notices that are sent once, and nobody hears."""

from standins.jobs.deployment import Deployment, a_job, settled
from standins.jobs.lasting_rule import LastingRule
from standins.jobs.rolling_release import EntryStops, RollingRelease

FOREVER_MS = 1e9
TASKS = 3
WATCHED_S = 25
# Longer than an agent's shutdown may take.
AWAY_S = 7
# From an owner's SIGTERM until its process ends, and until the next one runs.
STOPPING_S = 4.5
RESTART_S = 2


def deploy_keepers():
    """Return a deployment of keepers, its rule, and a worker's agent."""
    deployment = settled(Deployment(workers=5, work_ms=lambda task: FOREVER_MS))
    job = a_job(steps=((TASKS, ()),), is_keeper=True, max_per_worker=1)
    deployment.submit(job)
    deployment.run(2)
    rule = LastingRule(deployment, [job])
    rule.run(8)
    agent = next(
        agent for agent in deployment.agents.values() if agent.worker.runs
    )
    return deployment, rule, agent


def test_a_release_that_the_store_refuses_once_delays_no_keeper():
    """Guards against shards without an owner until a stopped one has ended."""
    deployment, rule, agent = deploy_keepers()
    name = deployment.owner
    entry = deployment.entries[name]
    deployment.rows.is_down = True
    entry.reactor.run(entry.core.release)
    rule.disturb()
    rule.run(0.2)
    deployment.rows.is_down = False
    agent.worker.is_leaving = True
    agent.beat()
    agent.worker.stop_all()
    deployment.stop_agent(agent.name)
    rule.run(STOPPING_S)
    deployment.kill_entry(name)
    rule.disturb()
    rule.run(RESTART_S)
    deployment.start_entry(name)
    rule.disturb()
    rule.run(WATCHED_S)
    assert not rule.lost, rule.longest_s


def test_agents_that_leave_while_no_entry_runs_delay_no_keeper():
    """Guards against waits for agents that ended before an owner was there."""
    release = RollingRelease(EntryStops(2.5, 0.2, AWAY_S))
    release.rule.run(WATCHED_S)
    assert not release.rule.lost, release.rule.longest_s


def test_a_worker_that_deregisters_during_a_poll_delays_no_keeper():
    """Guards against deregistrations that a late answer to a poll annuls."""
    _deployment, rule, agent = deploy_keepers()
    worker = agent.worker
    worker.is_leaving = True
    agent.beat()
    agent.core.monitor.deregister(worker.boot)
    rule.run(0.05)
    worker.crash()
    worker.is_down = True
    rule.run(0.1)
    agent.deployment.stop_agent(agent.name)
    rule.run(WATCHED_S)
    assert not rule.lost, rule.longest_s
