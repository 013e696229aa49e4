"""Index a shard's tasks by id, by job and by waiting state."""

from dataclasses import dataclass
from typing import TYPE_CHECKING, Collection, Sequence

from hyssopring.placement.records import Chunk, TaskRecord, TaskState

if TYPE_CHECKING:
    from hyssopring.placement.shard_plan import ShardPlan

__all__ = ('PlannedTask', 'TaskIndex')


@dataclass(frozen=True, slots=True)
class PlannedTask:
    """A task with the chunk that stores it and the plan that it belongs to."""

    plan: 'ShardPlan'
    chunk: Chunk
    task: TaskRecord


class TaskIndex:
    """The tasks of one shard.

    Waiting tasks have their own index, so that a placement round does not
    scan the running ones.
    """

    def __init__(self) -> None:
        """Start empty."""
        self._chunk_by_key: dict[str, Chunk] = {}
        self._chunks_by_job: dict[str, list[Chunk]] = {}
        self._planned_by_task: dict[str, PlannedTask] = {}
        self._waiting_by_task: dict[str, PlannedTask] = {}

    @property
    def chunks(self) -> Collection[Chunk]:
        """The chunks of all jobs."""
        return self._chunk_by_key.values()

    @property
    def jobs(self) -> tuple[str, ...]:
        """The ids of all jobs and keeper sets."""
        return tuple(self._chunks_by_job)

    @property
    def tasks(self) -> tuple[PlannedTask, ...]:
        """All tasks."""
        return tuple(self._planned_by_task.values())

    def task(self, task_id: str) -> PlannedTask | None:
        """Return a task, None if it is unknown."""
        return self._planned_by_task.get(task_id)

    def job_chunks(self, job_id: str) -> Sequence[Chunk]:
        """Return the chunks of a job, empty if it is unknown."""
        return self._chunks_by_job.get(job_id, ())

    def waiting(self, now_ms: float) -> list[PlannedTask]:
        """Return the tasks that may be placed now."""
        for task_id, planned in list(self._waiting_by_task.items()):
            if planned.task.state is not TaskState.WAITING:
                self._waiting_by_task.pop(task_id)
        return [
            planned
            for planned in self._waiting_by_task.values()
            if planned.task.not_before <= now_ms
        ]

    def add_chunk(self, plan: 'ShardPlan', chunk: Chunk) -> None:
        """Add a chunk and its tasks."""
        self._chunk_by_key[chunk.key] = chunk
        self._chunks_by_job.setdefault(chunk.job_id, []).append(chunk)
        for task in chunk.tasks:
            self.add_task(plan, chunk, task)

    def add_task(
        self,
        plan: 'ShardPlan',
        chunk: Chunk,
        task: TaskRecord,
    ) -> PlannedTask:
        """Add one task of a known chunk."""
        planned = PlannedTask(plan, chunk, task)
        self._planned_by_task[task.task_id] = planned
        self._waiting_by_task[task.task_id] = planned
        return planned

    def remove_job(self, job_id: str) -> None:
        """Remove a job's chunks and tasks."""
        for chunk in self._chunks_by_job.pop(job_id):
            self._chunk_by_key.pop(chunk.key)
            for task in chunk.tasks:
                self._planned_by_task.pop(task.task_id)
                self._waiting_by_task.pop(task.task_id, None)

    def requeue(self, task_id: str) -> None:
        """Add a known task to the waiting ones again."""
        self._waiting_by_task[task_id] = self._planned_by_task[task_id]
