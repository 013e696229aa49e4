"""What a move of a keeper's task is."""

import enum
from dataclasses import dataclass
from typing import Protocol

from hyssopring.jobs.fleet import PlacedAttempt, Worker
from hyssopring.jobs.job_record import JobRecord, StepRun
from hyssopring.jobs.owned_shard import OwnedShard

__all__ = ('KeeperTask', 'Move', 'MoveReason', 'RoomFinder', 'StepKeepers')

_FULL_PERCENT = 100


class MoveReason(enum.Enum):
    """Why a task is moved.

    EVACUATED: Its availability zone is evacuated.
    CROWDED: Keepers on its worker are near their latency targets.
    """

    EVACUATED = 'evacuated'
    CROWDED = 'crowded'


@dataclass(frozen=True, slots=True)
class KeeperTask:
    """A placed task of a keeper and its worker."""

    placed: PlacedAttempt
    worker: Worker

    @property
    def task(self) -> str:
        """The name of the task."""
        return str(self.placed.name)

    @property
    def is_at_work(self) -> bool:
        """Whether the task serves its callers and is expected to go on.

        A task on a leaving, silent or disconnected worker does not count.
        """
        placed = self.placed
        return (
            placed.report_count > 0
            and not placed.is_stopping
            and placed.percent >= _FULL_PERCENT
            and self.worker.accepts_tasks()
        )

    @property
    def target_share(self) -> float:
        """The task's tail latency as a share of its target, 0 if unknown."""
        placed = self.placed
        if not placed.step.target_ms or not placed.has_measured_usage:
            return 0
        return placed.load / placed.step.target_ms


@dataclass(slots=True)
class StepKeepers:
    """The placed tasks of a keeper step.

    Attributes:
        is_moving: Whether a task was moved and is not at work again.
    """

    owned: OwnedShard
    record: JobRecord
    run: StepRun
    tasks: list[KeeperTask]
    is_moving: bool = False

    @property
    def may_lose_one(self) -> bool:
        """Whether one more task may be stopped now.

        A step without a limit may still lose one task at a time.
        """
        if self.is_moving or self.run.step.is_gang:
            return False
        at_work = {
            task.placed.name.index for task in self.tasks if task.is_at_work
        }
        unavailable = self.run.step.count - len(at_work)
        return unavailable < (self.run.step.max_unavailable or 1)


@dataclass(frozen=True, slots=True)
class Move:
    """A task that is to leave its worker, and the worker that has room."""

    step: StepKeepers
    keeper: KeeperTask
    target: Worker
    why: MoveReason


class RoomFinder(Protocol):
    """Finds and reserves room for moves that are planned together."""

    def reserve(
        self, step: StepKeepers, keeper: KeeperTask, boots: set[str] | None
    ) -> Worker | None:
        """Reserve room for a task, None if there is none.

        Args:
            boots: Incarnations of workers to choose from; None for all.
        """
