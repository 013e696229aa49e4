"""Queues whose steps may only run on workers that a service approves.

The stand-in workers reject starts whose ticket is missing, void, for another
step or for another incarnation; each such start is counted.
"""

from dataclasses import replace

import pytest

from hyssopring.jobs.model import AdviceTiming, JobState, Schedule, Size
from standins.jobs.deployment import WALL_MS, a_job, settled, starts_of

TIMING = AdviceTiming(50, 5, 3000)


def advised_job(number=1, **changes):
    """Return a job of a queue that needs approval."""
    job = a_job(number, **changes)
    return replace(job, queue=replace(job.queue, advice=TIMING))


def only(*names):
    """Approve only these workers, for any step."""
    return lambda step, worker: worker in names


def workers_of(deployment, job):
    return {row[1] for row in starts_of(deployment, job)}


def queries_since(deployment, since, step=''):
    return [
        row
        for row in deployment.advice.questions
        if row[0] >= since and row[2].step.startswith(step)
    ]


def test_tasks_start_only_on_approved_workers_and_no_start_is_rejected():
    deployment = settled(workers=6)
    deployment.advice.allows = only('worker-2', 'worker-4')
    job = advised_job(steps=((6, ()), (4, (0,))))
    outcomes = deployment.submit(job)
    deployment.run(6)
    assert outcomes[0].is_ok()
    assert deployment.state(job.job_id) is JobState.COMPLETED
    assert workers_of(deployment, job) <= {'worker-2', 'worker-4'}
    assert not deployment.advice.rejected_starts


def test_queue_without_advice_sends_no_queries_and_needs_no_tickets():
    deployment = settled()
    job = a_job()
    deployment.submit(job)
    deployment.run(3)
    assert deployment.state(job.job_id) is JobState.COMPLETED
    assert not deployment.advice.questions


def test_step_is_queried_at_once_and_once_for_all_its_tasks():
    deployment = settled(workers=4)
    submitted_at = deployment.reactor.seconds()
    job = advised_job(steps=((8, ()),))
    deployment.submit(job)
    deployment.run(1)
    assert len(deployment.advice.questions) == 1
    assert deployment.advice.questions[0][2].step == f'{job.job_id}.0.0'
    assert deployment.advice.questions[0][0] - submitted_at < 0.1
    assert (
        min(row[0] for row in starts_of(deployment, job)) - submitted_at < 0.2
    )


def test_later_step_is_queried_before_it_is_ready():
    """Guards against a query that delays the first start of a later step."""
    deployment = settled(work_ms=lambda task: 2000)
    job = advised_job(steps=((2, ()), (2, (0,))))
    deployment.submit(job)
    deployment.run(6)
    second = f'{job.job_id}.0.1'
    asked_at = queries_since(deployment, 0, second)[0][0]
    first_ends = [
        end[0] for end in deployment.run_recorder.ends if '.0.0.' in end[1]
    ]
    starts = [row[0] for row in starts_of(deployment, job) if second in row[2]]
    assert asked_at < min(first_ends)
    assert min(starts) - max(first_ends) < 0.1
    assert not deployment.advice.rejected_starts


def test_only_the_owner_sends_queries_and_one_at_a_time():
    deployment = settled(workers=8)
    owner = deployment.owner
    deployment.advice.decision_ms = 200
    for number in range(1, 11):
        deployment.submit(advised_job(number))
    deployment.run(12)
    assert deployment.advice.most_at_once == 1
    assert {row[1] for row in deployment.advice.questions} == {owner}
    assert all(
        deployment.state(f'{number:016x}') is JobState.COMPLETED
        for number in range(1, 11)
    )


def test_most_urgent_step_is_queried_first():
    deployment = settled()
    deployment.advice.decision_ms = 500
    jobs = [advised_job(number) for number in (1, 2, 3)]
    jobs[2] = replace(
        jobs[2], queue=replace(jobs[2].queue, name='first', priority=0)
    )
    for job in jobs[:2]:
        lower = replace(job, queue=replace(job.queue, priority=2))
        deployment.submit(lower)
    deployment.run(0.05)
    deployment.submit(jobs[2])
    deployment.run(2)
    steps = [row[2].step for row in deployment.advice.questions]
    assert steps.index(f'{jobs[2].job_id}.0.0') == 1


def test_first_queries_name_few_workers_and_different_ones_per_step():
    """Guards against queries of all steps for the same few of fifty workers."""
    deployment = settled(workers=50)
    deployment.advice.decision_ms = 10
    for number in range(1, 7):
        deployment.submit(advised_job(number, steps=((1, ()),)))
    deployment.run(3)
    first_boots_by_step = {}
    for _time, _asker, query in deployment.advice.questions:
        first_boots_by_step.setdefault(query.step, set(query.boots))
    assert len(first_boots_by_step) == 6
    assert all(len(boots) <= 8 for boots in first_boots_by_step.values())
    assert len(set().union(*first_boots_by_step.values())) > 12


