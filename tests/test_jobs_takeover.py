"""Which tasks a new owner of a shard may start, and when it has to wait."""

from dataclasses import replace
from functools import partial

from hyssopring.jobs.documents import JobRow
from hyssopring.jobs.model import JobState, Schedule
from hyssopring.jobs.rows import Committed
from hyssopring.jobs.times import HOLD_EXPIRY_MS
from standins.jobs.deployment import Deployment, a_job, settled, starts_of
from standins.jobs.rows import MemoryRows


def replace_owner(deployment):
    """Kill the owner and wait until another entry owns the shard."""
    deployment.kill_entry(deployment.owner)
    deployment.run(6)
    assert deployment.owner


def test_a_vm_that_left_for_good_does_not_hold_up_later_owners():
    """Guards against an 18 s wait for the agent of a VM that was lost before.

    A VM is removed, later the owner dies, and a keeper fails. The new owner
    read the lost agent from the roster and restarted nothing until the wait
    was over.
    """
    deployment = settled(workers=3, work_ms=lambda task: 60_000)
    job = a_job(steps=((2, ()),), is_keeper=True)
    deployment.submit(job)
    deployment.run(1)
    idle = next(
        number
        for number, worker in enumerate(deployment.workers)
        if not worker.runs
    )
    deployment.workers[idle].is_unresponsive = True
    deployment.kill_agent(f'agent-{idle}')
    deployment.run(10)
    replace_owner(deployment)
    busy = next(each for each in deployment.workers if each.runs)
    busy.fail_all()
    deployment.run(1)
    assert len(starts_of(deployment, job)) == 3


def test_jobs_that_wait_for_capacity_are_not_held_up_by_a_lost_vm():
    """A VM is lost, and the owner dies while a job waits for capacity.

    To the new owner, the job's tasks may run on any agent of the roster. The
    lost agent must have been removed from it, so that they start as soon as
    there is capacity.
    """
    deployment = settled(workers=3, work_ms=lambda task: 17_000)
    deployment.workers[2].is_unresponsive = True
    deployment.kill_agent('agent-2')
    deployment.run(10)
    deployment.submit(a_job(1, steps=((32, ()),)))
    deployment.run(0.2)
    job = a_job(2, steps=((2, ()),))
    deployment.submit(job)
    deployment.run(10)
    assert not starts_of(deployment, job)
    replace_owner(deployment)
    deployment.run(3)
    assert len(starts_of(deployment, job)) == 2


def test_a_task_that_a_new_owner_has_seen_needs_no_roster():
    """A VM becomes unreachable, the owner dies, and another VM's keeper fails.

    The state of the unreachable VM is unknown for seconds. The new owner has
    seen the keeper running elsewhere, so it may restart it at once.
    """
    deployment = settled(workers=3, work_ms=lambda task: 60_000)
    job = a_job(steps=((3, ()),), is_keeper=True, max_per_worker=1)
    deployment.submit(job)
    deployment.run(1)
    deployment.workers[0].is_unresponsive = True
    deployment.kill_agent('agent-0')
    replace_owner(deployment)
    before = len(starts_of(deployment, job))
    deployment.workers[1].fail_all()
    deployment.run(1)
    assert len(starts_of(deployment, job)) == before + 1


def test_a_next_step_starts_although_an_agent_has_not_reported():
    """A VM is unreachable and the owner dies while a first step runs elsewhere.

    As that step was not done, the dead owner cannot have started the next one
    on any VM. The new owner need not wait for the unreachable VM.
    """
    deployment = settled(workers=2, work_ms=lambda task: 7000)
    deployment.cut_off('agent-0')
    deployment.run(10)
    job = a_job(steps=((1, ()), (2, (0,))))
    deployment.heal('agent-0')
    deployment.run(1)
    deployment.cut_off('agent-0')
    deployment.run(0.1)
    deployment.submit(job)
    deployment.run(1)
    replace_owner(deployment)
    deployment.run(2)
    assert len(starts_of(deployment, job)) == 3


