"""How long tasks wait for lost VMs while owners are lost as well."""

import pytest

from hyssopring.jobs.times import (
    GRANT_EXPIRY_MS,
    GRANT_MS,
    ROSTER_WAIT_MS,
)
from standins.jobs.deployment import Deployment, a_job, settled

KEEPER_MS = 1e9
LOST_NUMBER = 0
RESTART_S = 1.0
POWER_OUTAGE_S = 1.0
WRITE_S = 0.05
# One write and messages; agents report each 0.5 s.
GRANTED_S = 0.2


def with_keeper(count, workers=5, entries=3, per_worker=1):
    """Return a deployment and a keeper job spread over all workers."""
    deployment = settled(
        Deployment(
            workers=workers, entries=entries, work_ms=lambda task: KEEPER_MS
        )
    )
    job = a_job(steps=((count, ()),), is_keeper=True, max_per_worker=per_worker)
    deployment.submit(job)
    deployment.run(1)
    assert len(running(deployment, job)) == count
    return deployment, job


def running(deployment, job):
    """Return the indices of the running tasks."""
    return {
        int(task.rpartition('.')[2])
        for task, runs in deployment.run_recorder.running.items()
        if runs and task.startswith(job.job_id)
    }


def lose_vm(deployment, number=LOST_NUMBER):
    """Lose a VM with its worker and agent; return the indices of its tasks."""
    worker = deployment.workers[number]
    lost = {int(task.rpartition('.')[2]) for task in worker.runs}
    worker.crash()
    worker.is_unresponsive = True
    deployment.kill_agent(f'agent-{number}')
    return lost


def fail_elsewhere(deployment):
    for number, worker in enumerate(deployment.workers):
        if number != LOST_NUMBER:
            worker.fail_all()


def kill_owner(deployment, back_s=None):
    """Kill the owner's process, and restart it after ``back_s`` if given."""
    name = deployment.owner
    deployment.kill_entry(name)
    if back_s is not None:
        deployment.reactor.callLater(back_s, deployment.start_entry, name)


def run_until_owned(deployment):
    """Run until a live entry has taken over and loaded all jobs."""
    for _repeat in range(1000):
        deployment.run(0.01)
        for entry in deployment.entries.values():
            shards = entry.core.owner.shards.by_shard.values()
            if entry.is_alive and any(owned.is_loaded for owned in shards):
                return
    raise AssertionError('no entry has acquired the shard')


def lose_all_power(deployment, lost_numbers):
    """End all processes and workers at once; restart all VMs but some."""
    for name, entry in deployment.entries.items():
        if entry.is_alive:
            deployment.kill_entry(name)
    for number, worker in enumerate(deployment.workers):
        name = f'agent-{number}'
        if deployment.agents[name].is_alive:
            deployment.kill_agent(name)
        worker.crash()
        worker.is_unresponsive = True
        if number not in lost_numbers:
            deployment.reactor.callLater(1, power_up, deployment, number)


def power_up(deployment, number):
    worker = deployment.workers[number]
    worker.is_unresponsive = False
    deployment.start_agent(f'agent-{number}', worker)


@pytest.mark.parametrize('back_s', [None, 0.7])
def test_repeated_takeovers_do_not_prolong_the_wait_for_a_lost_vm(back_s):
    """Guards against a wait for a lost VM that restarts with each owner."""
    deployment, job = with_keeper(4, entries=6)
    lost = lose_vm(deployment)
    for _repeat in range(4):
        kill_owner(deployment, back_s)
        fail_elsewhere(deployment)
        run_until_owned(deployment)
        deployment.run(2)
    kill_owner(deployment, back_s)
    run_until_owned(deployment)
    deployment.run(RESTART_S)
    assert running(deployment, job) == set(range(4)), lost


def test_lost_vm_delays_only_the_tasks_that_it_may_run():
    """Guards against tasks that wait for a VM on which they never ran."""
    deployment, job = with_keeper(5)
    lost = lose_vm(deployment)
    kill_owner(deployment)
    fail_elsewhere(deployment)
    run_until_owned(deployment)
    deployment.run(RESTART_S)
    assert running(deployment, job) >= set(range(5)) - lost


def test_power_failure_with_a_replaced_entry_delays_no_other_task():
    """Guards against all tasks of keepers waiting 18 s for one lost VM.

    After a power failure, one VM and the owner's machine never come back.
    Another entry acquires the shard while the former owner's lease may still be
    valid.
    """
    deployment, job = with_keeper(5)
    owner = deployment.owner
    lost = {int(task[-1]) for task in deployment.workers[LOST_NUMBER].runs}
    lose_all_power(deployment, lost_numbers={LOST_NUMBER})
    names = [name for name in deployment.entries if name != owner]
    for name in [*names, 'entry-9']:
        deployment.reactor.callLater(1, deployment.start_entry, name)
    run_until_owned(deployment)
    deployment.run(RESTART_S + 0.7)
    assert running(deployment, job) >= set(range(5)) - lost


def test_tasks_of_a_lost_vm_start_once_its_grant_expires():
    """Guards against a wait for the grant that restarts with each takeover."""
    deployment, job = with_keeper(5, per_worker=2)
    lost_at = deployment.reactor.seconds()
    assert lose_vm(deployment)
    deployment.run(2)
    kill_owner(deployment, back_s=0.7)
    run_until_owned(deployment)
    deployment.run(1.5)
    kill_owner(deployment, back_s=0.7)
    run_until_owned(deployment)
    left_s = lost_at + GRANT_EXPIRY_MS / 1000 - deployment.reactor.seconds()
    deployment.run(left_s + RESTART_S)
    assert running(deployment, job) == set(range(5))