@pytest.mark.parametrize('fault', ['refuses', 'is_silent'])
def test_service_is_unavailable_for_seconds(fault):
    """Guards against frequent queries meanwhile, and against none later."""
    deployment = settled()
    setattr(deployment.advice, fault, 503 if fault == 'refuses' else True)
    job = advised_job()
    other = a_job(2)
    deployment.submit(job)
    deployment.submit(other)
    deployment.run(6)
    assert deployment.state(other.job_id) is JobState.COMPLETED
    assert not starts_of(deployment, job)
    service = deployment.advice
    assert 3 <= len(service.refused) + len(service.questions) <= 12
    setattr(deployment.advice, fault, 0)
    deployment.run(6)
    assert deployment.state(job.job_id) is JobState.COMPLETED


def test_queries_that_are_refused_are_repeated_with_backoff():
    deployment = settled()
    deployment.advice.refuses = 429
    job = advised_job()
    deployment.submit(job)
    deployment.run(20)
    times = [row[0] for row in deployment.advice.refused]
    assert len(times) < 20
    assert times[-1] - times[-2] > 1.5
    deployment.advice.refuses = 0
    deployment.run(6)
    assert deployment.state(job.job_id) is JobState.COMPLETED


def test_answer_within_the_timeout_is_used():
    deployment = settled()
    deployment.advice.late_s = 0.5
    job = advised_job()
    deployment.submit(job)
    deployment.run(5)
    assert deployment.state(job.job_id) is JobState.COMPLETED
    assert not deployment.advice.rejected_starts


def test_answer_after_the_timeout_is_ignored():
    """Guards against waiting for a query that has timed out."""
    deployment = settled()
    deployment.advice.late_s = 2.5
    job = advised_job()
    deployment.submit(job)
    deployment.run(3)
    assert not starts_of(deployment, job)
    deployment.advice.late_s = 0
    deployment.run(8)
    assert deployment.state(job.job_id) is JobState.COMPLETED
    assert not deployment.advice.rejected_starts


def test_next_owner_queries_again():
    """Guards against a next owner that starts nothing for lack of tickets."""
    deployment = settled(work_ms=lambda task: 1500)
    first_owner = deployment.owner
    deployment.advice.allows = only('worker-1')
    job = advised_job(steps=((20, ()), (2, (0,))))
    deployment.submit(
        job, next(entry for entry in deployment.entries if entry != first_owner)
    )
    deployment.run(1)
    deployment.kill_entry(first_owner)
    killed_at = deployment.reactor.seconds()
    deployment.run(25)
    assert deployment.owner != first_owner
    askers = {row[1] for row in queries_since(deployment, killed_at)}
    assert askers == {deployment.owner}
    next_owner = deployment.owner
    assert deployment.state(job.job_id, next_owner) is JobState.COMPLETED
    assert workers_of(deployment, job) == {'worker-1'}
    assert not deployment.advice.rejected_starts


def test_new_incarnation_of_a_worker_is_queried_again():
    """Guards against using a ticket for another incarnation."""
    deployment = settled(workers=1)
    job = advised_job(steps=((3, ()),))
    keeper = advised_job(2, steps=((1, ()),), is_keeper=True)
    deployment.submit(job)
    deployment.submit(keeper)
    deployment.run(0.6)
    deployment.workers[0].crash()
    deployment.run(25)
    assert deployment.state(job.job_id) is JobState.COMPLETED
    assert len(starts_of(deployment, keeper)) >= 2
    boots = {
        boot for row in deployment.advice.questions for boot in row[2].boots
    }
    assert boots == {'worker-0-1', 'worker-0-2'}
    assert not deployment.advice.rejected_starts


def test_answer_that_names_a_former_incarnation_is_ignored():
    deployment = settled(workers=2)
    deployment.workers[0].crash()
    deployment.run(3)
    deployment.advice.names_former = True
    job = advised_job()
    deployment.submit(job)
    deployment.run(5)
    assert deployment.state(job.job_id) is JobState.COMPLETED
    assert not deployment.advice.rejected_starts


def test_tickets_that_expire_while_tasks_wait_are_renewed():
    """The worker has capacity for two tasks; the tickets are valid for 3 s."""
    deployment = settled(workers=1, work_ms=lambda task: 2000)
    deployment.workers[0].room = Size(2000, 64_000, 0)
    deployment.run(3)
    job = advised_job(steps=((10, ()),))
    deployment.submit(job)
    deployment.run(14)
    assert deployment.state(job.job_id) is JobState.COMPLETED
    assert not deployment.advice.rejected_starts
    times = [row[0] for row in deployment.advice.questions]
    assert 3 <= len(times) <= 8
    starts = sorted({round(row[0], 1) for row in starts_of(deployment, job)})
    assert starts[-1] - starts[0] < 8.6


