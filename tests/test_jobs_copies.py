"""Copies of straggling tasks in virtual time, under failures.

In all tests the workers' record asserts that no task has three attempts at a
time, that no task that may not be copied has two, and that nothing is ordered
after a task's end was recorded.
"""

import pytest

from hyssopring.jobs.crash_history import Crash, CrashCause
from hyssopring.jobs.model import AttemptEnd, JobState
from standins.jobs.deployment import starts_of
from standins.jobs.run_recorder import Run
from tests.stragglers_support import (
    OPTIONS,
    FirstRunLong,
    a_copyable_job,
    agent_of,
    deploy,
    first_task_of,
    holders_of,
    is_first_task,
    owner_record,
    run_until,
    run_until_copied,
    teach,
    two_long_runs,
)


def copied(deployment, job):
    """Submit a job and run until the first task has two attempts.

    Returns:
        The workers of both attempts, the first attempt's first.
    """
    deployment.submit(job)
    return run_until_copied(deployment, first_task_of(job))


def end_now(worker, task, how=AttemptEnd.DONE):
    worker.end(worker.runs[task], how)


def starts_of_task(deployment, task):
    return [row for row in deployment.run_recorder.starts if row[2] == task]


def owner_of(deployment, former):
    """Return the name of the owner after ``former``, None if there is none."""
    return next(
        (
            name
            for name, entry in deployment.entries.items()
            if name != former and entry.core.owner.shards.loaded_shards()
        ),
        None,
    )


def owned_shard(deployment, former):
    entry = deployment.entries[owner_of(deployment, former)]
    return next(iter(entry.core.owner.shards.by_shard.values()))


def first_waits(deployment, job):
    """Return whether the first task is marked waiting."""
    return 0 in owner_record(deployment, job).step_runs['0.0'].waiting


def test_an_outlier_gets_a_copy_whose_end_counts():
    deployment = deploy()
    job = a_copyable_job()
    copied(deployment, job)
    deployment.run(3)
    assert deployment.state(job.job_id) is JobState.COMPLETED
    assert len(starts_of(deployment, job)) == 7
    assert not holders_of(deployment, first_task_of(job))


def test_nothing_is_copied_without_the_part():
    deployment = deploy(options=None)
    job = a_copyable_job()
    deployment.submit(job)
    deployment.run(10)
    assert len(starts_of(deployment, job)) == 6


@pytest.mark.parametrize(
    'changes', [{'may_copy': False}, {'is_gang': True}, {'is_keeper': True}]
)
def test_tasks_that_may_not_be_copied_are_not(changes):
    """All tasks run far longer than earlier ones of their key."""
    deployment = deploy(FirstRunLong(lambda task: task.startswith(f'{1:016x}')))
    teach(deployment, 'entry-0')
    job = a_copyable_job(**changes)
    deployment.submit(job)
    deployment.run(8)
    assert len(starts_of(deployment, job)) == 6


def test_a_task_never_has_a_third_attempt():
    """Both attempts are outliers, and nothing else forbids one more."""
    deployment = deploy(two_long_runs())
    job = a_copyable_job()
    copied(deployment, job)
    teach(deployment, 'entry-0')
    deployment.run(15)
    assert len(starts_of(deployment, job)) == 7


def test_the_first_attempt_may_end_first():
    """The first attempt ends while its copy runs: the copy is stopped."""
    deployment = deploy(two_long_runs())
    job = a_copyable_job()
    first, copy = copied(deployment, job)
    end_now(first, first_task_of(job))
    deployment.run(1)
    assert deployment.state(job.job_id) is JobState.COMPLETED
    assert not copy.runs


def test_two_ends_at_once_count_once():
    deployment = deploy(two_long_runs())
    job = a_copyable_job()
    for worker in copied(deployment, job):
        end_now(worker, first_task_of(job))
    deployment.run(2)
    record = owner_record(deployment, job)
    assert record.step_runs['0.0'].done == 0b111111
    assert record.progress.failed == {}
    assert deployment.state(job.job_id) is JobState.COMPLETED
    assert len(starts_of(deployment, job)) == 7
    assert not any(worker.ends for worker in deployment.workers)


