"""Keepers leave evacuated availability zones, within their limits."""

import pytest

from hyssopring.jobs.model import AttemptEnd, Size
from hyssopring.jobs.scheduling_options import SchedulingOptions
from standins.jobs.deployment import a_job
from evacuation_support import (
    end_evacuation,
    evacuate,
    starts_in,
    submit_jobs,
)
from rebalancing_support import (
    moves_in,
    moving,
    run_watching,
    running_on,
    tasks_in,
)


def with_keepers(count=6, ready_s=0, max_unavailable=1, **given):
    """Return a deployment with a keeper on workers of all zones."""
    deployment = moving(**given)
    for worker in deployment.workers:
        worker.ready_s = ready_s
    deployment.submit(
        a_job(
            1,
            ((count, ()),),
            is_keeper=True,
            max_unavailable=max_unavailable,
            max_per_worker=2,
        )
    )
    deployment.run(3)
    assert len(running_on(deployment)) == count
    return deployment


def stops(deployment):
    return [
        end
        for end in deployment.run_recorder.ends
        if end[3] is AttemptEnd.STOPPED
    ]


@pytest.mark.parametrize('max_unavailable', [0, 1, 3])
def test_keepers_leave_one_at_a_time(max_unavailable, log_lines):
    """Guards against keepers that stay, and against two moves at once."""
    deployment = with_keepers(12, 2, max_unavailable, workers=9)
    deployment.run(3)
    leaving = tasks_in(deployment, 'zone-a')
    assert leaving
    evacuate(deployment, 'zone-a')
    assert run_watching(deployment, 40) == 11
    assert not tasks_in(deployment, 'zone-a')
    assert len(running_on(deployment)) == 12
    moved = [line['task'] for line in moves_in(log_lines)]
    assert sorted(moved) == sorted(leaving)
    assert {line['why'] for line in moves_in(log_lines)} == {'evacuated'}
    assert {line['zone'] for line in moves_in(log_lines)} == {'zone-a'}


def test_moved_task_waits_until_the_last_one_is_at_work(log_lines):
    """Guards against moves that count a starting task as available."""
    deployment = with_keepers(6, ready_s=60)
    deployment.run(60)
    assert tasks_in(deployment, 'zone-a')
    evacuate(deployment, 'zone-a')
    deployment.run(40)
    assert len(moves_in(log_lines)) == 1


def test_nothing_moves_while_a_task_is_unavailable(log_lines):
    """Guards against a stop beside a task that does not serve yet."""
    deployment = with_keepers(6)
    assert tasks_in(deployment, 'zone-a')
    other = deployment.workers[1]
    assert other.runs
    other.ready_s = 10_000
    deployment.run(2)
    evacuate(deployment, 'zone-a')
    deployment.run(15)
    assert not moves_in(log_lines)


def test_nothing_moves_without_room_elsewhere(log_lines):
    """Guards against stops of tasks that can start nowhere else."""
    deployment = moving(workers=3)
    for worker in deployment.workers:
        worker.room = Size(2000, 64_000, 0)
    deployment.run(3)
    submit_jobs(deployment, [1], is_keeper=True, max_unavailable=1)
    deployment.run(3)
    assert len(running_on(deployment)) == 6
    evacuate(deployment, 'zone-a')
    assert run_watching(deployment, 20) == 6
    assert not moves_in(log_lines)


def test_room_elsewhere_is_not_promised_twice():
    """Guards against moves of several steps into the same room."""
    deployment = moving(workers=3)
    for worker in deployment.workers:
        worker.room = Size(2000, 64_000, 0)
    deployment.run(3)
    for number in range(1, 6):
        deployment.submit(
            a_job(number, ((1, ()),), is_keeper=True, max_unavailable=1)
        )
        deployment.run(0.5)
    deployment.run(3)
    assert len(running_on(deployment)) == 5
    free = [worker for worker in deployment.workers if len(worker.runs) < 2]
    assert len(free) == 1
    zone = next(
        zone
        for zone in ('zone-a', 'zone-b', 'zone-c')
        if len(tasks_in(deployment, zone)) == 2
    )
    evacuate(deployment, zone)
    run_watching(deployment, 20)
    assert len(stops(deployment)) == 1
    assert len(running_on(deployment)) == 5


def test_moves_end_with_the_evacuation(log_lines):
    """Guards against moves out of a zone that is in use again."""
    deployment = with_keepers(12, 2, workers=9)
    deployment.run(3)
    count = len(tasks_in(deployment, 'zone-a'))
    assert count > 2
    evacuate(deployment, 'zone-a')
    deployment.run(3)
    end_evacuation(deployment, 'zone-a')
    deployment.run(0.5)
    begun = len(moves_in(log_lines))
    assert 0 < begun < count
    deployment.run(20)
    assert len(moves_in(log_lines)) == begun
    assert len(running_on(deployment)) == 12


@pytest.mark.parametrize('after_s', [0.9, 1.3, 1.7, 2.1, 2.5, 2.9])
def test_next_owner_goes_on(after_s, log_lines):
    """Guards against moves that a killed owner leaves half done."""
    deployment = with_keepers(12, 0.5, workers=9)
    deployment.run(1)
    leaving = tasks_in(deployment, 'zone-a')
    evacuate(deployment, 'zone-a')
    deployment.run(after_s)
    deployment.kill_entry(deployment.owner)
    assert run_watching(deployment, 60) >= 11
    assert not tasks_in(deployment, 'zone-a')
    assert len(running_on(deployment)) == 12
    ended = [end[1] for end in stops(deployment)]
    assert sorted(ended) == sorted(leaving)


@pytest.mark.parametrize('after_s', [0.5, 1.1, 1.3, 1.5, 1.9, 2.3, 2.7])
def test_moved_task_starts_though_the_store_is_away(after_s):
    """Guards against a stop of a task that then cannot start elsewhere."""
    deployment = with_keepers(6, workers=6)
    evacuate(deployment, 'zone-a')
    deployment.run(after_s)
    deployment.rows.is_down = True
    deployment.run(1.5)
    assert len(running_on(deployment)) == 6
    assert run_watching(deployment, 1) == 6
    deployment.rows.is_down = False
    deployment.run(30)
    assert not tasks_in(deployment, 'zone-a')


def test_without_the_part_keepers_stay(log_lines):
    """Guards against moves in deployments that do not ask for them."""
    deployment = with_keepers(6, options=SchedulingOptions())
    leaving = tasks_in(deployment, 'zone-a')
    evacuate(deployment, 'zone-a')
    deployment.run(10)
    assert tasks_in(deployment, 'zone-a') == leaving
    assert not moves_in(log_lines)
    assert starts_in(deployment, {'zone-a'})
