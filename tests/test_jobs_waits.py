"""Lasting tasks that do not run: what is logged and counted of them."""

import pytest

from hyssopring.jobs.job_metrics import JobMetrics
from hyssopring.jobs.model import Size
from hyssopring.jobs.keeper_waits import WaitReason
from hyssopring.logs import Event, _emit, listen_to_events
from hyssopring.metrics import Metrics
from standins.jobs.deployment import Deployment, a_job, settled

FOREVER_MS = 1e9


@pytest.fixture
def waits():
    """All lines of lasting tasks that wait."""
    logged = []

    def hear(event, fields):
        if event is Event.TASK_WAITING:
            logged.append(fields)

    listen_to_events(hear)
    yield logged
    _emit._listeners.remove(hear)


def lasting(count=2, workers=3, number=1, **changes):
    """A deployment that has taken a job of tasks that last."""
    deployment = settled(
        Deployment(workers=workers, work_ms=lambda task: FOREVER_MS)
    )
    job = a_job(number, steps=((count, ()),), is_keeper=True, **changes)
    deployment.submit(job)
    deployment.run(1)
    return deployment, job


def reasons(waits):
    return {each['reason'] for each in waits}


def lose_vm(deployment, number):
    """A VM is gone: its worker and its agent."""
    deployment.workers[number].is_dark = True
    deployment.kill_agent(f'agent-{number}')


def test_tasks_that_run_are_not_told_of(waits):
    """A line for a task that runs would hide the one that does not."""
    deployment, _job = lasting()
    deployment.run(10)
    deployment.workers[0].fail_all()
    deployment.run(10)
    assert not waits
    assert deployment.entries[deployment.owner].core.owner.waits.waiting == 0


def test_a_wait_for_an_unheard_agent_names_it_and_how_long_it_lasts(waits):
    """After the fact nobody could tell why a task was not placed."""
    deployment, _job = lasting(count=3, max_per_worker=1)
    lose_vm(deployment, 0)
    deployment.kill_entry(deployment.owner)
    deployment.run(12)
    assert reasons(waits) == {WaitReason.UNHEARD.value}
    assert {each['agents'] for each in waits} == {'agent-0'}
    assert all(each['left_ms'] > 0 for each in waits)


@pytest.mark.parametrize(
    ('changes', 'reason'),
    [
        ({'label': 'z'}, WaitReason.NO_LABEL),
        ({'max_per_worker': 1}, WaitReason.WORKER_LIMIT),
    ],
)
def test_a_condition_that_no_worker_meets_is_named(waits, changes, reason):
    """A task that can be placed nowhere looked like one that is forgotten."""
    lasting(count=4, **changes)[0].run(5)
    assert reasons(waits) == {reason.value}


def test_a_lack_of_room_is_named(waits):
    """A full deployment looked like a lost task."""
    deployment, _job = lasting(count=200)
    deployment.run(5)
    assert reasons(waits) == {WaitReason.NO_ROOM.value}
    assert len(waits) <= 20 * 3
    assert waits[-1]['waiting'] > 20


def test_an_owner_without_the_store_says_so(waits):
    """An owner that may not order stands still, and looked idle."""
    deployment, _job = lasting()
    deployment.rows.is_down = True
    deployment.run(12)
    for worker in deployment.workers:
        worker.fail_all()
    deployment.run(5)
    assert WaitReason.NO_AUTHORITY.value in reasons(waits)


def test_an_order_that_no_report_confirms_is_named(waits):
    """A task that was ordered and never listed counted as running."""
    deployment, _job = lasting(count=1)
    deployment.run(1)
    runs_at = next(
        number
        for number, worker in enumerate(deployment.workers)
        if worker.runs
    )
    for number, agent in enumerate(deployment.agents.values()):
        if number != runs_at:
            agent.core._orders.start = lambda order, attempt: None
            agent.core.table.add = lambda attempt: None
            agent.core._report = lambda entry_id: None
    deployment.workers[runs_at].room = Size()
    deployment.run(3)
    deployment.workers[runs_at].fail_all()
    deployment.run(5)
    assert WaitReason.UNCONFIRMED.value in reasons(waits)


def test_waits_are_counted_by_their_reason():
    """An alert needs a series, not lines."""
    metrics = Metrics()
    measures = JobMetrics(metrics)
    measures.record_event(
        Event.TASK_WAITING, {'reason': WaitReason.UNHEARD.value}
    )
    name = 'lasting_tasks_waited_total{reason="unheard"}'
    assert metrics.counter(name) == 1
