"""Jobs and tasks as the planner keeps them, and as rows of the table.

A chunk is one row with the states of up to ``CHUNK_TASKS`` tasks of one job,
so that many task starts cost one write.
"""

import enum
from dataclasses import dataclass, field
from typing import Any, Sequence

from hyssopring.store import Document, Row
from hyssopring.tasks import TaskKind

__all__ = ('CHUNK_TASKS', 'Chunk', 'TaskRecord', 'TaskState', 'chunk_prefix')

CHUNK_TASKS = 64


class TaskState(enum.Enum):
    """What the table says of a task. Completed, failed, cancelled are final."""

    WAITING = 'waiting'
    ASSIGNED = 'assigned'
    COMPLETED = 'completed'
    FAILED = 'failed'
    CANCELLED = 'cancelled'


@dataclass(slots=True)
class TaskRecord:
    """One task.

    Attributes:
        attempt: Grows with each assignment; fences older starts.
        failures: Attempts that ended in failure.
        worker_boot: The boot of its worker that this attempt was meant for.
        is_confirmed: The agent has said that this attempt runs.
        refusals: Starts in a row that ran nowhere.
        is_overrun: Ran far past its declared time, and that was logged.
        sent_generation: Connection that the start was sent on; 0 for an
            attempt that an earlier planner assigned.
        not_before: Clock milliseconds before which it is not placed again.
        why_waiting: For an operator who asks.
        share: Share of processor time that this planner last asked for.
        avoid_until_by_agent: Workers that refused or failed the task.
    """

    task_id: str
    state: TaskState = TaskState.WAITING
    attempt: int = 0
    agent_id: str = ''
    checkpoint: str = ''
    failures: int = 0
    worker_boot: str = ''
    is_confirmed: bool = False
    confirmed_at: float = 0
    refusals: int = 0
    is_overrun: bool = False
    sent_generation: int = 0
    not_before: float = 0
    waiting_since: float = 0
    why_waiting: str = ''
    share: float = 1
    avoid_until_by_agent: dict[str, float] = field(default_factory=dict)

    @property
    def is_final(self) -> bool:
        """Whether nothing more will happen to the task."""
        return self.state not in {TaskState.WAITING, TaskState.ASSIGNED}

    def to_fields(self) -> list[Any]:
        """Return what the table keeps."""
        return [
            self.state.value,
            self.attempt,
            self.agent_id,
            self.checkpoint,
            self.failures,
            self.worker_boot,
        ]


@dataclass(slots=True)
class Chunk:
    """One row of tasks.

    Attributes:
        row_version: Version of the row as this planner last wrote or read it.
        is_forgotten: To be deleted from the table.
        operations: Ids of own writes whose answers were lost.
    """

    shard: int
    key: str
    job_id: str
    service_name: str
    kind: TaskKind
    tasks: list[TaskRecord]
    row_version: int = 0
    is_forgotten: bool = False
    operations: set[str] = field(default_factory=set)

    def to_document(self) -> Document:
        """Return the row's document."""
        return {
            'job': self.job_id,
            'service': self.service_name,
            'kind': self.kind.value,
            'tasks': [task.to_fields() for task in self.tasks],
        }

    @classmethod
    def from_row(cls, shard: int, row: Row) -> 'Chunk':
        """Load a chunk."""
        document = row.document
        offset = int(row.key.rpartition('/')[2]) * CHUNK_TASKS
        tasks = [
            _task(f'{document["job"]}:{offset + index}', fields)
            for index, fields in enumerate(document['tasks'])
        ]
        return cls(
            shard,
            row.key,
            document['job'],
            document['service'],
            TaskKind(document['kind']),
            tasks,
            row.version,
        )

    @classmethod
    def for_job(
        cls,
        shard: int,
        job_id: str,
        service_name: str,
        kind: TaskKind,
        count: int,
        first_chunk: int = 0,
    ) -> list['Chunk']:
        """Cut new tasks of a job into chunks."""
        start = first_chunk * CHUNK_TASKS
        end = start + count
        return [
            cls(
                shard,
                f'{chunk_prefix(shard)}{job_id}/{first // CHUNK_TASKS:05}',
                job_id,
                service_name,
                kind,
                _new_tasks(job_id, first, min(first + CHUNK_TASKS, end)),
            )
            for first in range(start, end, CHUNK_TASKS)
        ]

    def grow(self, count: int) -> list[TaskRecord]:
        """Add tasks with the numbers that follow; return them."""
        offset = int(self.key.rpartition('/')[2]) * CHUNK_TASKS
        first = offset + len(self.tasks)
        added = _new_tasks(self.job_id, first, first + count)
        self.tasks.extend(added)
        return added


def chunk_prefix(shard: int) -> str:
    """Return the key prefix of a shard's chunks."""
    return f'chunks/{shard:04}/'


def _task(task_id: str, fields: Sequence[Any]) -> TaskRecord:
    state, *others = fields
    return TaskRecord(task_id, TaskState(state), *others)


def _new_tasks(job_id: str, first: int, end: int) -> list[TaskRecord]:
    return [TaskRecord(f'{job_id}:{number}') for number in range(first, end)]