def test_agent_that_stops_beside_a_lost_worker_announces_its_hold_expiry():
    """Guards against a wait that counts from the owner's last grant.

    A worker is lost, and its agent is stopped while tasks may still run. Only
    the agent knew when the hold expired: the tasks did not run for 12 s.
    """
    deployment, job = with_keeper(5, per_worker=2)
    died_at = deployment.reactor.seconds()
    deployment.workers[LOST_NUMBER].crash()
    deployment.workers[LOST_NUMBER].is_unresponsive = True
    deployment.run(3.5)
    deployment.stop_agent(f'agent-{LOST_NUMBER}')
    left_s = died_at + 7.5 - deployment.reactor.seconds()
    deployment.run(left_s)
    assert running(deployment, job) == set(range(5))


def test_agent_that_stops_beside_a_live_worker_ends_at_once():
    """Guards against delaying the next agent, which takes over the tasks."""
    deployment, job = with_keeper(5, per_worker=2)
    deployment.stop_agent(f'agent-{LOST_NUMBER}')
    deployment.run(0.1)
    assert not deployment.agents[f'agent-{LOST_NUMBER}'].is_alive
    assert running(deployment, job) == set(range(5))


def test_next_owner_knows_the_hold_expiry_of_a_stopped_agent():
    """Guards against a hold expiry that is lost with the owner.

    A worker is lost, its agent is stopped, and then the owner's VM is lost. The
    expiry had not been stored, and the next owner waited 18 s.
    """
    deployment, job = with_keeper(5, per_worker=2)
    died_at = deployment.reactor.seconds()
    assert deployment.workers[LOST_NUMBER].runs
    deployment.workers[LOST_NUMBER].crash()
    deployment.workers[LOST_NUMBER].is_unresponsive = True
    deployment.run(3.5)
    deployment.stop_agent(f'agent-{LOST_NUMBER}')
    deployment.run(2)
    kill_owner(deployment)
    left_s = died_at + 5.5 + 7 - deployment.reactor.seconds()
    deployment.run(left_s)
    assert running(deployment, job) == set(range(5))


def test_short_lived_owners_do_not_prolong_the_wait():
    """Guards against a wait that restarts with owners that stored nothing.

    They are killed 0.3 s after their takeover.
    """
    deployment, job = with_keeper(4, entries=9)
    lose_vm(deployment)
    kill_owner(deployment)
    run_until_owned(deployment)
    first_at = deployment.reactor.seconds()
    for _repeat in range(6):
        deployment.run(0.3)
        kill_owner(deployment)
        run_until_owned(deployment)
    left_s = first_at + ROSTER_WAIT_MS / 1000 - deployment.reactor.seconds()
    deployment.run(max(0, left_s) + RESTART_S)
    assert running(deployment, job) == set(range(4))


@pytest.mark.parametrize('owned_s', [0.1, 0.5, 1.0])
def test_power_failures_in_series_do_not_prolong_the_wait(owned_s):
    """Guards against owners that are lost before they stored any expiry.

    All power is lost four times, and one VM never comes back.
    """
    deployment, job = with_keeper(4)
    lost_at = deployment.reactor.seconds()
    for _repeat in range(4):
        lose_all_power(deployment, lost_numbers={LOST_NUMBER})
        deployment.run(POWER_OUTAGE_S)
        for name in deployment.entries:
            deployment.start_entry(name)
        run_until_owned(deployment)
        deployment.run(owned_s)
    over_s = POWER_OUTAGE_S + GRANT_EXPIRY_MS / 1000 + RESTART_S
    deployment.run(lost_at + over_s - deployment.reactor.seconds())
    assert running(deployment, job) == set(range(4))


@pytest.mark.parametrize('back_s', [0.7, 1.0])
def test_owners_killed_in_series_beside_a_lost_vm_do_not_prolong_the_wait(
    back_s,
):
    """Guards against short-lived owners that each begin the wait anew."""
    deployment, job = with_keeper(4)
    lost_at = deployment.reactor.seconds()
    lose_vm(deployment)
    for _repeat in range(4):
        kill_owner(deployment, back_s)
        run_until_owned(deployment)
        deployment.run(0.2)
    over_s = back_s + GRANT_EXPIRY_MS / 1000 + RESTART_S
    deployment.run(lost_at + over_s - deployment.reactor.seconds())
    assert running(deployment, job) == set(range(4))


def test_an_agent_is_granted_as_soon_as_its_row_allows():
    """Guards against agents that wait for their next report after a restart.

    The owner restarts and stores an expiry for each agent, as none has
    connected yet.
    """
    deployment, _job = with_keeper(4)
    name = deployment.owner
    kill_owner(deployment, RESTART_S)
    blocked = {(agent, name) for agent in deployment.agents}
    deployment.blocked |= blocked
    deployment.run(RESTART_S)
    run_until_owned(deployment)
    deployment.run(RESTART_S)
    deployment.blocked -= blocked
    deployment.rows.pauses = lambda: (WRITE_S, 0)
    for agent in deployment.agents.values():
        agent.dial()
    deployment.run(GRANTED_S)
    now = deployment.reactor.seconds()
    for agent in deployment.agents.values():
        left_s = agent.core._leases.latest_expiry / 1000 - now
        assert left_s > GRANT_MS / 1000 - GRANTED_S
