"""Keepers move from crowded workers to workers with much free room."""

from dataclasses import replace

import pytest

from hyssopring.jobs.model import Size
from hyssopring.jobs.scheduling_options import (
    RebalancingOptions,
    SchedulingOptions,
)
from standins.jobs.deployment import Deployment, a_job, settled
from rebalancing_support import (
    LASTING_MS,
    OPTIONS,
    moves_in,
    run_watching,
    running_on,
)

TARGET_MS = 100
KEEPER_SIZE = Size(3200, 1000, 0)
SHORT = SchedulingOptions(rebalancing=RebalancingOptions(5000, True))


def keeper(number, count=3):
    """Return a job whose tasks need a fifth of a worker."""
    job = a_job(
        number,
        ((count, ()),),
        is_keeper=True,
        target_ms=TARGET_MS,
        image='web',
        max_unavailable=1,
    )
    steps = tuple(replace(step, size=KEEPER_SIZE) for step in job.steps)
    return replace(job, steps=steps)


def show_loads(deployment, crowded_ms=90):
    """Let keepers beside three others be near their target."""
    for worker in deployment.workers:
        worker.load_of = lambda task, worker=worker: (
            crowded_ms if len(worker.runs) > 3 else 40
        )


def crowded(options=OPTIONS, crowded_ms=90):
    """Return a deployment with 15 keepers' tasks on three full workers."""
    deployment = settled(
        Deployment(workers=3, options=options, work_ms=lambda task: LASTING_MS)
    )
    for number in range(1, 6):
        deployment.submit(keeper(number))
    show_loads(deployment, crowded_ms)
    deployment.run(5)
    assert len(running_on(deployment)) == 15
    return deployment


def fresh_vms(deployment, count=2, crowded_ms=90):
    workers = [deployment.add_vm(f'fresh-{number}') for number in range(count)]
    show_loads(deployment, crowded_ms)
    return workers


def test_fresh_workers_get_keepers_within_ten_seconds(log_lines):
    """Guards against empty workers beside crowded ones."""
    deployment = crowded()
    workers = fresh_vms(deployment)
    fewest = run_watching(deployment, 10)
    assert all(worker.runs for worker in workers)
    # A step loses one task at a time, and each of three workers one.
    assert fewest >= 12
    deployment.run(30)
    assert len(running_on(deployment)) == 15
    moved = [line['task'] for line in moves_in(log_lines)]
    assert moved
    assert len(set(moved)) == len(moved)
    assert {line['why'] for line in moves_in(log_lines)} == {'crowded'}
    assert max(len(worker.runs) for worker in deployment.workers) <= 4


def test_no_step_loses_two_tasks(log_lines):
    """Guards against moves from several workers that share a step."""
    deployment = settled(
        Deployment(workers=3, options=OPTIONS, work_ms=lambda task: LASTING_MS)
    )
    deployment.submit(keeper(1, count=15))
    show_loads(deployment)
    deployment.run(5)
    assert len(running_on(deployment)) == 15
    fresh_vms(deployment)
    assert run_watching(deployment, 30) == 14
    assert moves_in(log_lines)


def test_no_task_moves_twice_in_the_interval(log_lines):
    """Guards against tasks that move to and fro."""
    deployment = crowded(crowded_ms=90)
    for worker in fresh_vms(deployment, 2):
        worker.load_of = lambda task: 90
    for worker in deployment.workers:
        worker.load_of = lambda task: 90
    deployment.run(30)
    fresh_vms(deployment, 0)
    for number in range(3):
        deployment.add_vm(f'later-{number}')
    for worker in deployment.workers:
        worker.load_of = lambda task: 90
    deployment.run(25)
    moved = [line['task'] for line in moves_in(log_lines)]
    assert moved
    assert len(set(moved)) == len(moved)


def test_nothing_moves_while_the_latency_is_low(log_lines):
    """Guards against moves that gain nothing."""
    deployment = crowded(crowded_ms=79)
    fresh_vms(deployment, crowded_ms=79)
    deployment.run(15)
    assert not moves_in(log_lines)


@pytest.mark.parametrize(('load_ms', 'moves'), [(95, False), (105, True)])
def test_moves_wait_while_tasks_find_no_room(load_ms, moves, log_lines):
    """Guards against moves that take the room of waiting tasks."""
    deployment = crowded(crowded_ms=load_ms)
    waiting = a_job(9, ((1, ()),), label='none-has-it')
    deployment.submit(waiting)
    deployment.run(1)
    fresh_vms(deployment, crowded_ms=load_ms)
    deployment.run(10)
    assert bool(moves_in(log_lines)) is moves


@pytest.mark.parametrize('after_s', [2, 4, 6])
def test_next_owner_moves_no_task_again_too_soon(after_s, log_lines):
    """Guards against a new owner that does not know the moves before it."""
    deployment = crowded()
    for worker in fresh_vms(deployment, 3):
        worker.load_of = lambda task: 90
    for worker in deployment.workers:
        worker.load_of = lambda task: 90
    deployment.run(after_s)
    deployment.kill_entry(deployment.owner)
    before = len(moves_in(log_lines))
    deployment.run(25)
    assert len(running_on(deployment)) == 15
    assert len(moves_in(log_lines)) == before


def test_next_owner_moves_after_the_interval(log_lines):
    """Guards against owners that never move what they have inherited."""
    deployment = crowded(options=SHORT)
    deployment.kill_entry(deployment.owner)
    workers = fresh_vms(deployment)
    deployment.run(25)
    assert all(worker.runs for worker in workers)
    assert len(running_on(deployment)) == 15


def test_keepers_stay_unless_the_settings_ask_for_these_moves(log_lines):
    """Guards best-effort tasks on workers without keepers."""
    options = SchedulingOptions(rebalancing=RebalancingOptions())
    deployment = crowded(options)
    deployment.add_vm('fresh')
    show_loads(deployment)
    deployment.run(15)
    assert not moves_in(log_lines)