def test_rejected_ticket_is_dropped_and_queried_again_with_backoff():
    deployment = settled(workers=2)
    deployment.advice.voids = True
    job = advised_job()
    deployment.submit(job)
    deployment.run(10)
    assert not starts_of(deployment, job)
    assert 4 <= len(deployment.advice.rejected_starts) <= 60
    assert len(deployment.advice.questions) <= 20
    times_by_ticket = {}
    for time, _task, _boot, ticket in deployment.advice.rejected_starts:
        times_by_ticket.setdefault(ticket, []).append(time)
    assert all(
        max(times) - min(times) < 0.1 for times in times_by_ticket.values()
    )
    deployment.advice.voids = False
    deployment.run(16)
    assert deployment.state(job.job_id) is JobState.COMPLETED


def test_the_only_approved_worker_of_many_is_found():
    deployment = settled(workers=40)
    deployment.advice.allows = only('worker-33')
    job = advised_job(steps=((2, ()),))
    deployment.submit(job)
    deployment.run(5)
    assert deployment.state(job.job_id) is JobState.COMPLETED
    assert workers_of(deployment, job) == {'worker-33'}
    assert len(deployment.advice.questions) <= 6


def test_step_without_approved_worker_waits_and_delays_no_other():
    deployment = settled(workers=10)
    unapproved, other = advised_job(1), advised_job(2)
    service = deployment.advice
    service.allows = lambda step, worker: not step.startswith(unapproved.job_id)
    deployment.submit(unapproved)
    deployment.submit(other)
    deployment.run(5)
    query_count = len(service.questions)
    deployment.run(20)
    assert len(service.questions) == query_count
    assert deployment.state(other.job_id) is JobState.COMPLETED
    assert deployment.state(unapproved.job_id) is JobState.QUEUED
    service.allows = lambda step, worker: True
    deployment.add_vm('new')
    deployment.run(6)
    assert deployment.state(unapproved.job_id) is JobState.COMPLETED
    assert workers_of(deployment, unapproved) == {'worker-new'}


def test_gang_starts_only_when_enough_workers_are_approved():
    """Four members run on one worker each: all four or none."""
    deployment = settled(workers=12)
    deployment.advice.allows = only(
        'worker-1', 'worker-5', 'worker-8', 'worker-11'
    )
    job = advised_job(steps=((4, ()),), is_gang=True, max_per_worker=1)
    deployment.submit(job)
    deployment.run(6)
    starts = starts_of(deployment, job)
    assert len(starts) == 4
    assert len({row[3] for row in starts}) == 1
    assert max(row[0] for row in starts) - min(row[0] for row in starts) < 0.1
    assert len(workers_of(deployment, job)) == 4
    assert not deployment.advice.rejected_starts


def test_gang_with_too_few_approved_workers_does_not_start():
    deployment = settled(workers=6)
    deployment.advice.allows = only('worker-1', 'worker-5')
    job = advised_job(steps=((4, ()),), is_gang=True, max_per_worker=1)
    deployment.submit(job)
    deployment.run(8)
    assert not starts_of(deployment, job)
    queried = {
        boot for row in deployment.advice.questions for boot in row[2].boots
    }
    assert len(queried) == 6


def test_each_occurrence_is_queried_under_its_own_name():
    deployment = settled()
    job = replace(
        advised_job(steps=((1, ()),)),
        schedule=Schedule(WALL_MS + 4000, 2000, 2),
    )
    deployment.submit(job)
    deployment.run(8)
    assert deployment.state(job.job_id) is JobState.COMPLETED
    steps = {row[2].step for row in deployment.advice.questions}
    assert steps == {f'{job.job_id}.0.0', f'{job.job_id}.1.0'}


def test_step_of_a_cancelled_job_is_not_queried():
    deployment = settled()
    deployment.advice.decision_ms = 800
    job = advised_job()
    deployment.submit(job)
    deployment.run(0.3)
    deployment.entries['entry-0'].core.job_api.cancel(
        job.job_id, deployment.wall_ms()
    )
    deployment.run(4)
    assert not starts_of(deployment, job)
    assert len(deployment.advice.questions) == 1


def test_approved_workers_at_their_limit_do_not_count():
    """Guards against valid tickets that cannot be used preventing a query.

    The tickets are valid for a minute. Seven workers are approved and have
    reached the limit; the eighth worker's new incarnation has to be queried.
    """
    deployment = settled(workers=8, work_ms=lambda task: 60_000)
    deployment.advice.valid_ms = 60_000
    job = a_job(steps=((8, ()),), is_keeper=True, max_per_worker=1)
    timing = replace(TIMING, valid_ms=60_000)
    job = replace(job, queue=replace(job.queue, advice=timing))
    deployment.submit(job)
    deployment.run(4)
    assert len(workers_of(deployment, job)) == 8
    deployment.workers[3].crash()
    deployment.run(16)
    assert all(len(worker.runs) == 1 for worker in deployment.workers)
    assert not deployment.advice.rejected_starts
