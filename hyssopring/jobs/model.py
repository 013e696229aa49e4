"""What a job is: steps of tasks in a graph, and the names of its tasks."""

import enum
from dataclasses import dataclass
from functools import cached_property
from typing import Final, Iterator

__all__ = (
    'AdviceTiming',
    'AttemptEnd',
    'Job',
    'JobState',
    'Queue',
    'Schedule',
    'Size',
    'Step',
    'TaskName',
)

# As a submission's: a larger count of tasks takes the owner's memory.
_MAX_TASKS: Final = 100_000
# Estimates are added up as floats.
_MAX_ESTIMATE_MS: Final = 10**300


class JobState(enum.Enum):
    """Where a job stands. COMPLETED, FAILED and CANCELLED are final."""

    QUEUED = 'queued'
    ACTIVE = 'active'
    COMPLETED = 'completed'
    FAILED = 'failed'
    CANCELLED = 'cancelled'

    @property
    def is_final(self) -> bool:
        """Whether the job's state never changes again."""
        return self in _FINAL_STATES


_FINAL_STATES = frozenset(
    (JobState.COMPLETED, JobState.FAILED, JobState.CANCELLED),
)


class AttemptEnd(enum.Enum):
    """How an attempt of a task ended.

    DONE and FAILED count; all others put the task back in the queue. LOST:
    the worker's boot is gone, or its hold has surely lapsed. CRASHED: its
    worker crashed shortly after the start; CRASHED_IN_TRIAL: beside no other
    start.
    """

    DONE = 'done'
    FAILED = 'failed'
    STOPPED = 'stopped'
    LOST = 'lost'
    REFUSED = 'refused'
    CRASHED = 'crashed'
    CRASHED_IN_TRIAL = 'crashed-in-trial'


@dataclass(frozen=True, slots=True)
class Size:
    """What a task takes, or what a worker has."""

    cpu_millis: int = 0
    memory_mb: int = 0
    accelerators: int = 0

    def plus(self, other: 'Size') -> 'Size':
        """Return the sum."""
        return Size(
            self.cpu_millis + other.cpu_millis,
            self.memory_mb + other.memory_mb,
            self.accelerators + other.accelerators,
        )

    def minus(self, other: 'Size') -> 'Size':
        """Return the difference, which may be negative."""
        return Size(
            self.cpu_millis - other.cpu_millis,
            self.memory_mb - other.memory_mb,
            self.accelerators - other.accelerators,
        )

    def fits_in(self, room: 'Size') -> bool:
        """Whether no part is larger than ``room`` has."""
        return (
            self.cpu_millis <= room.cpu_millis
            and self.memory_mb <= room.memory_mb
            and self.accelerators <= room.accelerators
        )


@dataclass(frozen=True, slots=True)
class Step:
    """Equal tasks of a job.

    Attributes:
        after: Numbers of the earlier steps that must be done first.
        is_gang: All tasks of an attempt work only together.
        is_local: The tasks are slower when spread over racks.
        label: A label that the worker must have, or empty.
        rack: The rack where the data is, or empty.
        max_per_worker: Most tasks of the step on one worker, 0 for any.
        may_copy: Copies of a task may run side by side.
        is_keeper: The tasks run until the job is cancelled.
        target_ms: What the tail of a keeper's answers must stay below, or 0.
        fills: The tasks run on processor time that others leave unused.
        max_unavailable: How many tasks of a keeper step may be away at once
            through orders of ours, 0 for no limit.
    """

    count: int
    size: Size
    estimate_ms: int = 0
    after: tuple[int, ...] = ()
    is_gang: bool = False
    is_local: bool = False
    label: str = ''
    rack: str = ''
    max_per_worker: int = 0
    may_copy: bool = False
    saves: bool = False
    is_keeper: bool = False
    image: str = ''
    target_ms: int = 0
    fills: bool = False
    max_unavailable: int = 0

    @property
    def reserved_size(self) -> Size:
        """What a task takes of its worker's room: a filler no processor."""
        if self.fills:
            return Size(0, self.size.memory_mb, self.size.accelerators)
        return self.size


