"""Owners that die, freeze, or are refused by the store, in virtual time.

See ``test_jobs`` for the assertions that hold in all tests.
"""

from hyssopring.jobs.model import JobState
from standins.jobs.deployment import a_job, settled, starts_of


def test_starts_go_on_while_the_store_is_down():
    """The store is down for four seconds after a job was accepted.

    Its second step must start: the owner's lease outlasts the outage, and only
    the recording of ends waits for the store.
    """
    deployment = settled()
    job = a_job(steps=((2, ()), (2, (0,))))
    deployment.submit(job)
    deployment.run(0.3)
    deployment.rows.is_down = True
    deployment.run(2)
    assert len(starts_of(deployment, job)) == 4
    deployment.run(2)
    assert deployment.state(job.job_id) is JobState.ACTIVE
    deployment.rows.is_down = False
    deployment.run(1)
    assert deployment.state(job.job_id) is JobState.COMPLETED


def test_an_owner_that_dies_is_replaced_and_nothing_runs_twice():
    """The owner is killed while tasks run.

    Another entry takes the shard after three missed renewals, requests all
    agents' reports, and continues.
    """
    deployment = settled(work_ms=lambda task: 3000)
    job = a_job(steps=((6, ()), (2, (0,))))
    deployment.submit(job)
    deployment.run(1)
    deployment.kill_entry(deployment.owner)
    deployment.run(14)
    survivor = deployment.owner
    assert deployment.state(job.job_id, survivor) is JobState.COMPLETED
    assert len(starts_of(deployment, job)) == 8


def test_an_end_that_was_not_recorded_before_the_owner_dies_is_listed_again():
    """A task ends, and the owner dies before it has recorded the end.

    The worker lists the end until it is acknowledged as durable, so that the
    next owner receives it and does not start the task again.
    """
    deployment = settled(work_ms=lambda task: 1000)
    job = a_job(steps=((2, ()),))
    deployment.submit(job)
    deployment.run(0.5)
    deployment.rows.is_down = True
    deployment.run(1.5)
    deployment.kill_entry(deployment.owner)
    deployment.rows.is_down = False
    deployment.run(8)
    assert deployment.state(job.job_id, deployment.owner) is JobState.COMPLETED
    assert len(starts_of(deployment, job)) == 2


def test_a_frozen_owner_that_wakes_starts_nothing_of_its_former_shard():
    """The owner is frozen for six seconds and another entry takes over.

    When it wakes it still acts as the owner. The agents know a newer epoch
    and refuse its starts, and the store refuses its writes.
    """
    deployment = settled(work_ms=lambda task: 2500)
    job = a_job(steps=((3, ()), (3, (0,))))
    deployment.submit(job)
    deployment.run(1)
    frozen = deployment.owner
    deployment.entries[frozen].thaws_at = deployment.reactor.seconds() + 6
    deployment.run(14)
    others = [name for name in deployment.entries if name != frozen]
    assert deployment.state(job.job_id, others[0]) is JobState.COMPLETED
    assert len(starts_of(deployment, job)) == 6


def test_an_entry_that_the_store_refuses_loses_its_shard():
    """The store refuses the owner's calls and serves the others'.

    The owner cannot reach its peers either, which could relay its calls.
    """
    deployment = settled(work_ms=lambda task: 2000)
    job = a_job(steps=((3, ()), (3, (0,))))
    deployment.submit(job)
    deployment.run(1)
    rejected_client = deployment.owner
    deployment.entries[rejected_client].has_peers = False
    deployment.rows.rejected_clients.add(rejected_client)
    deployment.run(14)
    owners = [
        name
        for name, entry in deployment.entries.items()
        if name != rejected_client and entry.core.owner.shards.by_shard
    ]
    assert len(owners) == 1
    assert deployment.state(job.job_id, owners[0]) is JobState.COMPLETED
    assert len(starts_of(deployment, job)) == 6


def test_failed_attempts_count_over_a_change_of_owner():
    """One attempt fails, then the owner dies: only one more may start."""
    deployment = settled()
    for worker in deployment.workers:
        worker.fails = lambda task: True
    job = a_job(steps=((1, ()),), attempts=2)
    deployment.submit(job)
    deployment.run(1.3)
    deployment.kill_entry(deployment.owner)
    deployment.run(10)
    assert len(starts_of(deployment, job)) == 2
    assert deployment.state(job.job_id, deployment.owner) is JobState.FAILED


def test_all_processes_die_at_once_and_the_jobs_go_on():
    """Everything but the workers and the store is killed and restarted."""
    deployment = settled(work_ms=lambda task: 3000)
    job = a_job(steps=((6, ()), (6, (0,))))
    deployment.submit(job)
    deployment.run(1)
    for name in list(deployment.agents):
        deployment.kill_agent(name)
    for name in list(deployment.entries):
        deployment.kill_entry(name)
    deployment.run(1.5)
    for name in list(deployment.entries):
        deployment.start_entry(name)
    for number, worker in enumerate(deployment.workers):
        deployment.start_agent(f'agent-{number}', worker)
    deployment.run(14)
    assert deployment.state(job.job_id) is JobState.COMPLETED
    assert len(starts_of(deployment, job)) == 12


def test_a_failed_end_that_two_owners_receive_counts_once():
    """Guards against a job that fails after a single failed attempt.

    An owner records the attempt and dies before it acknowledges the end. The
    worker lists it again, and the next owner must not count it twice.
    """
    deployment = settled(work_ms=lambda task: 1000)
    failures = iter([True])
    for worker in deployment.workers:
        worker.fails = lambda task: next(failures, False)
    job = a_job(steps=((1, ()),), attempts=2)
    deployment.submit(job)
    owner = deployment.entries[deployment.owner]
    owner.core.owner.acknowledge_ends = lambda acks: None
    for owned in owner.core.owner.shards.by_shard.values():
        owned._writer._on_acks = lambda acks: None
    deployment.run(1.3)
    deployment.kill_entry(owner.name)
    deployment.run(10)
    assert deployment.state(job.job_id, deployment.owner) is JobState.COMPLETED


def test_a_new_owner_waits_for_an_agent_that_it_cannot_reach():
    """An agent with running tasks is cut off, and then the owner dies.

    The next owner gets no report of these tasks. It reads the agent from the
    roster, and may start tasks of older jobs only when the agent's grants
    must have expired.
    """
    deployment = settled(workers=2, work_ms=lambda task: 30_000)
    job = a_job(steps=((4, ()),))
    deployment.submit(job)
    deployment.run(1)
    deployment.cut_off('agent-0')
    deployment.run(0.5)
    deployment.kill_entry(deployment.owner)
    deployment.run(24)
    moved = [row for row in starts_of(deployment, job) if row[3] > 1]
    assert len(moved) == 2
    assert {row[1] for row in moved} == {'worker-1'}


def test_an_owner_that_takes_its_shard_back_records_ends_again():
    """An owner receives an end, cannot write it, and loses the shard.

    When it takes the shard back, the worker still lists the end. If the owner
    treated it as known, the task would start again, and the worker would list
    the end for ever.
    """
    deployment = settled(workers=1, entries=1, work_ms=lambda task: 1000)
    job = a_job(steps=((2, ()),))
    deployment.submit(job)
    deployment.run(0.5)
    deployment.rows.is_down = True
    deployment.run(1.5)
    core = deployment.entries['entry-0'].core
    core.owner.drop(core.owner.shards.by_shard[0])
    deployment.rows.is_down = False
    deployment.run(8)
    assert deployment.state(job.job_id) is JobState.COMPLETED
    assert len(starts_of(deployment, job)) == 2
