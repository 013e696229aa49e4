"""Keepers, and the waits of owners and agents before their next run.

``LastingRule``: each task has to run again nine seconds after its last run, if
there was no fault in the last seven.
"""

import pytest

from hyssopring.clock import MILLIS_PER_SECOND
from hyssopring.jobs.model import Size
from hyssopring.jobs.times import HOLD_MS
from hyssopring.jobs.worker_port import WorkerUnreachable
from standins.jobs.deployment import Deployment, a_job, settled
from standins.jobs.lasting_rule import LastingRule

FOREVER_MS = 1e9
WATCHED_S = 20
ROOMY = Size(64_000, 256_000, 0)
LATE_S = 0.7
MARGIN_S = 3
LATE_EACH_S = 1.5
SHORT_OUTAGE_S = 0.3
# Before the agent's first poll of the next incarnation.
LATE_START_S = 0.02


def deploy_keepers(tasks, **options):
    """Return a deployment with so many keepers' tasks, and their rule."""
    deployment = settled(Deployment(work_ms=lambda task: FOREVER_MS, **options))
    job = a_job(steps=((tasks, ()),), is_keeper=True)
    deployment.submit(job)
    rule = LastingRule(deployment, [job])
    rule.run(5)
    return deployment, rule


def lose_worker(worker, rule):
    worker.crash()
    worker.is_unresponsive = True
    rule.disturb()


@pytest.mark.parametrize('keeps_ids', [False, True])
@pytest.mark.parametrize('after_s', [0.1, 1, 3])
def test_a_worker_that_is_lost_soon_after_its_return(keeps_ids, after_s):
    """Guards against a former incarnation's hold that exceeds the rule's bound.

    The worker starts again, gets tasks, and is lost; its agent stays.
    """
    deployment, rule = deploy_keepers(60, keeps_ids=keeps_ids)
    worker = deployment.workers[0]
    worker.go_down(0.3)
    rule.disturb(0.3)
    for _step in range(100):
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


@pytest.mark.parametrize('outage_s', [0.3, 2.5])
@pytest.mark.parametrize('returns', [1, 2])
def test_a_worker_and_the_owner_that_are_lost_after_a_return(outage_s, returns):
    """Guards against a bound that holds only while the owner stays."""
    deployment, rule = deploy_keepers(60, keeps_ids=True)
    worker = deployment.workers[0]
    for _repeat in range(returns):
        worker.go_down(outage_s)
        rule.disturb(outage_s)
        rule.run(outage_s)
        run_until_started(worker, rule)
    for other in deployment.workers[1:]:
        other.room = ROOMY
    lose_worker(worker, rule)
    deployment.kill_entry(deployment.owner)
    rule.run(WATCHED_S)
    assert not rule.lost


def run_until_started(worker, rule):
    for _step in range(100):
        if worker.runs:
            return
        rule.run(0.05)
    raise AssertionError('the worker has started nothing')


def lose_start_and_restart(deployment, rule):
    """Restart a worker, whose next incarnation carries out a lost start."""
    worker = deployment.workers[0]
    worker.lose_next = 1
    worker.late_s = SHORT_OUTAGE_S + LATE_START_S
    deployment.submit(a_job(2, steps=((8, ()),)))
    for _step in range(100):
        if not worker.lose_next:
            break
        deployment.run(0.01)
    worker.go_down(SHORT_OUTAGE_S)
    rule.disturb(SHORT_OUTAGE_S)
    deployment.run(SHORT_OUTAGE_S + 2 * LATE_START_S)
    assert worker.hold_ms - worker.clock_ms() > HOLD_MS


def partition_worker(worker, rule):
    """Cut a worker off; it runs what it has until its hold expires."""
    worker.is_unresponsive = True
    rule.disturb()


@pytest.mark.parametrize('lose', [lose_worker, partition_worker])
@pytest.mark.parametrize('after_s', [0.1, 1, 3, 5])
def test_a_late_start_prolongs_no_wait_for_the_next_incarnation(after_s, lose):
    """Guards against an expiry of its hold that is too late or too early."""
    deployment, rule = deploy_keepers(60, keeps_ids=True)
    monitor = deployment.agents['agent-0'].core.monitor
    former = monitor.boot
    lose_start_and_restart(deployment, rule)
    while monitor.boot == former:
        rule.run(0.05)
    rule.run(after_s)
    for other in deployment.workers[1:]:
        other.room = ROOMY
    lose(deployment.workers[0], rule)
    rule.run(WATCHED_S)
    assert not rule.lost


def delay_ticks(deployment, process):
    """Freeze a process for a moment, again and again."""
    process.thaws_at = deployment.reactor.seconds() + LATE_S
    deployment.reactor.callLater(LATE_EACH_S, delay_ticks, deployment, process)


@pytest.mark.parametrize('is_late', [False, True])
def test_an_owner_whose_ticks_are_late_expires_a_lost_vm(is_late):
    """Guards against a lost VM that is never expired when all ticks are late."""
    deployment, rule = deploy_keepers(8)
    if is_late:
        delay_ticks(deployment, deployment.entries[deployment.owner])
    deployment.kill_agent('agent-0')
    lose_worker(deployment.workers[0], rule)
    rule.run(WATCHED_S)
    assert not rule.lost


@pytest.mark.parametrize('is_late', [False, True])
def test_an_owner_whose_ticks_are_late_waits_no_longer_for_reports(is_late):
    """Guards against jobs of former owners that wait for ever.

    A VM and the owner are lost together; new jobs start meanwhile.
    """
    deployment, rule = deploy_keepers(8)
    deployment.kill_agent('agent-0')
    lose_worker(deployment.workers[0], rule)
    deployment.kill_entry(deployment.owner)
    rule.run(4)
    owner = deployment.entries[deployment.owner]
    if is_late:
        delay_ticks(deployment, owner)
    wait_ms = owner.core.owner.shards.by_shard[0].former.wait_ms
    rule.run(wait_ms / MILLIS_PER_SECOND + MARGIN_S)
    keeper_tasks = deployment.run_recorder.keepers
    running = {
        task for task in keeper_tasks if deployment.run_recorder.running[task]
    }
    assert running == keeper_tasks


@pytest.mark.parametrize('is_late', [False, True])
def test_an_agent_whose_ticks_are_late_expires_a_lost_worker(is_late):
    """Guards against a lost worker that is never expired when ticks are late."""
    deployment, rule = deploy_keepers(8)
    if is_late:
        delay_ticks(deployment, deployment.agents['agent-0'])
    lose_worker(deployment.workers[0], rule)
    rule.run(WATCHED_S)
    assert not rule.lost


def refuse_starts(worker):
    worker.is_unhealthy = True


def answer_no_start(worker):
    worker.start = lambda start: worker._fail(WorkerUnreachable('none'), 0.4)


@pytest.mark.parametrize('break_worker', [refuse_starts, answer_no_start])
def test_tasks_do_not_wait_for_a_worker_that_starts_nothing(break_worker):
    """Guards against starts that all go to one bad worker beside idle ones."""
    deployment, rule = deploy_keepers(2)
    break_worker(deployment.workers[0])
    rule.disturb()
    for worker in deployment.workers:
        worker.fail_all()
    rule.run(WATCHED_S)
    assert not rule.lost
