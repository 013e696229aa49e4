"""Keepers, beside trials of tasks that were starting when a worker crashed.

``LastingRule``: each task has to run again nine seconds after its last run, if
there was no fault in the last seven.
"""

import pytest

from hyssopring.jobs.model import AttemptEnd, Size
from standins.jobs.deployment import Deployment, a_job, settled
from standins.jobs.lasting_rule import LastingRule

FOREVER_MS = 1e9
CALM_S = 20
ROOMY = Size(64_000, 256_000, 0)


def deploy_keepers(tasks, workers, labelled=0, label='', room=None):
    """Return a deployment with so many keepers' tasks, and their rule."""
    deployment = Deployment(workers=workers, work_ms=lambda task: FOREVER_MS)
    for number, worker in enumerate(deployment.workers):
        worker.room = room or worker.room
        if number >= labelled:
            worker.labels = ('b', 'r1')
    settled(deployment)
    job = a_job(steps=((tasks, ()),), is_keeper=True, label=label)
    deployment.submit(job)
    return deployment, LastingRule(deployment, [job])


def crash(worker, rule, away_s=0.5):
    worker.go_down(away_s)
    rule.disturb(away_s)


def run_until_started(deployment, rule, count):
    """Run until so many tasks start within half a second."""
    began_at = deployment.reactor.seconds()
    for _step in range(400):
        rule.run(0.05)
        recent = max(began_at, deployment.reactor.seconds() - 0.5)
        if (
            sum(row[0] >= recent for row in deployment.run_recorder.starts)
            >= count
        ):
            return
    raise AssertionError('the tasks do not start')


@pytest.mark.parametrize('workers', [1, 8])
def test_innocent_tasks_do_not_wait_for_trials_in_a_series(workers):
    """Guards against a step that waits for each suspect's trial.

    Half of a worker's tasks had just started when it crashed; no other worker
    has the label.
    """
    deployment, rule = deploy_keepers(
        20, workers, labelled=1, label='a', room=ROOMY
    )
    rule.run(2)
    worker = deployment.workers[0]
    for run in list(worker.runs.values()):
        if int(run.task.rpartition('.')[2]) % 2 == 0:
            worker.end(run, AttemptEnd.FAILED)
    rule.run(0.3)
    crash(worker, rule)
    rule.run(CALM_S)
    assert not rule.lost


def test_former_crashes_do_not_add_to_the_wait_for_a_lost_vm():
    """Guards against trials that begin after the rule's bound.

    A worker crashed once, long ago, and its tasks have run since. The next
    owner finds the crash in the store, and later loses a VM.
    """
    deployment, rule = deploy_keepers(30, workers=3)
    rule.run(0.3)
    crash(deployment.workers[0], rule)
    rule.run(10)
    deployment.kill_entry(deployment.owner)
    rule.run(CALM_S)
    assert not rule.lost
    number = max(range(3), key=lambda each: len(deployment.workers[each].runs))
    deployment.kill_agent(f'agent-{number}')
    deployment.workers[number].crash()
    deployment.workers[number].is_unresponsive = True
    rule.disturb()
    rule.run(CALM_S)
    assert not rule.lost


def test_crashes_of_all_workers_in_a_row_do_not_add_up():
    """Guards against a wait that grows by two seconds with each crash."""
    deployment, rule = deploy_keepers(100, workers=4, room=ROOMY)
    for _wave in range(4):
        run_until_started(deployment, rule, count=40)
        for worker in deployment.workers:
            crash(worker, rule, away_s=1)
    ended_at = deployment.reactor.seconds()
    rule.run(CALM_S)
    late = [
        row for row in deployment.run_recorder.starts if row[0] > ended_at + 9
    ]
    assert not late
    assert not rule.lost


def test_crashes_of_all_workers_at_once_fail_no_lasting_job():
    """Guards against common crashes that are classified as isolated.

    All workers crash together, soon after most tasks have started, and are
    back before most agents have noticed.
    """
    deployment, rule = deploy_keepers(40, workers=8)
    for _wave in range(6):
        run_until_started(deployment, rule, count=12)
        for worker in deployment.workers:
            crash(worker, rule, away_s=0.3)
    rule.run(CALM_S)
    owner = deployment.entries[deployment.owner].core.owner
    assert all(
        record.final_state is None for record in owner.shards.live_jobs()
    )
    assert owner.shards.live_jobs()
