"""What counts as a disruption of a virtual deployment, and what does not."""

import pytest

from standins.jobs.deployment import Deployment
from standins.jobs.stillness import Stillness

TICK_S = 0.2
WHILE_S = 5


def watched(seconds, deployment, stillness):
    for _tick in range(round(seconds / TICK_S)):
        deployment.run(TICK_S)
        stillness.check()


def undisturbed(**options):
    """Return a deployment without disruptions for a while."""
    deployment = Deployment(workers=2, entries=2)
    stillness = Stillness(deployment, **options)
    watched(WHILE_S, deployment, stillness)
    assert stillness.lasted_s() > WHILE_S - 2 * TICK_S
    return deployment, stillness


def test_a_vm_that_stays_away_disturbs_nothing():
    """Only its loss and its return count.

    Otherwise no time would be undisturbed.
    """
    deployment, stillness = undisturbed()
    deployment.kill_agent('agent-0')
    deployment.workers[0].go_down(WHILE_S)
    watched(TICK_S, deployment, stillness)
    assert stillness.lasted_s() == 0
    watched(WHILE_S - 1, deployment, stillness)
    assert stillness.lasted_s() > WHILE_S - 2
    watched(1, deployment, stillness)
    assert stillness.lasted_s() < 1


def make_unresponsive(deployment):
    deployment.workers[0].is_unresponsive = True


def slow_worker(deployment):
    deployment.workers[0].slow_s = 1


def cut_off(deployment):
    deployment.cut_off('agent-0')


def store_down(deployment):
    deployment.rows.is_down = True


def reject_entry(deployment):
    deployment.rows.rejected_clients.add('entry-0')


def freeze(deployment):
    deployment.entries['entry-0'].thaws_at = 1e9


@pytest.mark.parametrize(
    'fault',
    [make_unresponsive, slow_worker, cut_off, store_down, reject_entry, freeze],
)
def test_a_lasting_fault_disturbs_for_as_long_as_it_lasts(fault):
    """Guards against counting time with a fault as undisturbed."""
    deployment, stillness = undisturbed()
    fault(deployment)
    watched(WHILE_S, deployment, stillness)
    assert stillness.lasted_s() <= 0


def test_a_worker_of_a_vm_that_is_gone_for_good_disturbs_nothing():
    """It never answers again; otherwise no time would be undisturbed."""
    deployment, stillness = undisturbed(gone={'agent-0'})
    deployment.kill_agent('agent-0')
    make_unresponsive(deployment)
    watched(WHILE_S, deployment, stillness)
    assert stillness.lasted_s() > WHILE_S - 2 * TICK_S


def test_a_lost_answer_disturbs_until_its_order_is_carried_out():
    """Guards against counting a deliberately delayed start as a fault."""
    deployment, stillness = undisturbed()
    worker = deployment.workers[0]
    worker.lose_next = 1
    worker.late_s = WHILE_S
    watched(1, deployment, stillness)
    assert stillness.lasted_s() > WHILE_S
    worker.lose_next = 0
    watched(TICK_S, deployment, stillness)
    assert stillness.since == pytest.approx(
        deployment.reactor.seconds() + WHILE_S
    )


def test_an_entry_that_is_away_is_silent():
    """Guards against a safety bound that is too short for a silent owner."""
    deployment, stillness = undisturbed()
    assert stillness.silent_at == 0
    deployment.kill_entry('entry-0')
    watched(1, deployment, stillness)
    assert stillness.silent_at == deployment.reactor.seconds()
    deployment.start_entry('entry-0')
    watched(1, deployment, stillness)
    assert stillness.silent_at < deployment.reactor.seconds() - TICK_S
