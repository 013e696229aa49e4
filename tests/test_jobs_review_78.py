"""Evidence that a worker did not give, and ends that nobody acknowledges."""

import pytest
from owner_support import (
    busy_worker,
    deploy_three_workers,
    run_until_taken,
    start_job,
)
from test_jobs_suspended_agents import (
    run_until_ordered,
    run_until_second_start,
    suspend_agent,
)

from hyssopring.jobs.model import AttemptEnd, JobState
from hyssopring.jobs.row_keys import progress_key
from hyssopring.jobs.rows import Row
from hyssopring.jobs.worker_port import EndRow
from standins.jobs.deployment import Deployment, a_job, settled
from standins.jobs.worker import ENDS_LISTED

LOST_STOPS = 4
READ_S = 0.5
REMOVED_JOB = 'f' * 16


def add_ends(worker, count):
    """Let a worker list ends of a job that is not stored any more."""
    for index in range(count):
        worker.number += 1
        worker.ends.append(
            EndRow(
                worker.number,
                f'{REMOVED_JOB}.0.0.{index}',
                1,
                AttemptEnd.STOPPED,
                '',
            )
        )


@pytest.mark.parametrize('lost_stops', [0, LOST_STOPS])
def test_a_start_that_no_listing_shows_is_no_running_task(lost_stops):
    """Guards against a second run of a task that another agent runs.

    A resumed agent reports a start that its worker has never carried out,
    after a listing that lacks it, until the stop is accepted. A new owner
    takes the task for running there and, once the start is dropped, for
    running nowhere, without hearing the agent that runs it.
    """
    deployment, owner, (successor,) = deploy_three_workers()
    for worker in deployment.workers:
        worker.lose_next, worker.late_s = 1, 60
    deployment.submit(a_job(steps=((1, ()),)), owner.name)
    agent = run_until_ordered(deployment)
    first = deployment.workers.index(agent.worker)
    for worker in deployment.workers:
        worker.lose_next = 0
    agent.worker.is_unresponsive = True
    suspend_agent(deployment, agent, 13.5)
    second = run_until_second_start(deployment, first)
    deployment.run(0.5)
    deployment.block(f'agent-{second}', successor.name)
    deployment.kill_entry(owner.name)
    run_until_taken(deployment, [successor])
    assert agent.thaws_at > deployment.reactor.seconds()
    agent.worker.is_unresponsive = False
    agent.worker.lose_next = lost_stops
    deployment.run(25)


def test_ends_of_a_malformed_job_hold_up_no_other_ends():
    """Guards against ends that a worker lists for ever.

    Nobody acknowledges the end of a job whose progress row is malformed, and
    ends are acknowledged up to a number. After 500 later ends the listing
    shows no further one.
    """
    first, second = a_job(1, steps=((1, ()),)), a_job(2, steps=((1, ()),))
    deployment = settled(
        Deployment(
            workers=1,
            entries=2,
            work_ms=lambda task: (
                10_000 if task.startswith(first.job_id) else 1000
            ),
        )
    )
    owner = deployment.entries[deployment.owner]
    (successor,) = (
        entry for entry in deployment.entries.values() if entry is not owner
    )
    (worker,) = deployment.workers
    deployment.submit(first, owner.name)
    deployment.run(1)
    deployment.kill_entry(owner.name)
    row_key = progress_key(first.job_id)
    deployment.rows.version += 1
    deployment.rows.rows[row_key] = Row(row_key, '{', deployment.rows.version)
    run_until_taken(deployment, [successor])
    deployment.run(14)
    deployment.submit(second, successor.name)
    deployment.run(30)
    assert deployment.state(second.job_id, successor.name) is (
        JobState.COMPLETED
    )
    listed_tasks = [end.task for end in worker.ends]
    assert not any(task.startswith(second.job_id) for task in listed_tasks)


def test_an_incomplete_listing_shows_no_running_task():
    """Guards against a second run of a task that another agent runs.

    A resumed agent keeps reporting a run that has lapsed, as the listing under
    the new epoch has room for other ends only.
    """
    deployment, owner, (successor,) = deploy_three_workers()
    start_job(deployment, owner)
    first = busy_worker(deployment)
    agent = deployment.agents[f'agent-{first}']
    add_ends(agent.worker, ENDS_LISTED)
    suspend_agent(deployment, agent, 13.5)
    second = run_until_second_start(deployment, first)
    deployment.run(0.5)
    deployment.block(f'agent-{second}', successor.name)
    deployment.kill_entry(owner.name)
    run_until_taken(deployment, [successor])
    assert agent.thaws_at > deployment.reactor.seconds()
    deployment.rows.pauses = lambda: (0, READ_S)
    deployment.run(25)