def test_an_owner_that_comes_back_waits_for_its_own_last_grants_only():
    """All entries are restarted after a VM was lost.

    The new owner has the same name as the former one, so that the former
    process is certainly dead: only its last grants, 8.4 s, count.
    """
    deployment = settled(workers=2, entries=1, work_ms=lambda task: 60_000)
    job = a_job(steps=((4, ()),))
    deployment.submit(job)
    deployment.run(1)
    deployment.workers[0].is_unresponsive = True
    deployment.kill_agent('agent-0')
    deployment.kill_entry('entry-0')
    deployment.run(1)
    deployment.start_entry('entry-0')
    deployment.run(11)
    moved = [row for row in starts_of(deployment, job) if row[3] > 1]
    assert len(moved) == 2


def test_an_end_of_an_occurrence_that_a_new_owner_has_not_opened_counts():
    """Guards against a task that runs again after its end was dropped.

    An occurrence ends while the shard has no owner. Reports reach the new
    owner before it has opened the occurrence: it acknowledged the end without
    recording it.
    """
    deployment = settled(work_ms=lambda task: 2500)
    first_ms = int(deployment.wall_ms()) + 1000
    job = replace(a_job(steps=((2, ()),)), schedule=Schedule(first_ms, 500, 4))
    deployment.submit(job)
    deployment.run(3)
    replace_owner(deployment)
    deployment.run(6)
    assert len(starts_of(deployment, job)) == 8
    assert deployment.state(job.job_id, deployment.owner) is JobState.COMPLETED


def listed_agents(deployment):
    return [row.key for row in deployment.rows.rows if row.table == 'hs_agent']


def test_an_agent_that_comes_back_is_listed_before_it_gets_a_task():
    """A VM returns after its agent was removed from the roster.

    The store is down, so that the agent cannot be listed. It must get no task
    until then, as the next owner would not wait for an unlisted agent.
    """
    deployment = Deployment(workers=1)
    deployment.run(3)
    deployment.cut_off('agent-0')
    deployment.run(12)
    assert not listed_agents(deployment)
    job = a_job(steps=((1, ()),))
    deployment.submit(job)
    deployment.run(0.5)
    deployment.rows.is_down = True
    deployment.heal('agent-0')
    deployment.run(2)
    assert not starts_of(deployment, job)
    deployment.rows.is_down = False
    deployment.run(1)
    assert len(starts_of(deployment, job)) == 1
    assert listed_agents(deployment) == ['agent-0']


def test_a_delayed_removal_does_not_remove_an_agent_that_is_back():
    """The store applies the removal of an agent's row five seconds late.

    By then the agent is back and listed again, with tasks. Without its row
    the next owner would not wait for it.
    """
    deployment = Deployment(workers=2)
    deployment.run(3)
    deployment.cut_off('agent-0')
    deployment.run(7)
    commit = MemoryRows.apply
    held = []

    def apply(rows, transaction):
        if transaction.removals:
            held.append(transaction)
            return Committed(rows.version)
        return commit(rows, transaction)

    deployment.rows.apply = partial(apply, deployment.rows)
    deployment.run(3)
    deployment.heal('agent-0')
    deployment.run(2)
    assert held
    for transaction in held:
        commit(deployment.rows, transaction)
    assert sorted(listed_agents(deployment)) == ['agent-0', 'agent-1']


def forget_job(deployment, job):
    """Remove a running job from the owner's memory."""
    core = deployment.entries[deployment.owner].core
    owned = core.owner.shards.by_shard[0]
    record = owned.by_job.pop(job.job_id)
    owned._live.pop(job.job_id)
    for worker in core.fleet.by_agent.values():
        worker.placed_by_task.clear()
    return core, owned, record