@dataclass(frozen=True, slots=True)
class Schedule:
    """When the steps run; ``times`` 0 means once, at once.

    ``first_ms`` is in milliseconds since 1970.
    """

    first_ms: int = 0
    interval_ms: int = 0
    times: int = 0

    def due_ms(self, occurrence: int) -> float:
        """When an occurrence may begin, since 1970; 0 for at once."""
        if not self.times:
            return 0
        return self.first_ms + occurrence * self.interval_ms


@dataclass(frozen=True, slots=True)
class AdviceTiming:
    """How a service answers that knows which workers may run a step.

    Attributes:
        decision_ms: What each question takes.
        per_worker_ms: What it takes more for each worker that it names.
        valid_ms: How long a ticket allows a worker to start tasks.
    """

    decision_ms: float = 0
    per_worker_ms: float = 0
    valid_ms: float = 0

    def question_ms(self, workers: int) -> float:
        """How long the answer to one question takes."""
        return self.decision_ms + workers * self.per_worker_ms


@dataclass(frozen=True, slots=True)
class Queue:
    """The parameters that a job takes from the queue it was handed in to.

    Attributes:
        priority: 0 comes first.
        max_attempts: After as many failed attempts of a task the job fails.
        slack_factor: The objective is this times the chain of work.
        target_ms: And this much more.
        advice: Set where a step may run on some workers only and a service
            knows on which; None where any worker will do.
    """

    name: str
    service: str
    priority: int = 0
    max_attempts: int = 1
    slack_factor: float = 1
    target_ms: int = 0
    advice: AdviceTiming | None = None


@dataclass(frozen=True)
class Job:
    """An accepted job. ``payload`` is given to each task as it came."""

    job_id: str
    queue: Queue
    payload: str
    steps: tuple[Step, ...]
    schedule: Schedule = Schedule()

    @cached_property
    def occurrences(self) -> int:
        """How many times the steps run."""
        return max(1, self.schedule.times)

    @cached_property
    def critical_path_ms(self) -> float:
        """The longest chain of estimated work through the graph."""
        return max(self.critical_path_ms_by_step, default=0)

    @cached_property
    def critical_path_ms_by_step(self) -> tuple[float, ...]:
        """By step: the longest chain of estimated work that starts with it."""
        tails = [float(step.estimate_ms) for step in self.steps]
        for number in range(len(self.steps) - 1, -1, -1):
            for earlier in self.steps[number].after:
                chain = self.steps[earlier].estimate_ms + tails[number]
                tails[earlier] = max(tails[earlier], chain)
        return tuple(tails)

    @property
    def is_valid(self) -> bool:
        """Whether its steps can be planned, whoever wrote them."""
        return bool(self.steps) and all(
            0 < step.count <= _MAX_TASKS
            and all(0 <= earlier < number for earlier in step.after)
            and abs(step.estimate_ms) < _MAX_ESTIMATE_MS
            for number, step in enumerate(self.steps)
        )

    @property
    def is_keeper(self) -> bool:
        """Whether some of its tasks run until the job is cancelled."""
        return any(step.is_keeper for step in self.steps)

    def tasks(self, occurrence: int, step: int) -> Iterator['TaskName']:
        """Name the tasks of one step."""
        for index in range(self.steps[step].count):
            yield TaskName(self.job_id, occurrence, step, index)


@dataclass(frozen=True, slots=True)
class TaskName:
    """Which task of which step and occurrence of which job."""

    job_id: str
    occurrence: int
    step: int
    index: int

    @classmethod
    def from_text(cls, text: str) -> 'TaskName':
        """Read the dotted form; raises ValueError for any other text."""
        job_id, occurrence, step, index = text.split('.')
        return cls(job_id, int(occurrence), int(step), int(index))

    def __str__(self) -> str:
        """Return the dotted form."""
        return f'{self.job_id}.{self.occurrence}.{self.step}.{self.index}'
