"""What shows that an attempt is over, and what does not.

Users saw two runs of one task some milliseconds apart just after a shard had
got a new owner, and a keeper that ran nowhere for ten seconds while entries
and VMs were replaced in turn.
"""

from hyssopring.jobs.model import AttemptEnd, JobState
from standins.jobs.deployment import Deployment, a_job, settled, starts_of


STEP_S = 0.01
PATIENCE = 2000


def pair(**options):
    """Two entries and two workers: the owner, and who takes over from it."""
    deployment = settled(
        Deployment(workers=2, entries=2, **options),
    )
    owner = deployment.owner
    other = next(name for name in deployment.entries if name != owner)
    return deployment, deployment.entries[owner], deployment.entries[other]


def run_until_owned(deployment, entry):
    """Stop in the moment in which an entry has taken the shard."""
    for _each in range(PATIENCE):
        if entry.core.owner.shards.by_shard:
            return
        deployment.run(STEP_S)
    raise AssertionError('nobody has taken the shard')


def with_keepers():
    """Three workers and two keepers; the number and worker of one of them."""
    deployment = settled(workers=3, work_ms=lambda task: 60_000)
    job = a_job(steps=((2, ()),), is_keeper=True, max_per_worker=1)
    deployment.submit(job)
    deployment.run(1)
    number = next(
        number for number, each in enumerate(deployment.workers) if each.runs
    )
    return deployment, number, deployment.workers[number]


def keepers_running(deployment):
    return sum(len(each.runs) for each in deployment.workers)


def test_an_agent_that_a_new_owner_has_not_heard_is_not_given_up():
    """A job comes to an owner that has just taken the shard.

    An agent answers the owner's first question late: it has its former grant,
    but none of this owner. The owner sent it a start, and at its next turn
    took the lack of a grant of its own for a grant that had run out. It
    started the task elsewhere while the first start was carried out.
    """
    deployment, owner, successor = pair(work_ms=lambda task: 3000)
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
    """A VM is taken away in planned work, and the owner is stopped after it.

    The agent had told that its worker left and nothing ran there any more,
    and ended for good. Its successor as an owner knew it from the roster only
    and waited 8.4 s for it, before it started the keeper that ran there.
    """
    deployment, number, worker = with_keepers()
    worker.is_leaving = True
    owner = deployment.entries[deployment.owner]
    owner.core.release()
    deployment.agents[f'agent-{number}'].beat()
    for run in list(worker.runs.values()):
        worker.end(run, AttemptEnd.STOPPED)
    deployment.run(1)
    worker.is_dark = True
    deployment.stop_agent(f'agent-{number}')
    deployment.run(6)
    assert keepers_running(deployment) == 2


def test_a_worker_that_has_ended_before_its_agent_holds_up_no_keeper():
    """A worker withdraws and ends with its tasks, then its agent is stopped.

    Nobody owns the shard meanwhile, so that no owner has stopped the tasks
    there, and the worker lists no ends any more. The agent knows that a
    worker that withdrew and is silent since runs nothing.
    """
    deployment, number, worker = with_keepers()
    agent = deployment.agents[f'agent-{number}']
    deployment.entries[deployment.owner].core.release()
    agent.core.monitor.withdraw(worker.boot)
    worker.is_dark = True
    for run in list(worker.runs.values()):
        worker.end(run, AttemptEnd.STOPPED)
    deployment.run(1)
    deployment.stop_agent(agent.name)
    deployment.run(6)
    assert keepers_running(deployment) == 2


def test_a_deposed_owner_leaves_jobs_to_its_successor():
    """An owner is cut from its successor, and has authority for seconds.

    A job is told to the successor, which starts it at once, as no other owner
    has heard of it. The former owner finds the job's row by its regular poll
    and started it too, on an agent that had not heard of the successor.
    """
    deployment, former, successor = pair(work_ms=lambda task: 4000)
    former.membership.renew = lambda: None
    deployment.block('agent-1', successor.name)
    run_until_owned(deployment, successor)
    deployment.run(0.2)
    assert former.core.owner.shards.by_shard
    job = a_job(steps=((2, ()),))
    deployment.submit(job, successor.name)
    deployment.run(3)
    assert len(starts_of(deployment, job)) == 2


def test_a_new_agent_does_not_take_its_predecessors_hold_for_over():
    """An agent is restarted while nobody owns the shard.

    Its worker's next answer takes 600 ms. The new agent has extended no hold
    and took what it had found for lapsed, though its predecessor's hold had
    seconds to go. The next owner heard of an idle worker, and started the
    tasks a second time.
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
    worker.is_dark = True
    deployment.run(0.8)
    worker.is_dark = False
    deployment.run(8)
    assert len(starts_of(deployment, job)) == 4


def test_a_refusal_does_not_speak_for_an_earlier_copy_of_the_start():
    """A worker leaves a start unanswered, and refuses the second copy.

    It is unhealthy by then. The agent told the owner that nothing was
    started, and the task went elsewhere; the first copy was carried out three
    seconds later.
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


def test_a_refused_start_leaves_what_runs_there_alone():
    """An agent refuses a start, as an attempt of the task runs with it.

    The owner, which had lost track of that attempt, took the refusal for a
    sign that nothing runs there, and started the task on another worker.
    """
    deployment, owner, _other = pair(work_ms=lambda task: 4000)
    job = a_job(steps=((1, ()),))
    deployment.submit(job, owner.name)
    deployment.run(0.5)
    core = owner.core
    for worker in core.fleet.by_agent.values():
        for placed in list(worker.placed_by_task.values()):
            core.owner._reconciler.record_attempt_lost(
                worker, placed, 'a wrong belief'
            )
    core.owner._planner._plan()
    deployment.run(0.03)
    deployment.block('agent-0', owner.name)
    deployment.run(16)
    assert deployment.state(job.job_id, owner.name) is JobState.COMPLETED