def test_a_running_task_of_a_job_that_is_found_later_is_not_started_again():
    """Guards against a second run of a task of a job that is found by a poll.

    A former owner starts the job just after the new owner read the shard. The
    new owner stopped the unknown task, found the job a moment later, and
    started the task elsewhere while the first run was still stopping.
    """
    deployment = settled(work_ms=lambda task: 3000)
    job = a_job(steps=((3, ()),))
    deployment.submit(job)
    deployment.run(1)
    _core, owned, record = forget_job(deployment, job)
    deployment.run(0.7)
    owned.add(JobRow(record.job, record.accepted_ms), is_inherited=True)
    deployment.run(4)
    assert len(starts_of(deployment, job)) == 3
    assert deployment.state(job.job_id, deployment.owner) is JobState.COMPLETED


def test_the_timeout_of_an_unknown_job_begins_anew_under_each_epoch():
    """Guards against tasks of a valid job that are stopped after a takeover.

    An owner receives reports of an unknown job, loses the shard and takes it
    back before the job's row is found. The timeout counted from the first
    report, so that the tasks were stopped at once.
    """
    deployment = settled(work_ms=lambda task: 30_000)
    job = a_job(steps=((2, ()),))
    deployment.submit(job)
    deployment.run(1)
    core, owned, record = forget_job(deployment, job)
    deployment.run(1)
    core.owner._reconciler.forget(0)
    deployment.run(15)
    owned.add(JobRow(record.job, record.accepted_ms), is_inherited=True)
    deployment.run(1)
    assert len(starts_of(deployment, job)) == 2
    assert not deployment.run_recorder.ends


def test_an_owner_drops_its_shard_when_an_agent_reports_a_newer_epoch():
    """Guards against a start that a former owner repeats 50 times a second.

    The store and the peers are unreachable to the owner, and another entry
    takes the shard. The former owner's lease lasts for seconds: it starts an
    occurrence that is due, which the agents refuse.
    """
    deployment = settled(work_ms=lambda task: 500)
    first_ms = int(deployment.wall_ms()) + 1000
    job = replace(a_job(steps=((1, ()),)), schedule=Schedule(first_ms, 500, 20))
    deployment.submit(job)
    former = deployment.owner
    deployment.rows.rejected_clients.add(former)
    deployment.entries[former].has_peers = False
    deployment.run(7)
    assert not deployment.entries[former].core.owner.shards.by_shard
    assert deployment.owner != former
    deployment.run(6)
    assert len(starts_of(deployment, job)) == 20


def test_a_shard_goes_to_an_entry_with_far_more_processor_time():
    """Guards against a planner that is too weak for its agents.

    The first entry to start has little processor time and takes the shard.
    With 61 agents it sent no grants for seconds after a power loss, while it
    still renewed its row. It must release the shard to a stronger entry; tasks
    run on and none runs twice.
    """
    deployment = Deployment(
        cores_by_entry={'entry-0': 0.5, 'entry-1': 0.5, 'entry-2': 2},
        work_ms=lambda task: 4000,
    )
    deployment.run(1)
    job = a_job(steps=((4, ()), (2, (0,))))
    deployment.submit(job)
    deployment.run(5)
    assert deployment.owner == 'entry-2'
    deployment.run(8)
    assert deployment.owner == 'entry-2'
    assert deployment.state(job.job_id, 'entry-2') is JobState.COMPLETED
    assert len(starts_of(deployment, job)) == 6


def lose_power(deployment):
    """Stop all processes and workers, and start them a second later.

    The agent of a worker that is dark comes back without it.
    """
    for name in deployment.agents:
        deployment.kill_agent(name)
    for name in deployment.entries:
        deployment.kill_entry(name)
    for worker in deployment.workers:
        worker.crash()
    deployment.run(1)
    for number, worker in enumerate(deployment.workers):
        deployment.start_agent(f'agent-{number}', worker)
    for name in list(deployment.entries):
        deployment.start_entry(name)


