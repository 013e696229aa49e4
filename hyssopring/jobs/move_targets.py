"""Room that is kept for keepers' tasks while they move to another worker."""

from dataclasses import dataclass
from typing import Container, Iterable

from hyssopring.jobs.fleet import Worker
from hyssopring.jobs.model import Step, TaskName
from hyssopring.jobs.placement_round import PlacementRound

__all__ = ('MoveTarget', 'MoveTargets')


@dataclass(frozen=True, slots=True)
class MoveTarget:
    """The worker that a task is to start on.

    Attributes:
        boot: The worker's incarnation.
    """

    task_name: TaskName
    step: Step
    service: str
    boot: str


class MoveTargets:
    """Keeps room for moved tasks until they have been started.

    Attributes:
        by_task: The targets by the names of the tasks.
    """

    def __init__(self) -> None:
        """Start without targets."""
        self.by_task: dict[str, MoveTarget] = {}

    def reserve(self, placement: PlacementRound) -> None:
        """Reserve the room of all targets in a new round."""
        for task, target in self.by_task.items():
            worker = placement.choose(
                target.service,
                target.step,
                target.task_name,
                is_starved=False,
                allowed_boots={target.boot},
            )
            if worker is not None:
                placement.reserved_worker_by_task[task] = worker
        # A target without room is no task that waits.
        placement.has_rejected = False

    def reserved_first(
        self, placement: PlacementRound, task_names: Iterable[TaskName]
    ) -> Iterable[TaskName]:
        """Return the tasks of a step, those with reserved room first.

        A round leaves out the tasks after one that finds no room.
        """
        reserved = placement.reserved_worker_by_task
        if not reserved:
            return task_names
        return sorted(task_names, key=lambda name: str(name) not in reserved)

    def take(
        self,
        placement: PlacementRound,
        task_name: TaskName,
        step: Step,
        allowed_boots: Container[str] | None,
    ) -> Worker | None:
        """Return the worker with reserved room for a task, None if none.

        Args:
            allowed_boots: Incarnations of workers that may run the task; None
                for all.
        """
        worker = placement.reserved_worker_by_task.pop(str(task_name), None)
        if worker is None:
            return None
        if allowed_boots is not None and worker.boot not in allowed_boots:
            return None
        # Other tasks of the step may have been placed there in this round.
        limit = step.max_per_worker
        if limit and _count_siblings(worker, task_name) >= limit:
            return None
        return worker

    def forget(self, task: str) -> None:
        """Keep no room for a task any more."""
        self.by_task.pop(task, None)


def _count_siblings(worker: Worker, task_name: TaskName) -> int:
    run = (task_name.job_id, task_name.occurrence, task_name.step)
    return sum(
        (placed.name.job_id, placed.name.occurrence, placed.name.step) == run
        for placed in worker.placed_by_task.values()
    )
