"""Task records of the planner and their representation in the table.

A chunk is one row with the states of up to ``CHUNK_TASKS`` tasks of one job,
so that the starts of many tasks cost one write.
"""

import enum
from dataclasses import dataclass, field
from typing import Any, Sequence

from hyssopring.store import Document, Row
from hyssopring.tasks import TaskKind

__all__ = ('CHUNK_TASKS', 'Chunk', 'TaskRecord', 'TaskState', 'chunk_prefix')

CHUNK_TASKS = 64


class TaskState(enum.Enum):
    """Stored state of a task. Completed, failed and cancelled are final."""

    WAITING = 'waiting'
    ASSIGNED = 'assigned'
    COMPLETED = 'completed'
    FAILED = 'failed'
    CANCELLED = 'cancelled'


@dataclass(slots=True)
class TaskRecord:
    """State of one task.

    Times are clock milliseconds.

    Attributes:
        attempt: Number of the attempt; increases with each assignment and
            fences older starts.
        agent_id: Agent of the current or the last attempt.
        checkpoint: Last reported checkpoint, empty if there is none.
        failures: Number of attempts that failed.
        worker_boot: Boot of the worker that the attempt was assigned to.
        is_confirmed: Whether the agent has reported that the attempt runs.
        confirmed_at: When it first reported that.
        refusals: Number of consecutive starts that ran nowhere.
        is_overrun: Whether the task has far exceeded its declared run time,
            which is logged once.
        sent_generation: Number of the connection on which the start was sent,
            0 for an attempt assigned by an earlier planner.
        not_before: Time before which the task is not placed again.
        waiting_since: When the task started to wait.
        why_waiting: Reason shown to operators.
        share: Share of processor time that this planner last requested.
        avoid_until_by_agent: Until when to avoid the workers that refused or
            failed the task.
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
        """Whether the task has reached a final state."""
        return self.state not in {TaskState.WAITING, TaskState.ASSIGNED}

    def to_fields(self) -> list[Any]:
        """Return the stored fields, in the order of the row."""
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
    """One table row with tasks of a job.

    Attributes:
        shard: Shard of the job.
        key: Key of the row.
        row_version: Version of the row that this planner last wrote or read.
        is_deleted: Whether the row is to be deleted from the table.
        unconfirmed_writes: Ids of own writes whose outcome is not known.
    """

    shard: int
    key: str
    job_id: str
    service_name: str
    kind: TaskKind
    tasks: list[TaskRecord]
    row_version: int = 0
    is_deleted: bool = False
    unconfirmed_writes: set[str] = field(default_factory=set)

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
        """Create a chunk from its row."""
        document = row.document
        offset = int(row.key.rpartition('/')[2]) * CHUNK_TASKS
        tasks = [
            _task_from_fields(f'{document["job"]}:{offset + index}', fields)
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
    def from_job(
        cls,
        shard: int,
        job_id: str,
        service_name: str,
        kind: TaskKind,
        count: int,
        first_chunk: int = 0,
    ) -> list['Chunk']:
        """Create the chunks of a job's new tasks.

        Args:
            shard: Shard of the job.
            job_id: Id of the job or keeper set.
            service_name: Service of the tasks.
            kind: Kind of the tasks.
            count: Number of tasks.
            first_chunk: Number of the first new chunk.
        """
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

    def add_tasks(self, count: int) -> list[TaskRecord]:
        """Append tasks with consecutive numbers and return them."""
        offset = int(self.key.rpartition('/')[2]) * CHUNK_TASKS
        first = offset + len(self.tasks)
        added = _new_tasks(self.job_id, first, first + count)
        self.tasks.extend(added)
        return added


def chunk_prefix(shard: int) -> str:
    """Return the key prefix of a shard's chunks."""
    return f'chunks/{shard:04}/'


def _task_from_fields(task_id: str, fields: Sequence[Any]) -> TaskRecord:
    state, *others = fields
    return TaskRecord(task_id, TaskState(state), *others)


def _new_tasks(job_id: str, first: int, end: int) -> list[TaskRecord]:
    return [TaskRecord(f'{job_id}:{number}') for number in range(first, end)]
