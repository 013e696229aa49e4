"""What a new owner of a shard may start, and for whom it waits."""

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
    """A VM is taken away, and later the owner dies; then a keeper fails.

    The next owner read the lost VM's agent from the store and waited 18 s for
    it before it started anything again. The keeper was away for all of that.
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
    deployment.workers[idle].is_dark = True
    deployment.kill_agent(f'agent-{idle}')
    deployment.run(10)
    replace_owner(deployment)
    busy = next(each for each in deployment.workers if each.runs)
    busy.fail_all()
    deployment.run(1)
    assert len(starts_of(deployment, job)) == 3


def test_jobs_that_wait_for_room_are_not_held_up_by_a_vm_that_left():
    """A VM left for good, and the owner dies while a job waits for room.

    The next owner knows nothing of the job's tasks: they may have been started
    on any agent of the roster. The lost VM's agent is not on it any more, so
    that they start as soon as there is room.
    """
    deployment = settled(workers=3, work_ms=lambda task: 17_000)
    deployment.workers[2].is_dark = True
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
    """A VM goes dark, the owner dies with it, and a keeper elsewhere fails.

    Nothing can be known of the dark VM for seconds. The keeper that failed was
    seen running by the new owner, so that it runs nowhere else: it starts
    again at once.
    """
    deployment = settled(workers=3, work_ms=lambda task: 60_000)
    job = a_job(steps=((3, ()),), is_keeper=True, max_per_worker=1)
    deployment.submit(job)
    deployment.run(1)
    deployment.workers[0].is_dark = True
    deployment.kill_agent('agent-0')
    replace_owner(deployment)
    before = len(starts_of(deployment, job))
    deployment.workers[1].fail_all()
    deployment.run(1)
    assert len(starts_of(deployment, job)) == before + 1


def test_a_next_step_starts_although_an_agent_is_not_heard():
    """A VM goes dark and the owner dies while a first step runs elsewhere.

    The step was not done when the owner died: no task of the next step can
    have been started by it, on the dark VM or anywhere.
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
    """All entries are restarted while a VM is dark for good.

    The first one to come back is the former owner's successor under the same
    name: the former process is dead, and its last grants end 8.4 s later.
    """
    deployment = settled(workers=2, entries=1, work_ms=lambda task: 60_000)
    job = a_job(steps=((4, ()),))
    deployment.submit(job)
    deployment.run(1)
    deployment.workers[0].is_dark = True
    deployment.kill_agent('agent-0')
    deployment.kill_entry('entry-0')
    deployment.run(1)
    deployment.start_entry('entry-0')
    deployment.run(11)
    moved = [row for row in starts_of(deployment, job) if row[3] > 1]
    assert len(moved) == 2


def test_an_end_of_an_occurrence_that_a_new_owner_has_not_opened_counts():
    """An occurrence ends while nobody owns the shard.

    The new owner opens occurrences a moment after it has read the shard; the
    agents' lists come earlier. An end of an occurrence that it did not know
    was acknowledged without being kept, and the task ran again.
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
    """A VM is away for so long that it is struck off, and returns.

    The store is down, so that the agent cannot be listed. Given a task then,
    it would not be waited for by the next owner, which knows nothing of it.
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


def test_a_late_removal_does_not_take_off_an_agent_that_is_back():
    """The store removes an agent's row five seconds after it was asked to.

    The agent has come back and is listed again by then, with tasks: without
    its row the next owner would not wait for it.
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
    """Let the owner know nothing of a job that runs."""
    core = deployment.entries[deployment.owner].core
    owned = core.owner.shards.by_shard[0]
    record = owned.by_job.pop(job.job_id)
    owned._live.pop(job.job_id)
    for worker in core.fleet.by_agent.values():
        worker.placed_by_task.clear()
    return core, owned, record


def test_a_running_task_of_a_job_that_is_found_later_is_not_started_again():
    """A former owner starts a job just after its successor read the shard.

    The successor hears of a task of a job that it does not know. It stopped
    the task, found the job by a poll a moment later, and started the task
    elsewhere while the first run was still stopping.
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


