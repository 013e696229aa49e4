"""Queues whose steps may run on some workers only, and a service knows which.

The stand-in workers turn a start down whose ticket is missing, void, for
another step or for another life; each such start is counted.
"""

from dataclasses import replace

import pytest

from hyssopring.jobs.model import AdviceTiming, JobState, Schedule, Size
from standins.jobs.deployment import WALL_MS, a_job, settled, starts_of

ADVICE = AdviceTiming(50, 5, 3000)


def advised_job(number=1, **changes):
    """A job of a queue with advice."""
    job = a_job(number, **changes)
    return replace(job, queue=replace(job.queue, advice=ADVICE))


def only(*names):
    """Let only these workers run anything."""
    return lambda step, worker: worker in names


def places_of(deployment, job):
    return {row[1] for row in starts_of(deployment, job)}


def asked_since(deployment, since, step=''):
    return [
        row
        for row in deployment.advice.questions
        if row[0] >= since and row[2].step.startswith(step)
    ]


def test_tasks_start_only_where_they_may_and_no_start_is_turned_down():
    deployment = settled(workers=6)
    deployment.advice.allows = only('worker-2', 'worker-4')
    job = advised_job(steps=((6, ()), (4, (0,))))
    outcomes = deployment.submit(job)
    deployment.run(6)
    assert outcomes[0].is_ok()
    assert deployment.state(job.job_id) is JobState.COMPLETED
    assert places_of(deployment, job) <= {'worker-2', 'worker-4'}
    assert not deployment.advice.rejected_starts


def test_a_queue_without_advice_asks_nothing_and_orders_without_tickets():
    deployment = settled()
    job = a_job()
    deployment.submit(job)
    deployment.run(3)
    assert deployment.state(job.job_id) is JobState.COMPLETED
    assert not deployment.advice.questions


def test_a_step_is_asked_for_at_once_and_once_for_all_its_tasks():
    deployment = settled(workers=4)
    handed_in = deployment.reactor.seconds()
    job = advised_job(steps=((8, ()),))
    deployment.submit(job)
    deployment.run(1)
    assert len(deployment.advice.questions) == 1
    assert deployment.advice.questions[0][2].step == f'{job.job_id}.0.0'
    assert deployment.advice.questions[0][0] - handed_in < 0.1
    assert min(row[0] for row in starts_of(deployment, job)) - handed_in < 0.2


def test_a_later_step_is_asked_for_before_its_turn():
    """Its first start comes as soon after the step before as without advice."""
    deployment = settled(work_ms=lambda task: 2000)
    job = advised_job(steps=((2, ()), (2, (0,))))
    deployment.submit(job)
    deployment.run(6)
    second = f'{job.job_id}.0.1'
    asked_at = asked_since(deployment, 0, second)[0][0]
    first_ends = [end[0] for end in deployment.book.ends if '.0.0.' in end[1]]
    starts = [row[0] for row in starts_of(deployment, job) if second in row[2]]
    assert asked_at < min(first_ends)
    assert min(starts) - max(first_ends) < 0.1
    assert not deployment.advice.rejected_starts


def test_one_question_at_a_time_and_only_of_the_owner():
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


def test_the_most_urgent_step_is_asked_for_first():
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


def test_few_are_asked_first_and_steps_ask_for_different_ones():
    """Fifty workers with room: each step names a few, not the same few."""
    deployment = settled(workers=50)
    deployment.advice.decision_ms = 10
    for number in range(1, 7):
        deployment.submit(advised_job(number, steps=((1, ()),)))
    deployment.run(3)
    first = {}
    for _time, _asker, question in deployment.advice.questions:
        first.setdefault(question.step, set(question.boots))
    assert len(first) == 6
    assert all(len(boots) <= 8 for boots in first.values())
    assert len(set().union(*first.values())) > 12


@pytest.mark.parametrize('fault', ['refuses', 'is_silent'])
def test_the_service_is_away_for_seconds_and_comes_back(fault):
    """Nothing starts meanwhile, the questions are few, then all goes on."""
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


def test_a_service_that_turns_questions_away_is_asked_less_and_less():
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


def test_a_service_slower_than_it_should_be_is_still_waited_for():
    deployment = settled()
    deployment.advice.late_s = 0.5
    job = advised_job()
    deployment.submit(job)
    deployment.run(5)
    assert deployment.state(job.job_id) is JobState.COMPLETED
    assert not deployment.advice.rejected_starts


def test_an_answer_that_comes_too_late_is_no_answer():
    """Its question is given up; the next one starts the job."""
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


