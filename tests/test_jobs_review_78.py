"""Evidence that a worker did not give, and ends that nobody acknowledges."""

import pytest
from owner_support import (
    LONG_MS,
    busy_worker,
    deploy_three_workers,
    run_until_taken,
    start_job,
)
from test_jobs_clock_steps import (
    deploy_two_workers,
    restart_with_start_in_flight,
)
from test_jobs_suspended_agents import (
    run_until_ordered,
    run_until_second_start,
    suspend_agent,
)
from test_jobs_unknown_jobs import deploy_late_job

from hyssopring.clock import MILLIS_PER_SECOND
from hyssopring.jobs.crash_suspects import TRIAL_MS
from hyssopring.jobs.model import AttemptEnd, JobState
from hyssopring.jobs.row_keys import progress_key
from hyssopring.jobs.rows import Row
from hyssopring.jobs.worker_port import EndRow, StartOutcome
from standins.jobs.deployment import LINK_S, Deployment, a_job, settled
from standins.jobs.worker import ENDS_LISTED

LOST_STOPS = 4
READ_S = 0.5
# Twelve days.
FENCE_AHEAD_MS = 12 * 86_400_000
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


def test_a_listing_from_before_a_suspension_shows_no_task_past_its_start():
    """Guards against crashes that are forgotten as their task seems to run.

    The task crashes its worker 0.5 s after its start. The agent is suspended
    before, with an answer of the worker in its socket. As it resumes, it
    reports the task as running now.
    """
    deployment = settled(workers=1, entries=1, work_ms=lambda task: LONG_MS)
    (worker,) = deployment.workers
    worker.kills = lambda task: True
    worker.kill_s, worker.away_s = 0.5, 10
    deployment.submit(a_job(steps=((1, ()),)), deployment.owner)
    run_until_second_start(deployment, first=-1)
    deployment.run(0.2)
    agent = deployment.agents['agent-0']
    agent.thaws_at = deployment.reactor.seconds() + 3
    entry = deployment.entries[deployment.owner]
    placed_by_task = entry.core.fleet.by_agent['agent-0'].placed_by_task
    longest_ms = 0
    for _step in range(500):
        deployment.run(deployment.step_s)
        longest_ms = max(
            [longest_ms, *(one.observed_ms for one in placed_by_task.values())]
        )
    assert longest_ms < TRIAL_MS


def test_a_listing_counts_from_when_its_poll_was_sent():
    """Guards against an old listing that counts as one of the present epoch.

    Its answer may have waited in the socket of a suspended agent.
    """
    deployment = settled(workers=1, entries=1, work_ms=lambda task: 30_000)
    deployment.submit(a_job(1, steps=((1, ()),)), deployment.owner)
    deployment.run(1)
    deployment.workers[0].slow_s = 0.3
    deployment.run(1)
    core = deployment.agents['agent-0'].core
    monitor = core.monitor
    (attempt,) = core.table.by_task.values()
    ages_ms = []
    for _step in range(100):
        deployment.run(deployment.step_s)
        ages_ms.append(monitor.silent_ms)
        now_ms = deployment.reactor.seconds() * MILLIS_PER_SECOND
        assert now_ms - attempt.listed_at >= 300
    assert min(ages_ms) < 300


def test_an_end_of_a_job_that_is_found_late_is_not_forgotten():
    """Guards against a second run of a done task of a job that is found late.

    Its agent names the job by an end only. As the job is found, the agent's
    next process does not know its worker yet.
    """
    deployment, owner = deploy_late_job(1500)
    deployment.link_s = lambda *_message: LINK_S
    worker = deployment.workers[0]
    deployment.run(2)
    assert worker.ends and not worker.runs
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
    assert len(deployment.run_recorder.starts) == 1


def test_a_start_that_came_too_late_raises_the_fence_by_little():
    """Guards against fences that follow the time of day after a late start.

    If that was set back, the next agent's would be lower than one in flight.
    """
    deployment = settled(workers=1, entries=1)
    (worker,) = deployment.workers
    start, answers = worker._start, [StartOutcome.LATE]
    worker._start = lambda order: answers.pop() if answers else start(order)
    fences = deployment.agents['agent-0'].core.monitor.fences
    before = fences.current
    deployment.submit(a_job(steps=((1, ()),)), deployment.owner)
    deployment.run(1)
    assert worker.runs and not answers
    since_boot_ms = deployment.reactor.seconds() * MILLIS_PER_SECOND
    assert 0 < fences.current - before <= since_boot_ms


@pytest.mark.parametrize('lists_when_fenced', [False, True])
def test_a_late_start_is_void_on_a_worker_with_a_fence_from_before_a_boot(
    lists_when_fenced,
):
    """Guards against a second run by a late start of a former agent.

    The worker has seen a fence ahead of the time since boot, so that the
    former agent's was raised. The next agent begins below it. If the worker
    lists its attempts all the same, its fence is not raised.
    """
    deployment = deploy_two_workers(lists_when_fenced)
    for worker in deployment.workers:
        worker.fence = deployment.agents['agent-0'].core.monitor.fences.current
        worker.fence += FENCE_AHEAD_MS
    deployment.submit(a_job(9, steps=((1, ()),)))
    deployment.run(15)
    restart_with_start_in_flight(deployment, 1, then_ms=0)
    deployment.run(20)
    assert deployment.state(a_job(1).job_id) is JobState.COMPLETED