def test_a_failure_after_the_other_attempt_is_done_fails_nothing():
    deployment = deploy(two_long_runs())
    job = a_copyable_job(attempts=1)
    first, copy = copied(deployment, job)
    end_now(first, first_task_of(job))
    deployment.run(0.05)
    end_now(copy, first_task_of(job), AttemptEnd.FAILED)
    deployment.run(2)
    record = owner_record(deployment, job)
    assert record.step_runs['0.0'].done == 0b111111
    assert deployment.state(job.job_id) is JobState.COMPLETED
    assert len(starts_of(deployment, job)) == 7


def test_a_failed_copy_leaves_the_first_attempt():
    """The failure counts once for the budget, and the task does not wait."""
    deployment = deploy(two_long_runs())
    job = a_copyable_job()
    first, copy = copied(deployment, job)
    end_now(copy, first_task_of(job), AttemptEnd.FAILED)
    deployment.run(0.5)
    record = owner_record(deployment, job)
    assert [len(each) for each in record.progress.failed.values()] == [1]
    assert not first_waits(deployment, job)
    assert holders_of(deployment, first_task_of(job)) == [first]


def test_a_failed_first_attempt_leaves_its_copy():
    deployment = deploy(two_long_runs())
    job = a_copyable_job()
    first, copy = copied(deployment, job)
    end_now(first, first_task_of(job), AttemptEnd.FAILED)
    deployment.run(0.5)
    assert not first_waits(deployment, job)
    assert holders_of(deployment, first_task_of(job)) == [copy]


def test_failures_of_both_attempts_exhaust_the_budget():
    deployment = deploy(two_long_runs())
    job = a_copyable_job(attempts=2)
    for worker in copied(deployment, job):
        end_now(worker, first_task_of(job), AttemptEnd.FAILED)
    deployment.run(2)
    assert deployment.state(job.job_id) is JobState.FAILED
    assert len(starts_of(deployment, job)) == 7


def test_a_failure_that_fails_the_job_stops_the_other_attempt():
    deployment = deploy(two_long_runs())
    job = a_copyable_job(attempts=1)
    _first, copy = copied(deployment, job)
    end_now(copy, first_task_of(job), AttemptEnd.FAILED)
    deployment.run(2)
    assert deployment.state(job.job_id) is JobState.FAILED
    assert not holders_of(deployment, first_task_of(job))


def test_a_cancelled_job_stops_both_attempts():
    deployment = deploy(two_long_runs())
    job = a_copyable_job()
    copied(deployment, job)
    deployment.entries['entry-0'].core.job_api.cancel(job.job_id, 1e12)
    deployment.run(1)
    assert not holders_of(deployment, first_task_of(job))
    deployment.run(10)
    assert len(starts_of(deployment, job)) == 7


def test_a_refused_copy_leaves_the_first_attempt():
    """No worker accepts starts: copies are ordered once a second at most."""
    deployment = deploy(two_long_runs())
    job = a_copyable_job()
    deployment.submit(job)
    deployment.run(0.5)
    for worker in deployment.workers:
        worker.is_unhealthy = True
    deployment.run(5)
    task = first_task_of(job)
    record = owner_record(deployment, job)
    assert len(holders_of(deployment, task)) == 1
    assert not first_waits(deployment, job)
    assert 2 <= record.attempt_by_task[task] <= 6
    assert not record.progress.failed


