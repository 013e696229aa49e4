"""What keeps a task from starting on a worker, for log lines."""

import enum
from collections import Counter
from typing import Iterable

from hyssopring.jobs.model import Step, TaskName
from hyssopring.jobs.placement_option import PlacementOption

__all__ = ('PlacementObstacle', 'count_obstacles')


class PlacementObstacle(enum.Enum):
    """The first reason for which a worker does not get a task.

    LABEL: The worker lacks the required label.
    RESERVED: Memory, accelerators or reserved CPU are not free.
    IDLE_CPU: Too little CPU is idle for a best-effort task.
    HIGH_INTERFERENCE: Best-effort tasks are throttled, latency-critical ones
        are near their target, or the last start has not been measured.
    HEADROOM: A latency-critical task would keep too little headroom.
    WORKER_LIMIT: The worker has as many tasks as the step allows.
    NONE: Nothing; an earlier task of the round took the room.
    """

    LABEL = 'label'
    RESERVED = 'reserved'
    IDLE_CPU = 'idle-cpu'
    HIGH_INTERFERENCE = 'high-interference'
    HEADROOM = 'headroom'
    WORKER_LIMIT = 'worker-limit'
    NONE = 'none'


def count_obstacles(
    options: Iterable[PlacementOption], step: Step, task_name: TaskName
) -> Counter[PlacementObstacle]:
    """Count workers by what keeps a task of a step off them."""
    return Counter(_obstacle(option, step, task_name) for option in options)


def _obstacle(
    option: PlacementOption, step: Step, task_name: TaskName
) -> PlacementObstacle:
    obstacle = PlacementObstacle.NONE
    if not option.has_label(step):
        obstacle = PlacementObstacle.LABEL
    elif not option.has_free_resources(step):
        obstacle = PlacementObstacle.RESERVED
    elif not option.is_below_worker_limit(step, task_name):
        obstacle = PlacementObstacle.WORKER_LIMIT
    elif not option.has_capacity(step, is_starved=False):
        obstacle = _best_effort_obstacle(option, step)
    return obstacle


def _best_effort_obstacle(
    option: PlacementOption, step: Step
) -> PlacementObstacle:
    if not option.has_idle_cpu(step):
        return PlacementObstacle.IDLE_CPU
    if option.is_interference_high and not option.is_interference_negligible(
        step
    ):
        return PlacementObstacle.HIGH_INTERFERENCE
    return PlacementObstacle.HEADROOM