def test_the_next_owner_asks_anew():
    """Tickets are kept by the owner only, and lost with it."""
    deployment = settled(work_ms=lambda task: 1500)
    first = deployment.owner
    deployment.advice.allows = only('worker-1')
    job = advised_job(steps=((20, ()), (2, (0,))))
    deployment.submit(
        job, next(each for each in deployment.entries if each != first)
    )
    deployment.run(1)
    deployment.kill_entry(first)
    killed_at = deployment.reactor.seconds()
    deployment.run(25)
    assert deployment.owner != first
    askers = {row[1] for row in asked_since(deployment, killed_at)}
    assert askers == {deployment.owner}
    alive = deployment.owner
    assert deployment.state(job.job_id, alive) is JobState.COMPLETED
    assert places_of(deployment, job) == {'worker-1'}
    assert not deployment.advice.rejected_starts


def test_a_worker_s_new_life_is_asked_for_anew():
    """A ticket is for one life: the next one's starts need another."""
    deployment = settled(workers=1)
    job = advised_job(steps=((3, ()),))
    keeps = advised_job(2, steps=((1, ()),), is_keeper=True)
    deployment.submit(job)
    deployment.submit(keeps)
    deployment.run(0.6)
    deployment.workers[0].crash()
    deployment.run(25)
    assert deployment.state(job.job_id) is JobState.COMPLETED
    assert len(starts_of(deployment, keeps)) >= 2
    boots = {
        boot for row in deployment.advice.questions for boot in row[2].boots
    }
    assert boots == {'worker-0-1', 'worker-0-2'}
    assert not deployment.advice.rejected_starts


def test_an_answer_that_names_a_former_life_changes_nothing():
    deployment = settled(workers=2)
    deployment.workers[0].crash()
    deployment.run(3)
    deployment.advice.names_former = True
    job = advised_job()
    deployment.submit(job)
    deployment.run(5)
    assert deployment.state(job.job_id) is JobState.COMPLETED
    assert not deployment.advice.rejected_starts


def test_tickets_that_run_out_while_tasks_wait_are_renewed():
    """Two tasks at a time go on one worker; the tickets last 3 s."""
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


def test_a_ticket_that_is_not_taken_is_dropped_and_no_busy_loop_follows():
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


def test_a_step_that_one_of_many_workers_may_run_finds_it():
    deployment = settled(workers=40)
    deployment.advice.allows = only('worker-33')
    job = advised_job(steps=((2, ()),))
    deployment.submit(job)
    deployment.run(5)
    assert deployment.state(job.job_id) is JobState.COMPLETED
    assert places_of(deployment, job) == {'worker-33'}
    assert len(deployment.advice.questions) <= 6


def test_a_step_that_no_worker_may_run_waits_and_holds_nobody_up():
    deployment = settled(workers=10)
    hopeless, other = advised_job(1), advised_job(2)
    service = deployment.advice
    service.allows = lambda step, worker: not step.startswith(hopeless.job_id)
    deployment.submit(hopeless)
    deployment.submit(other)
    deployment.run(5)
    asked = len(service.questions)
    deployment.run(20)
    assert len(service.questions) == asked
    assert deployment.state(other.job_id) is JobState.COMPLETED
    assert deployment.state(hopeless.job_id) is JobState.QUEUED
    service.allows = lambda step, worker: True
    deployment.add_vm('new')
    deployment.run(6)
    assert deployment.state(hopeless.job_id) is JobState.COMPLETED
    assert places_of(deployment, hopeless) == {'worker-new'}


def test_a_gang_starts_only_when_enough_workers_are_known_to_do():
    """Four members of four cores and one a worker: all four or none."""
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
    assert len(places_of(deployment, job)) == 4
    assert not deployment.advice.rejected_starts


def test_a_gang_that_too_few_workers_may_run_does_not_start():
    deployment = settled(workers=6)
    deployment.advice.allows = only('worker-1', 'worker-5')
    job = advised_job(steps=((4, ()),), is_gang=True, max_per_worker=1)
    deployment.submit(job)
    deployment.run(8)
    assert not starts_of(deployment, job)
    asked = {
        boot for row in deployment.advice.questions for boot in row[2].boots
    }
    assert len(asked) == 6


def test_each_occurrence_is_asked_for_under_its_own_name():
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


def test_a_cancelled_job_s_step_is_not_asked_for_any_more():
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


def test_keepers_apart_from_each_other_get_further_workers():
    """Approved workers that hold as many as they may do not count.

    The tickets last for a minute: those of the seven others must not keep the
    owner from asking for the eighth worker's new life.
    """
    deployment = settled(workers=8, work_ms=lambda task: 60_000)
    deployment.advice.valid_ms = 60_000
    job = a_job(steps=((8, ()),), is_keeper=True, max_per_worker=1)
    lasting = replace(ADVICE, valid_ms=60_000)
    job = replace(job, queue=replace(job.queue, advice=lasting))
    deployment.submit(job)
    deployment.run(4)
    assert len(places_of(deployment, job)) == 8
    deployment.workers[3].crash()
    deployment.run(16)
    assert all(len(worker.runs) == 1 for worker in deployment.workers)
    assert not deployment.advice.rejected_starts
