"""Tasks whose start crashes the worker, in virtual time.

The stand-in workers also assert that no such task starts a third time after
three workers have crashed under it.
"""

import random

import pytest

from hyssopring.jobs.model import JobState
from standins.jobs.deployment import Deployment, a_job, settled, starts_of

WORKERS = 6
CRASHING = 1
OTHER = 2
WORK_MS = 1500
MAX_STARTS = 5
LONG_MS = 20_000
KEEPER_MS = 1e9
LATE_KILL_S = 1.5


def crashing(workers=WORKERS, kills=None, **options):
    """Return a deployment where some tasks of the first job crash workers."""
    options.setdefault('work_ms', lambda task: WORK_MS)
    deployment = settled(Deployment(workers=workers, **options))
    for worker in deployment.workers:
        worker.kills = kills or is_first
    return deployment


def submitted(**options):
    """Return such a deployment, and the first job, submitted to it."""
    deployment = crashing(**options)
    job = a_job(CRASHING)
    deployment.submit(job)
    return deployment, job


def is_crashing(task):
    return task.startswith(f'{CRASHING:016x}.')


def is_first(task):
    return is_crashing(task) and task.endswith('.0')


def starts_of_first(deployment):
    return [row for row in deployment.run_recorder.starts if is_first(row[2])]


def crash_count(deployment):
    return sum(map(len, deployment.run_recorder.kills.values()))


def run_until_crashes(deployment, count):
    """Run until this many workers have crashed under the first task."""
    for _attempt in range(6000):
        if crash_count(deployment) >= count:
            return
        deployment.run(0.01)
    raise AssertionError('the task crashes no more workers')


def state_of(deployment, job):
    return deployment.state(job.job_id, deployment.owner)


def assert_failed(deployment, job):
    assert state_of(deployment, job) is JobState.FAILED
    assert len(starts_of_first(deployment)) <= MAX_STARTS


def test_job_fails_if_its_task_crashes_workers():
    """Guards against endless starts of a task that crashes workers."""
    deployment = crashing()
    job, other = a_job(CRASHING), a_job(OTHER, steps=((12, ()),))
    deployment.submit(job)
    deployment.submit(other)
    deployment.run(40)
    assert_failed(deployment, job)
    assert deployment.state(other.job_id) is JobState.COMPLETED
    assert len(starts_of_first(deployment)) >= 3


def test_job_fails_if_its_task_crashes_workers_after_its_start():
    """Guards against endless starts of a task whose crashes come late."""
    deployment = crashing(work_ms=lambda task: LONG_MS)
    for worker in deployment.workers:
        worker.kill_s = LATE_KILL_S
    job = a_job(CRASHING)
    deployment.submit(job)
    deployment.run(60)
    assert_failed(deployment, job)


@pytest.mark.parametrize('seed', range(6))
def test_no_other_job_fails_however_often_workers_are_lost(seed):
    """Guards against failing jobs that merely ran on crashed workers."""
    random_source = random.Random(seed)
    work_ms_by_task = {}
    deployment = settled(
        Deployment(
            workers=8,
            work_ms=lambda task: work_ms_by_task.setdefault(
                task, random_source.choice([200, 800, 2500])
            ),
        )
    )
    jobs = []
    for number in range(1, 31):
        jobs.append(a_job(number, steps=((6, ()),)))
        deployment.submit(jobs[-1])
        deployment.run(random_source.uniform(0.1, 1.2))
        if random_source.random() < 0.6:
            count = random_source.choice([1, 1, 2, 3, 4])
            for worker in random_source.sample(deployment.workers, count):
                worker.go_down(random_source.uniform(1, 4))
    deployment.run(40)
    states = {state_of(deployment, job) for job in jobs}
    assert states == {JobState.COMPLETED}


def test_repeated_crashes_of_half_of_the_workers_fail_no_job():
    """Guards against waves of crashes that hit tasks which just started."""
    deployment = settled(Deployment(workers=8, work_ms=lambda task: 20_000))
    job = a_job(steps=((40, ()),))
    deployment.submit(job)
    for _wave in range(6):
        deployment.run(0.3)
        for worker in deployment.workers[:4]:
            worker.go_down(1)
        deployment.run(2.7)
    deployment.run(60)
    assert state_of(deployment, job) is JobState.COMPLETED


def test_crash_count_survives_two_takeovers_in_a_row():
    """Guards against a count of crashes that is lost with the owner."""
    deployment, job = submitted()
    for count in (2, 3):
        run_until_crashes(deployment, count)
        name = deployment.owner
        deployment.kill_entry(name)
        deployment.reactor.callLater(2, deployment.start_entry, name)
        deployment.run(12)
    deployment.run(30)
    assert_failed(deployment, job)


