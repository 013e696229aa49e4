"""Which messages prove that an attempt has ended.

The tests guard against two runs of one task just after a takeover, and against
keepers that run nowhere for ten seconds while entries and VMs are replaced.
"""

from hyssopring.jobs.model import AttemptEnd, JobState
from standins.jobs.deployment import Deployment, a_job, settled, starts_of

STEP_S = 0.01
MAX_STEPS = 2000


def deploy_pair(**options):
    """Return a deployment of two workers, its owner, and the other entry."""
    deployment = settled(
        Deployment(workers=2, entries=2, **options),
    )
    owner = deployment.owner
    other = next(name for name in deployment.entries if name != owner)
    return deployment, deployment.entries[owner], deployment.entries[other]


def run_until_owned(deployment, entry):
    """Run until an entry has taken the shard."""
    for _step in range(MAX_STEPS):
        if entry.core.owner.shards.by_shard:
            return
        deployment.run(STEP_S)
    raise AssertionError('no entry has taken the shard')


def deploy_keepers():
    """Return a deployment with two keepers, a busy worker's number, and it."""
    deployment = settled(workers=3, work_ms=lambda task: 60_000)
    job = a_job(steps=((2, ()),), is_keeper=True, max_per_worker=1)
    deployment.submit(job)
    deployment.run(1)
    number = next(
        number
        for number, worker in enumerate(deployment.workers)
        if worker.runs
    )
    return deployment, number, deployment.workers[number]


def keepers_running(deployment):
    return sum(len(worker.runs) for worker in deployment.workers)


def test_an_attempt_on_an_agent_without_a_grant_of_a_new_owner_is_kept():
    """Guards against an owner that takes a missing grant for an expired one.

    A job is submitted to an owner that has just taken the shard. An agent
    reports late: it has a grant of the former owner, but none of the new one.
    The owner must not start the task elsewhere as well.
    """
    deployment, owner, successor = deploy_pair(work_ms=lambda task: 3000)
    deployment.run(10)
    deployment.kill_entry(owner.name)
    run_until_owned(deployment, successor)
    agent = deployment.agents['agent-0']
    agent.thaws_at = deployment.reactor.seconds() + 1
    deployment.run(0.1)
    job = a_job(steps=((2, ()),))
    deployment.submit(job, successor.name)
    deployment.run(0.05)
    deployment.block('agent-0', successor.name)
    deployment.run(5)
    assert deployment.state(job.job_id, successor.name) is JobState.COMPLETED


def test_a_vm_that_leaves_while_entries_are_replaced_holds_up_no_keeper():
    """Guards against an 8.4 s wait for the agent of a VM that left as planned.

    The agent reports that its worker has left and runs nothing, and ends. The
    shard's next owner knows the agent from the roster only, and must not wait
    before it starts the VM's keeper.
    """
    deployment, number, worker = deploy_keepers()
    worker.is_leaving = True
    owner = deployment.entries[deployment.owner]
    owner.core.release()
    deployment.agents[f'agent-{number}'].beat()
    for run in list(worker.runs.values()):
        worker.end(run, AttemptEnd.STOPPED)
    deployment.run(1)
    worker.is_unresponsive = True
    deployment.stop_agent(f'agent-{number}')
    deployment.run(6)
    assert keepers_running(deployment) == 2


def test_a_worker_that_has_ended_before_its_agent_holds_up_no_keeper():
    """A worker deregisters and ends with its tasks, then its agent is stopped.

    The shard has no owner meanwhile, so that no owner has stopped the tasks,
    and the worker lists no ends any more. A worker that deregistered and
    does not respond since runs nothing.
    """
    deployment, number, worker = deploy_keepers()
    agent = deployment.agents[f'agent-{number}']
    deployment.entries[deployment.owner].core.release()
    agent.core.monitor.deregister(worker.boot)
    worker.is_unresponsive = True
    for run in list(worker.runs.values()):
        worker.end(run, AttemptEnd.STOPPED)
    deployment.run(1)
    deployment.stop_agent(agent.name)
    deployment.run(6)
    assert keepers_running(deployment) == 2


def test_a_deposed_owner_leaves_jobs_to_its_successor():
    """Guards against a second start by a former owner whose poll finds a job.

    The former owner's lease lasts for seconds. The successor gets the job's
    notice and starts it at once. The former owner must not start it too, on an
    agent that does not know the successor.
    """
    deployment, former, successor = deploy_pair(work_ms=lambda task: 4000)
    former.membership.renew = lambda: None
    deployment.block('agent-1', successor.name)
    run_until_owned(deployment, successor)
    deployment.run(0.2)
    assert former.core.owner.shards.by_shard
    job = a_job(steps=((2, ()),))
    deployment.submit(job, successor.name)
    deployment.run(3)
    assert len(starts_of(deployment, job)) == 2


def test_a_new_agent_does_not_treat_its_predecessor_s_hold_as_expired():
    """Guards against an agent that reports running tasks as expired.

    An agent is restarted while the shard has no owner, and its worker's next
    response takes 600 ms. The new agent has set no hold, but its predecessor's
    hold has seconds left. The next owner must not start the tasks again.
    """
    deployment = settled(workers=2, work_ms=lambda task: 12_000)
    job = a_job(steps=((4, ()),))
    deployment.submit(job)
    deployment.run(1)
    deployment.kill_entry(deployment.owner)
    worker = deployment.workers[0]
    deployment.kill_agent('agent-0')
    deployment.run(1)
    deployment.start_agent('agent-0', worker)
    deployment.run(0.1)
    worker.is_unresponsive = True
    deployment.run(0.8)
    worker.is_unresponsive = False
    deployment.run(8)
    assert len(starts_of(deployment, job)) == 4


def test_a_refusal_does_not_cover_an_earlier_copy_of_the_start():
    """Guards against a refusal that counts for an earlier copy of a start.

    A worker does not respond to a start, refuses the second copy, and carries
    out the first one later. The agent must not report that nothing was
    started, or the task would be started elsewhere as well.
    """
    deployment = settled(workers=2, work_ms=lambda task: 6000)
    job = a_job(steps=((1, ()),))
    worker = deployment.workers[0]
    worker.lose_next = 1
    worker.late_s = 2
    deployment.submit(job)
    deployment.run(0.1)
    worker.is_unhealthy = True
    deployment.run(0.6)
    worker.is_unhealthy = False
    worker.is_leaving = True
    deployment.agents['agent-0'].beat()
    deployment.run(12)
    assert deployment.state(job.job_id, deployment.owner) is JobState.COMPLETED


def test_a_refused_start_does_not_end_a_running_attempt():
    """Guards against a refusal that counts as a proof that nothing runs.

    An agent refuses a start, as it runs another attempt of the task, which the
    owner has lost track of. The owner must not start the task elsewhere.
    """
    deployment, owner, _other = deploy_pair(work_ms=lambda task: 4000)
    job = a_job(steps=((1, ()),))
    deployment.submit(job, owner.name)
    deployment.run(0.5)
    core = owner.core
    for worker in core.fleet.by_agent.values():
        for placed in list(worker.placed_by_task.values()):
            core.owner._reconciler.record_attempt_lost(
                worker, placed, 'wrongly counted as lost'
            )
    core.owner._planner._plan()
    deployment.run(0.03)
    deployment.block('agent-0', owner.name)
    deployment.run(16)
    assert deployment.state(job.job_id, owner.name) is JobState.COMPLETED
