"""Which keepers' tasks are to move, and where."""

from types import SimpleNamespace

import pytest

from hyssopring.jobs.model import TaskName
from hyssopring.jobs.move_targets import MoveTargets
from hyssopring.jobs.scheduling_options import RebalancingOptions
from hyssopring.jobs.shards import shard_of
from hyssopring.rebalancing.decisions import (
    choose_crowded_moves,
    choose_evacuations,
)
from hyssopring.rebalancing.keeper_table import list_steps
from hyssopring.rebalancing.move_times import MoveTimes
from rebalancing_support import CORES, a_step, a_worker


class Room:
    """Room for some tasks; records what was asked for."""

    def __init__(self, *targets):
        self.targets = list(targets)
        self.asked = []

    def reserve(self, _step, keeper, boots):
        self.asked.append(keeper.task)
        for target in self.targets:
            if boots is None or target.boot in boots:
                self.targets.remove(target)
                return target
        return None


def evacuations(*steps, room=None, evacuated=('old',)):
    room = room or Room(*(a_worker(f'new-{each}') for each in range(9)))
    return choose_evacuations(steps, set(evacuated), room)


def test_one_task_of_a_step_leaves():
    old = a_worker('old')
    moves = evacuations(a_step([old, old, a_worker('other')]))
    assert [move.keeper.worker for move in moves] == [old]


def test_each_step_reserves_its_own_room():
    old, target = a_worker('old'), a_worker('new')
    moves = evacuations(a_step([old], 1), a_step([old], 2), room=Room(target))
    assert [move.target for move in moves] == [target]


def test_nothing_leaves_a_zone_in_use_or_without_room():
    step = a_step([a_worker('old')])
    assert not evacuations(step, evacuated=())
    assert not evacuations(step, room=Room())


@pytest.mark.parametrize(
    'change',
    [
        {'percent': 99},
        {'report_count': 0},
        {'is_stopping': True},
    ],
)
def test_a_task_that_is_not_at_work_counts_as_unavailable(change):
    """Guards against stops beside tasks that do not serve yet."""
    step = a_step([a_worker('old'), a_worker('other')])
    for name, state in change.items():
        setattr(step.tasks[1].placed, name, state)
    assert not evacuations(step)


@pytest.mark.parametrize(
    'change',
    [
        lambda worker: setattr(worker, 'is_connected', False),
        lambda worker: setattr(worker.report, 'silent_ms', 5000),
        lambda worker: setattr(worker.report, 'is_leaving', True),
        lambda worker: setattr(worker, 'report', None),
    ],
)
def test_a_task_on_a_failing_or_leaving_worker_counts_as_unavailable(change):
    """Guards against stops beside tasks that are lost or will be."""
    other = a_worker('other')
    step = a_step([a_worker('old'), other])
    change(other)
    assert not evacuations(step)


def test_a_waiting_task_counts_as_unavailable():
    assert not evacuations(a_step([a_worker('old')], count=2))


@pytest.mark.parametrize(
    ('max_unavailable', 'placed', 'may_move'),
    [(0, 4, True), (0, 3, False), (1, 3, False), (2, 3, True), (2, 2, False)],
)
def test_limit_of_unavailable_tasks(max_unavailable, placed, may_move):
    workers = [a_worker('old')] * placed
    step = a_step(workers, max_unavailable=max_unavailable, count=4)
    assert bool(evacuations(step)) is may_move


def test_a_step_with_a_move_under_way_and_a_gang_stay():
    step = a_step([a_worker('old')] * 3, max_unavailable=3)
    step.is_moving = True
    assert not evacuations(step)
    assert not evacuations(a_step([a_worker('old')], is_gang=True))


def crowded_moves(steps, workers, may_move=True, has_unplaced_tasks=False):
    return choose_crowded_moves(
        steps,
        workers,
        Room(*workers),
        lambda step, task: may_move,
        has_unplaced_tasks,
    )


def full_worker(load):
    """Return a worker of which four fifths are reserved, and the steps."""
    source = a_worker('source')
    steps = [a_step([source], job, load) for job in range(1, 5)]
    return source, steps


def test_a_task_moves_to_an_empty_worker():
    source, steps = full_worker(81)
    fresh = a_worker('fresh')
    moves = crowded_moves(steps, [source, fresh])
    assert [move.target for move in moves] == [fresh]


def test_the_task_with_least_headroom_moves():
    source, steps = full_worker(50)
    steps[2].tasks[0].placed.load = 90
    moves = crowded_moves(steps, [source, a_worker('fresh')])
    assert [move.step for move in moves] == [steps[2]]


def test_one_task_leaves_a_worker_at_a_time():
    source, steps = full_worker(90)
    fresh = [a_worker('one'), a_worker('two')]
    assert len(crowded_moves(steps, [source, *fresh])) == 1


def test_two_workers_do_not_share_a_target():
    steps = [
        a_step([a_worker(f'source-{job // 4}')], job, 90) for job in (4, 8)
    ]
    for step in steps:
        source = step.tasks[0].worker
        a_step([source] * 3, 10 + step.tasks[0].placed.name.index)
    fresh = a_worker('fresh')
    moves = choose_crowded_moves(
        steps, [fresh], Room(fresh, fresh), lambda step, task: True, False
    )
    assert len(moves) == 1


def test_one_task_of_a_step_leaves_crowded_workers():
    sources = [a_worker('one'), a_worker('two')]
    for job, source in enumerate(sources, 2):
        a_step([source] * 3, job)
    step = a_step(sources, 1, 90, max_unavailable=2)
    fresh = [a_worker('three'), a_worker('four')]
    assert len(crowded_moves([step], fresh)) == 1