def idle_worker(deployment):
    """Return the number of a worker that runs nothing."""
    return next(
        number
        for number, worker in enumerate(deployment.workers)
        if not worker.runs
    )


def deploy_two_keepers(**options):
    """Return three workers, two of which run one keeper each."""
    deployment = settled(workers=3, work_ms=lambda task: 60_000, **options)
    job = a_job(steps=((2, ()),), is_keeper=True, max_per_worker=1)
    deployment.submit(job)
    deployment.run(1)
    return deployment, job


def test_an_agent_that_has_no_worker_holds_up_no_keeper():
    """Guards against a 6.3 s wait of all jobs for an agent without a worker.

    A worker is lost while its agent stays; later power is lost. The agent
    returns without a worker and cannot show that no hold of its predecessor
    lasts. The former owner must have removed it from the roster.
    """
    deployment, job = deploy_two_keepers()
    deployment.workers[idle_worker(deployment)].is_unresponsive = True
    deployment.run(10)
    lose_power(deployment)
    deployment.run(4.5)
    assert len(starts_of(deployment, job)) == 4


def test_an_agent_whose_worker_is_silent_for_a_moment_is_waited_for():
    """A worker with a keeper is cut off from its agent, then the owner dies.

    The keeper's hold lasts for seconds. If the agent were removed from the
    roster now, the next owner would not wait for it, and the keeper would run
    twice.
    """
    deployment, job = deploy_two_keepers()
    number = next(
        number for number, each in enumerate(deployment.workers) if each.runs
    )
    deployment.workers[number].is_unresponsive = True
    deployment.run(4)
    deployment.kill_agent(f'agent-{number}')
    assert f'agent-{number}' in listed_agents(deployment)
    deployment.kill_entry(deployment.owner)
    deployment.run(3.5)
    assert len(starts_of(deployment, job)) == 2


def test_an_agent_that_gets_a_worker_again_is_listed_before_its_first_task():
    """A worker was lost, its agent removed, and a new incarnation starts.

    The next owner must find the agent on the roster, or it would start the
    tasks there a second time.
    """
    deployment = settled(workers=1, work_ms=lambda task: 60_000)
    worker = deployment.workers[0]
    worker.is_unresponsive = True
    deployment.run(10)
    assert not listed_agents(deployment)
    job = a_job(steps=((1, ()),))
    deployment.submit(job)
    deployment.run(0.5)
    deployment.rows.is_down = True
    worker.is_unresponsive = False
    worker.crash()
    deployment.run(3)
    assert not starts_of(deployment, job)
    deployment.rows.is_down = False
    deployment.run(6)
    assert listed_agents(deployment) == ['agent-0']
    assert len(starts_of(deployment, job)) == 1


def test_a_restarted_owner_takes_its_shard_at_once():
    """Guards against a second without an owner after a power loss.

    The owner's next process knows that the former one is dead. It checked for
    free shards before its first renewal, which it needs, and then a second
    later only.
    """
    deployment, _job = deploy_two_keepers()
    owner = deployment.owner
    lose_power(deployment)
    deployment.run(0.2)
    assert deployment.owner == owner


def test_a_hold_that_was_sent_to_a_silent_worker_counts():
    """A worker receives holds for a moment while its responses are lost.

    Its agent sent the last hold 1.5 s after the last response: the tasks may
    run for that much longer than a hold that counts from the response.
    """
    deployment = settled(workers=1, work_ms=lambda task: 60_000)
    core = deployment.entries[deployment.owner].core
    deployment.workers[0].is_unresponsive = True
    deployment.run(7)
    fleet_worker = core.fleet.by_agent['agent-0']
    assert fleet_worker.report.silent_ms > HOLD_EXPIRY_MS
    assert listed_agents(deployment) == ['agent-0']
    deployment.run(2)
    assert not listed_agents(deployment)
