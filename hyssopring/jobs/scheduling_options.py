"""Options of the optional parts of scheduling.

A part without options is off: the deployment's settings do not ask for it.
"""

from dataclasses import dataclass, field
from typing import Mapping

__all__ = (
    'FairnessOptions',
    'LearningOptions',
    'RebalancingOptions',
    'SchedulingOptions',
    'StragglerOptions',
)


@dataclass(frozen=True, slots=True)
class LearningOptions:
    """How an owner keeps what it has learned for the next owner.

    Attributes:
        save_interval_ms: The shortest time between two writes of the summary.
    """

    save_interval_ms: float = 2000


@dataclass(frozen=True, slots=True)
class FairnessOptions:
    """The shares of queues while tasks wait for capacity.

    Attributes:
        weight_by_queue: Weights of queues by name; 1 for others.
    """

    weight_by_queue: Mapping[str, float] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class StragglerOptions:
    """How slow runs and slow workers are handled.

    Attributes:
        max_copies_share: The most of the cores of running batch tasks that
            copies may use.
        slow_speed: A worker below this speed, relative to its peers, counts
            as slow.
    """

    max_copies_share: float = 0.05
    slow_speed: float = 0.5


@dataclass(frozen=True, slots=True)
class RebalancingOptions:
    """When running tasks are moved or preempted.

    Attributes:
        move_interval_ms: The shortest time between two moves of a task.
        moves_to_fresh_workers: Whether keepers leave crowded workers, too, and
            not only evacuated zones. It takes workers without keepers from
            best-effort tasks.
    """

    move_interval_ms: float = 60_000
    moves_to_fresh_workers: bool = False


@dataclass(frozen=True, slots=True)
class SchedulingOptions:
    """The optional parts of scheduling; None for a part that is off."""

    learning: LearningOptions | None = None
    fairness: FairnessOptions | None = None
    stragglers: StragglerOptions | None = None
    rebalancing: RebalancingOptions | None = None