@pytest.mark.parametrize(
    ('load', 'has_unplaced_tasks', 'moves'),
    [(80, False, 0), (81, False, 1), (100, True, 0), (101, True, 1)],
)
def test_limits_of_latency(load, has_unplaced_tasks, moves):
    source, steps = full_worker(load)
    workers = [source, a_worker('fresh')]
    found = crowded_moves(steps, workers, True, has_unplaced_tasks)
    assert len(found) == moves


def test_a_worker_with_little_reserved_is_not_crowded():
    source = a_worker('source')
    steps = [a_step([source], job, 95) for job in (1, 2)]
    assert not crowded_moves(steps, [a_worker('fresh')])


def test_a_task_without_measurements_is_not_near_its_target():
    source, steps = full_worker(95)
    for step in steps:
        step.tasks[0].placed.report_count = 2
    assert not crowded_moves(steps, [source, a_worker('fresh')])


@pytest.mark.parametrize(('reserved', 'moves'), [(8000, 1), (8001, 0)])
def test_the_target_keeps_three_tenths_free(reserved, moves):
    _, steps = full_worker(90)
    target = a_worker('target')
    target.report.foreign_cpu = reserved
    assert len(crowded_moves(steps, [target])) == moves


def test_the_target_has_more_free_room_than_the_source():
    """Guards against moves after which the target is the crowded one."""
    source = a_worker('source')
    steps = [a_step([source], job, 90) for job in (1, 2, 3)]
    target = a_worker('target')
    target.report.foreign_cpu = 6400
    assert not crowded_moves(steps, [target])
    target.report.foreign_cpu = 6399
    assert crowded_moves(steps, [target])


def test_a_target_with_as_many_keepers_is_not_fresh():
    source, steps = full_worker(90)
    target = a_worker('target')
    target.report.cpu_millis = 100 * CORES
    a_step([target] * 4, 9)
    assert not crowded_moves(steps, [source, target])


def test_a_task_that_may_not_move_again_stays():
    source, steps = full_worker(90)
    workers = [source, a_worker('fresh')]
    assert not crowded_moves(steps, workers, may_move=False)


def shards_with(*owned):
    return SimpleNamespace(by_shard=dict(enumerate(owned)))


def test_moves_are_forgotten_after_the_interval():
    interval_ms = RebalancingOptions().move_interval_ms
    times = MoveTimes(interval_ms)
    step = a_step([a_worker('one')])
    times.record('task', 5)
    times.update(shards_with(step.owned), 4 + interval_ms)
    assert not times.may_move(step, 'task', 4 + interval_ms)
    times.update(shards_with(step.owned), 5 + interval_ms)
    assert times.may_move(step, 'task', 5 + interval_ms)


def test_inherited_tasks_count_as_moved_when_the_shard_was_acquired():
    times = MoveTimes(1000)
    step = a_step([a_worker('one')])
    step.record.is_inherited = True
    times.update(shards_with(step.owned), 10)
    assert not times.may_move(step, 'task', 1009)
    assert times.may_move(step, 'task', 1010)
    step.owned.epoch = 2
    times.update(shards_with(step.owned), 1010)
    assert not times.may_move(step, 'task', 1010)


def steps_of(worker, is_backing_off=False, is_loaded=True, final_state=None):
    """Return the steps with a task on a worker, of a shard in some state."""
    job_id = next(iter(worker.placed_by_task.values())).name.job_id
    owned = SimpleNamespace(
        is_loaded=is_loaded,
        roster=SimpleNamespace(is_backing_off=is_backing_off),
    )
    record = SimpleNamespace(
        final_state=final_state,
        step_run_of=lambda name: SimpleNamespace(step=None),
    )
    shards = SimpleNamespace(
        by_shard={shard_of(job_id): owned}, record_of=lambda job_id: record
    )
    fleet = SimpleNamespace(by_agent={worker.agent_id: worker})
    return list_steps(fleet, shards)


@pytest.mark.parametrize(
    ('state', 'count'),
    [
        ({}, 1),
        ({'is_backing_off': True}, 0),
        ({'is_loaded': False}, 0),
        ({'final_state': 'cancelled'}, 0),
    ],
)
def test_only_steps_that_can_start_elsewhere_are_listed(state, count):
    """Guards against stops while no row can be written."""
    worker = a_worker('one')
    a_step([worker])
    assert len(steps_of(worker, **state)) == count


def round_with(worker, name):
    return SimpleNamespace(reserved_worker_by_task={str(name): worker})


def test_tasks_with_reserved_room_come_first():
    """Guards against a moved task behind one that finds no room."""
    names = [TaskName(f'{1:016x}', 0, 0, index) for index in range(3)]
    targets, placement = MoveTargets(), round_with(a_worker('one'), names[2])
    assert targets.reserved_first(placement, names) == [
        names[2],
        names[0],
        names[1],
    ]


@pytest.mark.parametrize(
    ('boots', 'max_per_worker', 'is_taken'),
    [
        (None, 0, True),
        ({'one'}, 0, True),
        ({'two'}, 0, False),
        (None, 2, True),
        (None, 1, False),
    ],
)
def test_reserved_room_is_taken_within_limits(boots, max_per_worker, is_taken):
    """Guards against starts without ticket or beside too many siblings."""
    worker = a_worker('one')
    step = a_step([worker], max_per_worker=max_per_worker).run.step
    name = TaskName(f'{1:016x}', 0, 0, 7)
    taken = MoveTargets().take(round_with(worker, name), name, step, boots)
    assert (taken is worker) is is_taken