def test_a_copy_whose_end_is_lost_is_not_replaced_by_a_third_attempt():
    """The agent dies before it reads the end; the next one reports it."""
    deployment = deploy(two_long_runs())
    job = a_copyable_job()
    _first, copy = copied(deployment, job)
    agent = agent_of(deployment, copy)
    deployment.kill_agent(agent)
    end_now(copy, first_task_of(job))
    deployment.run(3)
    assert not first_waits(deployment, job)
    deployment.start_agent(agent, copy)
    deployment.run(3)
    assert deployment.state(job.job_id) is JobState.COMPLETED
    assert len(starts_of(deployment, job)) == 7


def test_a_task_does_not_wait_while_the_copys_agent_is_away():
    """The first attempt fails, and the copy runs beside an absent agent."""
    deployment = deploy(two_long_runs())
    job = a_copyable_job()
    first, copy = copied(deployment, job)
    deployment.cut_off(agent_of(deployment, copy))
    end_now(first, first_task_of(job), AttemptEnd.FAILED)
    for _tenth in range(40):
        deployment.run(0.1)
        assert not first_waits(deployment, job)
    assert copy in holders_of(deployment, first_task_of(job))


def test_a_copy_on_a_lost_worker_leaves_the_first_attempt():
    deployment = deploy(FirstRunLong(is_first_task, long_ms=(60_000,) * 3))
    job = a_copyable_job()
    first, copy = copied(deployment, job)
    deployment.kill_agent(agent_of(deployment, copy))
    deployment.run(10)
    assert first in holders_of(deployment, first_task_of(job))
    assert not first_waits(deployment, job)


@pytest.mark.parametrize('cut', [True, False])
def test_a_new_owner_keeps_both_attempts(cut):
    """The owner is killed or cut off while two attempts run."""
    deployment = deploy(two_long_runs())
    job = a_copyable_job()
    workers = copied(deployment, job)
    former = deployment.owner
    if cut:
        deployment.cut_off(former)
        deployment.rows.rejected_clients.add(former)
    else:
        deployment.kill_entry(former)
    deployment.run(14)
    task = first_task_of(job)
    assert set(holders_of(deployment, task)) == set(workers)
    end_now(workers[1], task)
    deployment.run(2)
    other = next(name for name in deployment.entries if name != former)
    assert deployment.state(job.job_id, other) is JobState.COMPLETED
    assert len(starts_of(deployment, job)) == 7
    if cut:
        deployment.heal(former)
        deployment.rows.rejected_clients.discard(former)
        deployment.run(5)
        assert len(starts_of(deployment, job)) == 7


def test_a_new_owner_without_the_part_stops_the_second_attempt():
    """Settings differ for a while: the task goes on with one attempt."""
    deployment = deploy(two_long_runs())
    job = a_copyable_job()
    copied(deployment, job)
    former = deployment.owner
    restart_others_without_the_part(deployment, former)
    deployment.kill_entry(former)
    deployment.run(8)
    assert len(holders_of(deployment, first_task_of(job))) == 1
    assert len(starts_of(deployment, job)) == 7


def test_a_new_owner_copies_nothing_before_all_agents_have_reported():
    """The copy runs beside an agent that the new owner cannot reach.

    The new owner knows of one attempt only. A copy would be the third attempt.
    """
    deployment = deploy(two_long_runs())
    job = a_copyable_job()
    first, copy = copied(deployment, job)
    agent = agent_of(deployment, copy)
    former = deployment.owner
    for name in deployment.entries:
        if name != former:
            deployment.block(agent, name)
    deployment.kill_entry(former)
    run_until(deployment, lambda: owner_of(deployment, former))
    teach(deployment, owner_of(deployment, former))
    deployment.run(1)
    shard = owned_shard(deployment, former)
    assert agent in shard.unreported
    assert set(holders_of(deployment, first_task_of(job))) == {first, copy}
    assert len(starts_of_task(deployment, first_task_of(job))) == 2
    run_until(deployment, lambda: agent not in shard.unreported)
    deployment.run(3)
    assert len(starts_of_task(deployment, first_task_of(job))) == 3


