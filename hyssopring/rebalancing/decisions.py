"""The choice of the keepers' tasks that are to move, without side effects."""

from heapq import nlargest
from itertools import chain, islice
from typing import Callable, Collection, Final, Iterable, Iterator, Sequence

from hyssopring.jobs.fleet import Worker
from hyssopring.rebalancing.moves import (
    KeeperTask,
    Move,
    MoveReason,
    RoomFinder,
    StepKeepers,
)

__all__ = ('choose_crowded_moves', 'choose_evacuations')

# A keeper above this share of its latency target has little headroom left.
_HIGH_TARGET_SHARE: Final = 0.8
# With less than this share of the cores reserved, room on the worker is not
# what the keepers lack.
_MIN_RESERVED_SHARE: Final = 0.5
# The target must keep at least this share of its cores unreserved.
_MIN_FREE_SHARE: Final = 0.3
# A check orders at most this many moves, and compares as many workers of each
# service, which bounds its time on a large fleet.
_MAX_MOVES: Final = 20


def choose_evacuations(
    steps: Iterable[StepKeepers],
    evacuated_boots: Collection[str],
    room: RoomFinder,
) -> list[Move]:
    """Return at most one move for each step out of the evacuated zones."""
    moves = _evacuations(steps, evacuated_boots, room)
    return list(islice(moves, _MAX_MOVES))


def _evacuations(
    steps: Iterable[StepKeepers],
    evacuated_boots: Collection[str],
    room: RoomFinder,
) -> Iterator[Move]:
    for step in steps:
        # The step's tasks have the same size and requirements: if one finds
        # no room, no other does.
        keeper = next(
            (
                keeper
                for keeper in step.tasks
                if keeper.is_at_work and keeper.placed.boot in evacuated_boots
            ),
            None,
        )
        if keeper is None or not step.may_lose_one:
            continue
        target = room.reserve(step, keeper, None)
        if target is not None:
            yield Move(step, keeper, target, MoveReason.EVACUATED)


def choose_crowded_moves(
    steps: Iterable[StepKeepers],
    workers: Iterable[Worker],
    room: RoomFinder,
    may_move: Callable[[StepKeepers, str], bool],
    has_unplaced_tasks: bool,
) -> list[Move]:
    """Return at most one move for each step and each worker.

    Args:
        steps: The keeper steps.
        workers: The workers on which tasks may start.
        may_move: Returns whether a task was not moved recently.
        has_unplaced_tasks: Whether tasks wait for room. Then only workers
            with a keeper over its target count as crowded.
    """
    threshold = 1.0 if has_unplaced_tasks else _HIGH_TARGET_SHARE
    crowded = [
        (step, keeper)
        for step, keeper in _crowded(steps, threshold)
        if may_move(step, keeper.task)
    ]
    if not crowded:
        return []
    moves = _crowded_moves(crowded, _emptiest(workers), room)
    return list(islice(moves, _MAX_MOVES))


def _crowded_moves(
    crowded: Iterable[tuple[StepKeepers, KeeperTask]],
    fresh: Sequence[Worker],
    room: RoomFinder,
) -> Iterator[Move]:
    used_boots: set[str] = set()
    for step, keeper in crowded:
        if keeper.placed.boot in used_boots or step.is_moving:
            continue
        boots = _better_boots(fresh, keeper) - used_boots
        target = room.reserve(step, keeper, boots) if boots else None
        if target is not None:
            used_boots |= {keeper.placed.boot, target.boot}
            step.is_moving = True
            yield Move(step, keeper, target, MoveReason.CROWDED)


def _emptiest(workers: Iterable[Worker]) -> list[Worker]:
    """Return the workers of each service with most unreserved cores."""
    by_service: dict[str, list[Worker]] = {}
    for worker in workers:
        by_service.setdefault(worker.service, []).append(worker)
    return [
        worker
        for of_service in by_service.values()
        for worker in nlargest(_MAX_MOVES, of_service, key=_free_share)
    ]


def _crowded(
    steps: Iterable[StepKeepers], threshold: float
) -> list[tuple[StepKeepers, KeeperTask]]:
    """Return the movable tasks of crowded workers, least headroom first."""
    all_steps = list(steps)
    worst_by_boot: dict[str, float] = {}
    for keeper in chain.from_iterable(step.tasks for step in all_steps):
        boot = keeper.placed.boot
        worst = worst_by_boot.get(boot, 0)
        worst_by_boot[boot] = max(worst, keeper.target_share)
    crowded = [
        (step, keeper)
        for step in all_steps
        if step.may_lose_one
        for keeper in step.tasks
        if keeper.is_at_work
        and worst_by_boot[keeper.placed.boot] > threshold
        and _free_share(keeper.worker) <= 1 - _MIN_RESERVED_SHARE
    ]
    return sorted(crowded, key=lambda pair: pair[1].target_share, reverse=True)


def _better_boots(workers: Iterable[Worker], keeper: KeeperTask) -> set[str]:
    return {
        worker.boot for worker in workers if _is_clearly_better(worker, keeper)
    }


def _is_clearly_better(target: Worker, keeper: KeeperTask) -> bool:
    """Return whether a keeper has clearly more room on another worker."""
    source = keeper.worker
    after = _free_share(target, keeper.placed.step.reserved_size.cpu_millis)
    if after < _MIN_FREE_SHARE or after <= _free_share(source):
        return False
    return target.task_counts()[0] < source.task_counts()[0]


def _free_share(worker: Worker, added_cpu_millis: int = 0) -> float:
    """Return the share of a worker's cores that is not reserved."""
    capacity = worker.capacity.cpu_millis
    if not capacity:
        return 0
    return (worker.free().cpu_millis - added_cpu_millis) / capacity