def test_a_job_that_is_not_found_has_its_whole_time_under_each_reign():
    """An owner hears of a job that it does not know, and loses the shard.

    It takes the shard back and hears of the job again,
    before its row is found. Counted from the first time, the job would be given
    up at once: its tasks were stopped, although they do what was asked.
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
    assert not deployment.book.ends


def test_an_owner_gives_up_when_an_agent_tells_of_another_one():
    """The store turns the owner away, and another entry takes the shard.

    It has no path to its peers either. The former owner still has authority for seconds, and starts an occurrence
    that is due. Agents refuse, as they know the newer owner; it sent the same
    start again and again, fifty times a second.
    """
    deployment = settled(work_ms=lambda task: 500)
    first_ms = int(deployment.wall_ms()) + 1000
    job = replace(a_job(steps=((1, ()),)), schedule=Schedule(first_ms, 500, 20))
    deployment.submit(job)
    former = deployment.owner
    deployment.rows.shunned.add(former)
    deployment.entries[former].has_peers = False
    deployment.run(7)
    assert not deployment.entries[former].core.owner.shards.by_shard
    assert deployment.owner != former
    deployment.run(6)
    assert len(starts_of(deployment, job)) == 20


def test_a_shard_goes_to_an_entry_with_far_more_processor_time():
    """The first entry to start is a weak one, and takes the shard.

    With 61 agents to hear it was silent to all of them for seconds after a
    loss of power, while it renewed its row and seemed well. It gives the shard
    up for a strong one; tasks run on and none runs twice.
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
    """All processes and workers stop at once, and are back a second later.

    A worker that is dark has gone for good: its agent comes back alone.
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
    """The number of a worker that runs nothing."""
    return next(
        number
        for number, worker in enumerate(deployment.workers)
        if not worker.runs
    )


def keepers_on_two_of_three(**options):
    """Three workers; each of two keepers has one of its own."""
    deployment = settled(workers=3, work_ms=lambda task: 60_000, **options)
    job = a_job(steps=((2, ()),), is_keeper=True, max_per_worker=1)
    deployment.submit(job)
    deployment.run(1)
    return deployment, job


def test_an_agent_that_has_no_worker_holds_up_no_keeper():
    """A worker is lost for good while its agent stays; later power is lost.

    The next owner read the agent from the roster. It came back without a
    worker, and so could not show for 6.3 s that no hold of its predecessor
    lasts: all keepers and all jobs waited for it. The owner before had known
    for long that nothing runs there.
    """
    deployment, job = keepers_on_two_of_three()
    deployment.workers[idle_worker(deployment)].is_dark = True
    deployment.run(10)
    lose_power(deployment)
    deployment.run(4.5)
    assert len(starts_of(deployment, job)) == 4


def test_an_agent_whose_worker_is_silent_for_a_moment_is_waited_for():
    """A worker runs a keeper and is cut from its agent; then entries restart.

    What says that nothing runs there is not true yet: the keeper is held for
    seconds. Struck off now, its agent would not be waited for, and the keeper
    would run twice.
    """
    deployment, job = keepers_on_two_of_three()
    number = next(
        number for number, each in enumerate(deployment.workers) if each.runs
    )
    deployment.workers[number].is_dark = True
    deployment.run(4)
    deployment.kill_agent(f'agent-{number}')
    assert f'agent-{number}' in listed_agents(deployment)
    deployment.kill_entry(deployment.owner)
    deployment.run(3.5)
    assert len(starts_of(deployment, job)) == 2


def test_an_agent_that_gets_a_worker_again_is_listed_before_its_first_task():
    """A worker was lost and its agent struck off; a new life of it begins.

    The next owner must find the agent on the roster, or it would start what
    runs there a second time.
    """
    deployment = settled(workers=1, work_ms=lambda task: 60_000)
    worker = deployment.workers[0]
    worker.is_dark = True
    deployment.run(10)
    assert not listed_agents(deployment)
    job = a_job(steps=((1, ()),))
    deployment.submit(job)
    deployment.run(0.5)
    deployment.rows.is_down = True
    worker.is_dark = False
    worker.crash()
    deployment.run(3)
    assert not starts_of(deployment, job)
    deployment.rows.is_down = False
    deployment.run(6)
    assert listed_agents(deployment) == ['agent-0']
    assert len(starts_of(deployment, job)) == 1


def test_a_restarted_owner_takes_its_shard_at_once():
    """All entries lose power and are back a second later.

    The owner's next process knows that the former one is dead. It looked for
    free shards before its row was written, which it needs first, and again a
    second later only: nothing was started meanwhile.
    """
    deployment, _job = keepers_on_two_of_three()
    owner = deployment.owner
    lose_power(deployment)
    deployment.run(0.2)
    assert deployment.owner == owner


def test_a_hold_that_was_sent_to_a_silent_worker_counts():
    """A worker takes holds and its answers are lost, for a moment.

    Its agent sent the last one 1.5 s after it had heard of it: tasks may be
    held for so much longer than a hold lasts from the last answer.
    """
    deployment = settled(workers=1, work_ms=lambda task: 60_000)
    core = deployment.entries[deployment.owner].core
    deployment.workers[0].is_dark = True
    deployment.run(7)
    fleet_worker = core.fleet.by_agent['agent-0']
    assert fleet_worker.report.silent_ms > HOLD_EXPIRY_MS
    assert listed_agents(deployment) == ['agent-0']
    deployment.run(2)
    assert not listed_agents(deployment)