def test_the_next_step_waits_until_the_end_is_durable():
    """A copy is done, its end is not stored, and the first attempt runs.

    A new owner would see the first attempt run, take the next step for not
    started, and start its tasks a second time.
    """
    deployment = deploy(two_long_runs())
    job = a_copyable_job(after=(1,))
    first, copy = copied(deployment, job)
    deployment.rows.is_down = True
    first.lose_next, first.late_s = 100, 5
    end_now(copy, first_task_of(job))
    deployment.run(0.4)
    assert first in holders_of(deployment, first_task_of(job))
    assert not starts_of_task(deployment, f'{job.job_id}.0.1.0')
    deployment.rows.is_down = False
    deployment.run(1)
    assert starts_of_task(deployment, f'{job.job_id}.0.1.0')


def test_the_next_step_starts_without_the_store_once_one_attempt_is_left():
    deployment = deploy(two_long_runs())
    job = a_copyable_job(after=(1,))
    _first, copy = copied(deployment, job)
    deployment.rows.is_down = True
    end_now(copy, first_task_of(job))
    deployment.run(1)
    assert starts_of_task(deployment, f'{job.job_id}.0.1.0')


def test_the_next_step_runs_once_when_the_owner_dies_before_the_write():
    """The next owner, without the part, sees the first attempt run.

    It takes the next step for not started. The former owner must not have
    started it, as its worker may be out of reach.
    """
    job = a_copyable_job(after=(1,))
    next_task = f'{job.job_id}.0.1.0'
    long_tasks = {first_task_of(job), next_task}
    deployment = deploy(
        FirstRunLong(long_tasks.__contains__, long_ms=(60_000, 60_000))
    )
    first, copy = copied(deployment, job)
    former = deployment.owner
    restart_others_without_the_part(deployment, former)
    deployment.rows.is_down = True
    first.lose_next, first.late_s = 100, 5
    # The next owner is to hear of the end, and not of the next step.
    copy.is_unhealthy = True
    end_now(copy, first_task_of(job))
    deployment.run(0.3)
    for worker in holders_of(deployment, next_task):
        for name in deployment.entries:
            if name != former:
                deployment.block(agent_of(deployment, worker), name)
    deployment.kill_entry(former)
    deployment.rows.is_down = False
    deployment.run(12)
    assert len(starts_of_task(deployment, next_task)) == 1


def restart_others_without_the_part(deployment, former):
    deployment.options = None
    for name in [name for name in deployment.entries if name != former]:
        deployment.kill_entry(name)
        deployment.start_entry(name)
    deployment.run(3)


def test_a_new_owner_starts_no_task_whose_copy_may_run_out_of_reach():
    """It sees one attempt fail; the copy runs beside an unreachable agent."""
    deployment = deploy(two_long_runs())
    job = a_copyable_job()
    task = first_task_of(job)
    first, copy = copied(deployment, job)
    agent = agent_of(deployment, copy)
    former = deployment.owner
    for name in deployment.entries:
        if name != former:
            deployment.block(agent, name)
    deployment.kill_entry(former)
    run_until(deployment, lambda: owner_of(deployment, former))
    deployment.run(1)
    end_now(first, task, AttemptEnd.FAILED)
    deployment.run(1)
    assert agent in owned_shard(deployment, former).unreported
    assert len(starts_of_task(deployment, task)) == 2
    run_until(deployment, lambda: len(starts_of_task(deployment, task)) == 3)


def test_a_third_attempt_that_a_worker_shows_is_stopped():
    deployment = deploy(two_long_runs())
    job = a_copyable_job()
    workers = copied(deployment, job)
    task = first_task_of(job)
    third = show_run(deployment, task, workers)
    deployment.run(1.5)
    assert task not in third.runs
    assert set(holders_of(deployment, task)) == set(workers)


def test_a_second_attempt_of_another_task_is_stopped_as_before():
    deployment = deploy(two_long_runs())
    job = a_copyable_job(may_copy=False)
    deployment.submit(job)
    deployment.run(2)
    task = first_task_of(job)
    workers = holders_of(deployment, task)
    second = show_run(deployment, task, workers)
    deployment.run(1.5)
    assert task not in second.runs
    assert holders_of(deployment, task) == workers


