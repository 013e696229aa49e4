"""Tasks that last, and what an owner or an agent waits for before the next run.

By the rule: from nine seconds after its last run each of them has to
run again, if the last seven were calm.
"""

import pytest

from hyssopring.clock import MILLIS_PER_SECOND
from hyssopring.jobs.model import Size
from hyssopring.jobs.worker_port import WorkerUnreachable
from standins.jobs.deployment import Deployment, a_job, settled
from standins.jobs.lasting_rule import LastingRule

FOREVER_MS = 1e9
WATCHED_S = 20
ROOMY = Size(64_000, 256_000, 0)
LATE_S = 0.7
MARGIN_S = 3
LATE_EACH_S = 1.5


def lasting(tasks, **options):
    """A deployment on which so many tasks that last run, and their watch."""
    deployment = settled(Deployment(work_ms=lambda task: FOREVER_MS, **options))
    job = a_job(steps=((tasks, ()),), is_keeper=True)
    deployment.submit(job)
    rule = LastingRule(deployment, [job])
    rule.run(5)
    return deployment, rule


def lose_worker(worker, rule):
    worker.crash()
    worker.is_dark = True
    rule.disturb()


@pytest.mark.parametrize('keeps_ids', [False, True])
@pytest.mark.parametrize('after_s', [0.1, 1, 3])
def test_a_worker_that_is_lost_soon_after_its_return(keeps_ids, after_s):
    """Guards against a hold of a former incarnation that outlasts the rule.

    The worker starts again, takes tasks, and is lost for good; its agent stays.
    """
    deployment, rule = lasting(60, keeps_ids=keeps_ids)
    worker = deployment.workers[0]
    worker.go_down(0.3)
    rule.disturb(0.3)
    for _each in range(100):
        if worker.runs:
            break
        rule.run(0.05)
    rule.run(after_s)
    assert worker.runs
    for other in deployment.workers[1:]:
        other.room = ROOMY
    lose_worker(worker, rule)
    rule.run(WATCHED_S)
    assert not rule.lost


def turn_late(deployment, process):
    """The process stands still for a moment, again and again."""
    process.thaws_at = deployment.reactor.seconds() + LATE_S
    deployment.reactor.callLater(LATE_EACH_S, turn_late, deployment, process)


@pytest.mark.parametrize('is_late', [False, True])
def test_an_owner_whose_turns_are_late_gives_up_a_lost_vm(is_late):
    """Guards against silence that is never judged, as each turn comes late."""
    deployment, rule = lasting(8)
    if is_late:
        turn_late(deployment, deployment.entries[deployment.owner])
    deployment.kill_agent('agent-0')
    lose_worker(deployment.workers[0], rule)
    rule.run(WATCHED_S)
    assert not rule.lost


@pytest.mark.parametrize('is_late', [False, True])
def test_an_owner_whose_turns_are_late_waits_no_longer_for_the_unheard(is_late):
    """Guards against jobs of earlier owners that wait without an end.

    A VM and the owner are lost together; new jobs start meanwhile.
    """
    deployment, rule = lasting(8)
    deployment.kill_agent('agent-0')
    lose_worker(deployment.workers[0], rule)
    deployment.kill_entry(deployment.owner)
    rule.run(4)
    owner = deployment.entries[deployment.owner]
    if is_late:
        turn_late(deployment, owner)
    wait_ms = owner.core.owner.shards.by_shard[0].former.wait_ms
    rule.run(wait_ms / MILLIS_PER_SECOND + MARGIN_S)
    lasting_tasks = deployment.book.keepers
    running = {task for task in lasting_tasks if deployment.book.running[task]}
    assert running == lasting_tasks


@pytest.mark.parametrize('is_late', [False, True])
def test_an_agent_whose_turns_are_late_gives_up_a_lost_worker(is_late):
    """Guards against a worker that is never missed, as each turn comes late."""
    deployment, rule = lasting(8)
    if is_late:
        turn_late(deployment, deployment.agents['agent-0'])
    lose_worker(deployment.workers[0], rule)
    rule.run(WATCHED_S)
    assert not rule.lost


def refuse_starts(worker):
    worker.is_unhealthy = True


def answer_no_start(worker):
    worker.start = lambda start: worker._fail(WorkerUnreachable('none'), 0.4)


@pytest.mark.parametrize('turn_bad', [refuse_starts, answer_no_start])
def test_tasks_do_not_wait_for_a_worker_that_starts_nothing(turn_bad):
    """Guards against starts that go to one bad worker, beside idle ones."""
    deployment, rule = lasting(2)
    turn_bad(deployment.workers[0])
    rule.disturb()
    for worker in deployment.workers:
        worker.fail_all()
    rule.run(WATCHED_S)
    assert not rule.lost
