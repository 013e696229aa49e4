"""Jobs in reports that an owner does not find, as the store does not answer."""

from owner_support import LONG_MS, run_until_taken, stop_renewals

from standins.jobs.deployment import LINK_S, Deployment, a_job, settled

SLOW_S = 0.3


def deploy_late_job(work_ms):
    """Return a deployment with a job that only a deposed owner knows.

    It is accepted and started by the former owner after the new one has read
    the shard. The new owner then reaches neither the store nor its peers. It
    has heard the agent that runs the task.
    """
    deployment = settled(
        Deployment(workers=3, entries=3, work_ms=lambda task: work_ms)
    )
    former = deployment.entries[deployment.owner]
    others = [
        entry for entry in deployment.entries.values() if entry is not former
    ]
    for number in (1, 2):
        deployment.block(f'agent-{number}', former.name)
    deployment.link_s = lambda _now, sender, receiver: (
        SLOW_S if receiver == 'agent-0' and sender != former.name else LINK_S
    )
    stop_renewals(former)
    owner = run_until_taken(deployment, others)
    deployment.run(0.05)
    deployment.submit(a_job(steps=((1, ()),)), former.name)
    deployment.run(0.1)
    owner.has_peers = False
    deployment.rows.rejected_clients.add(owner.name)
    deployment.run(2 * SLOW_S)
    assert deployment.workers[0].runs
    deployment.kill_entry(former.name)
    return deployment, owner


def test_an_owner_without_the_store_drops_no_end_of_an_unknown_job():
    """Guards against a second run of a task whose end nobody has recorded.

    After 15 s without an answer the owner takes the job for removed, and the
    worker drops the end. The successor knows the job, and starts it again.
    """
    deployment, owner = deploy_late_job(3000)
    for entry in deployment.entries.values():
        if entry.is_alive and entry is not owner:
            deployment.block('agent-0', entry.name)
    deployment.run(5)
    assert deployment.workers[0].ends
    deployment.run(35)


def test_a_job_that_is_found_after_its_agent_was_restarted_starts_no_task():
    """Guards against a second run of a task of a job that was found late.

    Its agent has reported, so that the owner does not wait for it, but the job
    was not known then. As it is found, the agent's next process does not know
    its worker yet.
    """
    deployment, owner = deploy_late_job(LONG_MS)
    deployment.link_s = lambda *_message: LINK_S
    worker = deployment.workers[0]
    deployment.kill_agent('agent-0')
    deployment.run(0.5)
    worker.can_announce = False
    deployment.start_agent('agent-0', worker)
    deployment.run(0.4)
    deployment.rows.rejected_clients.discard(owner.name)
    owner.has_peers = True
    deployment.run(1)
    worker.can_announce = True
    deployment.run(20)