def show_run(deployment, task, busy):
    """Let a worker list a run that no owner knows of, and return it."""
    worker = next(each for each in deployment.workers if each not in busy)
    ends_at = deployment.reactor.seconds() + 60
    worker.runs[task] = Run(task, 1, ends_at, '', work_s=60)
    return worker


def test_a_suspect_is_not_copied():
    """A task that may have crashed a worker would crash a second one."""
    deployment = deploy(
        FirstRunLong(is_first_task, usual_ms=310, long_ms=(60_000, 60_000))
    )
    job = a_copyable_job()
    deployment.submit(job)
    deployment.run(0.3)
    record = owner_record(deployment, job)
    key = record.budget_key(next(iter(job.tasks(0, 0))))
    record.crashes.add(key, Crash('agent-9', 9, CrashCause.SHARED))
    deployment.run(0.7)
    assert len(starts_of(deployment, job)) == 6
    run_until_copied(deployment, first_task_of(job))


def test_nothing_is_copied_while_a_task_waits_for_a_worker():
    deployment = deploy(two_long_runs())
    deployment.submit(a_copyable_job(number=2, tasks=1, label='none'))
    job = a_copyable_job()
    deployment.submit(job)
    deployment.run(8)
    assert len(starts_of(deployment, job)) == 6


def test_copies_stay_within_their_share_of_the_running_cores():
    """Half of the tasks are outliers, and a copy at a time may run."""
    deployment = deploy(
        FirstRunLong(lambda task: True, long_ms=(1000,)),
        workers=8,
        options=OPTIONS,
    )
    is_long = {f'.{index}' for index in range(0, 20, 2)}
    work_ms = FirstRunLong(
        lambda task: task[task.rindex('.') :] in is_long,
        long_ms=(60_000, 60_000),
    )
    for worker in deployment.workers:
        worker.work_ms = work_ms
    job = a_copyable_job(tasks=20)
    deployment.submit(job)
    deployment.run(8)
    counts = [len(each) for each in deployment.run_recorder.running.values()]
    assert counts.count(2) == 1


def test_a_copy_that_is_ordered_late_counts_no_end_twice():
    """The copy starts after the first attempt is done and recorded."""
    deployment = deploy(two_long_runs())
    job = a_copyable_job()
    deployment.submit(job)
    deployment.run(0.5)
    task = first_task_of(job)
    (first,) = holders_of(deployment, task)
    for worker in deployment.workers:
        worker.lose_next, worker.late_s = 1, 1.5
    run_until(
        deployment,
        lambda: owner_record(deployment, job).attempt_by_task[task] == 2,
    )
    end_now(first, task)
    deployment.run(6)
    assert deployment.state(job.job_id) is JobState.COMPLETED
    assert not holders_of(deployment, task)


def test_a_copy_runs_on_another_worker():
    """On the same worker it would replace the attempt that runs."""
    deployment = deploy(workers=1)
    job = a_copyable_job()
    deployment.submit(job)
    deployment.run(5)
    task = first_task_of(job)
    assert owner_record(deployment, job).attempt_by_task[task] == 1


@pytest.mark.parametrize('pace, starts', [(50, 6), (100, 7)])
def test_a_throttled_task_is_not_copied(pace, starts):
    """It is slow because its agent slows it beside keepers."""
    deployment = deploy(two_long_runs())
    for agent in deployment.agents.values():
        agent.core._pacer.tick = lambda attempts: None
    job = a_copyable_job(fills=True)
    deployment.submit(job)
    deployment.run(0.2)
    for agent in deployment.agents.values():
        for attempt in agent.core.table.by_task.values():
            attempt.pace = pace
    deployment.run(8)
    assert len(starts_of(deployment, job)) == starts