def test_crash_count_survives_a_restart_of_all_entries():
    """Guards against a count that is kept only in the entries' memory."""
    deployment, job = submitted()
    run_until_crashes(deployment, 2)
    deployment.run(4)
    for name in deployment.entries:
        deployment.kill_entry(name)
        deployment.reactor.callLater(2, deployment.start_entry, name)
    deployment.run(60)
    assert_failed(deployment, job)


def test_crashes_are_counted_while_the_store_is_unavailable():
    """Guards against endless starts while no count can be stored."""
    deployment, job = submitted()
    run_until_crashes(deployment, 1)
    deployment.rows.is_down = True
    deployment.run(8)
    deployment.rows.is_down = False
    deployment.run(30)
    assert_failed(deployment, job)


def test_crash_together_with_the_agent_is_not_counted():
    """Guards against attributing a loss of power to a task."""
    deployment = settled(Deployment(workers=4, work_ms=lambda task: 9000))
    job = a_job(steps=((4, ()),))
    deployment.submit(job)
    for _attempt in range(5):
        deployment.run(1)
        for name in ('agent-0', 'agent-1'):
            worker = deployment.agents[name].worker
            deployment.kill_agent(name)
            worker.go_down(2)
            deployment.reactor.callLater(
                2, deployment.start_agent, name, worker
            )
        deployment.run(9)
    deployment.run(40)
    assert state_of(deployment, job) is JobState.COMPLETED


def test_job_fails_although_an_agent_is_lost_after_a_crash():
    """Guards against endless starts after the loss of one report."""
    deployment, job = submitted()
    run_until_crashes(deployment, 2)
    number = next(
        number
        for number, worker in enumerate(deployment.workers)
        if worker.is_down
    )
    name = f'agent-{number}'
    deployment.kill_agent(name)
    deployment.start_agent(name, deployment.workers[number])
    deployment.run(60)
    assert_failed(deployment, job)


def test_job_fails_if_all_tasks_of_a_step_crash_workers():
    """Guards against simultaneous crashes taken for a common cause."""
    deployment = crashing(workers=11, kills=is_crashing)
    job = a_job(CRASHING, steps=((6, ()),))
    deployment.submit(job)
    deployment.run(60)
    assert state_of(deployment, job) is JobState.FAILED


def test_job_fails_if_a_member_of_its_gang_crashes_workers():
    """Guards against endless starts of a gang because of one member."""
    deployment = crashing(work_ms=lambda task: LONG_MS)
    job = a_job(CRASHING, steps=((3, ()),), is_gang=True)
    deployment.submit(job)
    deployment.run(60)
    assert_failed(deployment, job)


def test_job_fails_if_its_keeper_crashes_workers():
    """Guards against a keeper that ends all other tasks again and again."""
    deployment = crashing(work_ms=lambda task: KEEPER_MS)
    job = a_job(CRASHING, steps=((2, ()),), is_keeper=True)
    deployment.submit(job)
    deployment.run(60)
    assert_failed(deployment, job)


def test_job_fails_if_there_is_only_one_worker():
    """Guards against a proof that needs a second worker."""
    deployment, job = submitted(workers=1)
    deployment.run(60)
    assert_failed(deployment, job)


def test_suspect_is_not_tried_beside_keepers():
    """Guards against trials that crash workers with keepers."""
    deployment = crashing(work_ms=work_of_keepers)
    keepers = a_job(OTHER, steps=((4, ()),), is_keeper=True)
    deployment.submit(keepers)
    deployment.run(2)
    job = a_job(CRASHING)
    deployment.submit(job)
    run_until_crashes(deployment, 1)
    before = crash_losses(deployment, keepers)
    deployment.run(40)
    assert_failed(deployment, job)
    assert crash_losses(deployment, keepers) == before


def crash_losses(deployment, job):
    return sum(
        end[1].startswith(job.job_id) and end[3] == 'crash'
        for end in deployment.run_recorder.ends
    )


def work_of_keepers(task):
    return WORK_MS if is_crashing(task) else KEEPER_MS


def test_crash_suspects_no_task_that_has_run_for_a_second():
    """Guards against a trial of each task that ran on a crashed worker."""
    deployment = settled(Deployment(workers=2, work_ms=lambda task: 5000))
    job = a_job(steps=((4, ()),))
    deployment.submit(job)
    deployment.run(2)
    deployment.workers[0].go_down(1)
    deployment.run(20)
    owner = deployment.entries[deployment.owner]
    record = owner.core.owner.shards.record_of(job.job_id)
    assert record.state is JobState.COMPLETED
    assert not record.progress.failed


def test_step_after_a_crashing_one_never_starts():
    """Guards against a step that starts when the step before it fails."""
    deployment = crashing()
    job = a_job(CRASHING, steps=((2, ()), (2, (0,))))
    deployment.submit(job)
    deployment.run(40)
    assert_failed(deployment, job)
    assert not [row for row in starts_of(deployment, job) if '.0.1.' in row[2]]
