"""VMs that stay away while owners die: what waits for them, and how long."""

import pytest

from hyssopring.jobs.times import GRANT_EXPIRY_MS, ROSTER_WAIT_MS
from standins.jobs.deployment import Deployment, a_job, settled

FOREVER_MS = 1e9
LOST = 0
RESTART_S = 1.0


def lasting(count, workers=5, entries=3, per_worker=1):
    """Tasks that last, spread over all workers."""
    deployment = settled(
        Deployment(
            workers=workers, entries=entries, work_ms=lambda task: FOREVER_MS
        )
    )
    job = a_job(steps=((count, ()),), is_keeper=True, max_per_worker=per_worker)
    deployment.submit(job)
    deployment.run(1)
    assert len(running(deployment, job)) == count
    return deployment, job


def running(deployment, job):
    """The indices of the tasks that run now."""
    return {
        int(task.rpartition('.')[2])
        for task, held in deployment.book.running.items()
        if held and task.startswith(job.job_id)
    }


def lose_vm(deployment, number=LOST):
    """A VM is gone: its worker and its agent; return its tasks."""
    worker = deployment.workers[number]
    lost = {int(task.rpartition('.')[2]) for task in worker.runs}
    worker.crash()
    worker.is_dark = True
    deployment.kill_agent(f'agent-{number}')
    return lost


def fail_elsewhere(deployment):
    for number, worker in enumerate(deployment.workers):
        if number != LOST:
            worker.fail_all()


def kill_owner(deployment, back_s=None):
    """Kill the owner's process; it is started again after a while."""
    name = deployment.owner
    deployment.kill_entry(name)
    if back_s is not None:
        deployment.reactor.callLater(back_s, deployment.start_entry, name)


def run_until_owned(deployment):
    """Go on until a living entry has taken over and knows all jobs."""
    for _each in range(1000):
        deployment.run(0.01)
        for entry in deployment.entries.values():
            shards = entry.core.owner.shards.by_shard.values()
            if entry.is_alive and any(owned.is_loaded for owned in shards):
                return
    raise AssertionError('nobody has taken the shard')


def lose_all_power(deployment, away):
    """All processes and workers end at once; some VMs stay away."""
    for name, entry in deployment.entries.items():
        if entry.is_alive:
            deployment.kill_entry(name)
    for number, worker in enumerate(deployment.workers):
        name = f'agent-{number}'
        if deployment.agents[name].is_alive:
            deployment.kill_agent(name)
        worker.crash()
        worker.is_dark = True
        if number not in away:
            deployment.reactor.callLater(1, power_up, deployment, number)


def power_up(deployment, number):
    worker = deployment.workers[number]
    worker.is_dark = False
    deployment.start_agent(f'agent-{number}', worker)


@pytest.mark.parametrize('back_s', [None, 0.7])
def test_takeovers_in_series_do_not_prolong_the_wait_for_a_lost_vm(back_s):
    """Each owner began its wait for a lost VM anew, beside room elsewhere."""
    deployment, job = lasting(4, entries=6)
    lost = lose_vm(deployment)
    for _each in range(4):
        kill_owner(deployment, back_s)
        fail_elsewhere(deployment)
        run_until_owned(deployment)
        deployment.run(2)
    kill_owner(deployment, back_s)
    run_until_owned(deployment)
    deployment.run(RESTART_S)
    assert running(deployment, job) == set(range(4)), lost


def test_a_lost_vm_holds_up_only_the_tasks_that_it_may_run():
    """Lasting tasks that ended elsewhere waited for a VM they never were on."""
    deployment, job = lasting(5)
    lost = lose_vm(deployment)
    kill_owner(deployment)
    fail_elsewhere(deployment)
    run_until_owned(deployment)
    deployment.run(RESTART_S)
    assert running(deployment, job) >= set(range(5)) - lost


def test_a_loss_of_power_with_a_replaced_entry_holds_up_no_other_task():
    """All power is lost; one VM and the owner's machine never come back.

    Another entry takes the shard while the former owner may still act as far
    as anybody knows, and all lasting tasks waited 18 s for the lost VM.
    """
    deployment, job = lasting(5)
    owner = deployment.owner
    lost = {int(task[-1]) for task in deployment.workers[LOST].runs}
    lose_all_power(deployment, away={LOST})
    names = [name for name in deployment.entries if name != owner]
    for name in [*names, 'entry-9']:
        deployment.reactor.callLater(1, deployment.start_entry, name)
    run_until_owned(deployment)
    deployment.run(RESTART_S + 0.7)
    assert running(deployment, job) >= set(range(5)) - lost


def test_the_tasks_of_a_lost_vm_start_once_its_grants_are_over():
    """The wait for what may run on a lost VM began anew at each takeover."""
    deployment, job = lasting(5, per_worker=2)
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


def test_an_agent_that_stops_beside_a_dead_worker_says_when_its_hold_is_over():
    """A worker dies, and its agent is stopped while its tasks may run on.

    Only its own process could tell when the hold was over: the owner counted
    from its last grant, and the tasks were away for 12 s.
    """
    deployment, job = lasting(5, per_worker=2)
    died_at = deployment.reactor.seconds()
    deployment.workers[LOST].crash()
    deployment.workers[LOST].is_dark = True
    deployment.run(3.5)
    deployment.stop_agent(f'agent-{LOST}')
    left_s = died_at + 7.5 - deployment.reactor.seconds()
    deployment.run(left_s)
    assert running(deployment, job) == set(range(5))


def test_an_agent_that_stops_beside_a_worker_that_lives_ends_at_once():
    """The worker keeps its tasks for the next agent, which must not wait."""
    deployment, job = lasting(5, per_worker=2)
    deployment.stop_agent(f'agent-{LOST}')
    deployment.run(0.1)
    assert not deployment.agents[f'agent-{LOST}'].is_alive
    assert running(deployment, job) == set(range(5))


def test_an_agent_that_left_as_its_owner_was_lost_is_not_waited_for():
    """A worker dies, its agent is stopped, and the owner's VM is lost at once.

    Nobody had written until when its tasks may run, and the next owner waited
    18 s from its takeover.
    """
    deployment, job = lasting(5, per_worker=2)
    died_at = deployment.reactor.seconds()
    assert deployment.workers[LOST].runs
    deployment.workers[LOST].crash()
    deployment.workers[LOST].is_dark = True
    deployment.run(3.5)
    deployment.stop_agent(f'agent-{LOST}')
    deployment.run(2)
    kill_owner(deployment)
    left_s = died_at + 5.5 + 7 - deployment.reactor.seconds()
    deployment.run(left_s)
    assert running(deployment, job) == set(range(5))


def test_owners_that_live_for_a_moment_do_not_prolong_the_wait():
    """Owners were killed 0.3 s after their takeovers, and wrote nothing."""
    deployment, job = lasting(4, entries=9)
    lose_vm(deployment)
    kill_owner(deployment)
    run_until_owned(deployment)
    first_at = deployment.reactor.seconds()
    for _each in range(6):
        deployment.run(0.3)
        kill_owner(deployment)
        run_until_owned(deployment)
    left_s = first_at + ROSTER_WAIT_MS / 1000 - deployment.reactor.seconds()
    deployment.run(max(0, left_s) + RESTART_S)
    assert running(deployment, job) == set(range(4))
