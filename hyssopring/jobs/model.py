"""The model of a job: a graph of steps, each of equal tasks."""

import enum
import re
from dataclasses import dataclass
from functools import cached_property
from typing import Final, Iterator, Sequence

from hyssopring.numbers import are_in_range

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
    'is_task_name',
    'longest_paths',
)

# Same limit as for a submission; bounds the memory of the shard's owner.
_MAX_TASKS: Final = 100_000
# Each is held in memory like a task; bounds the time to open them, too.
_MAX_OCCURRENCES: Final = 100_000
# The id of a job, then the numbers of its occurrence, step and task.
_TASK_NAME: Final = re.compile('[^.]+([.][0-9]{1,9}){3}')


class JobState(enum.Enum):
    """State of a job. COMPLETED, FAILED and CANCELLED are final."""

    QUEUED = 'queued'
    ACTIVE = 'active'
    COMPLETED = 'completed'
    FAILED = 'failed'
    CANCELLED = 'cancelled'

    @property
    def is_final(self) -> bool:
        """Whether the state never changes again."""
        return self in _FINAL_STATES


_FINAL_STATES = frozenset(
    (JobState.COMPLETED, JobState.FAILED, JobState.CANCELLED),
)


class AttemptEnd(enum.Enum):
    """How an attempt of a task ended.

    DONE and FAILED count as results; after any other end the task is queued
    again.

    Attributes:
        LOST: The worker's incarnation has ended, or the time for which it
            may run the attempt has certainly expired.
        CRASHED: The worker crashed shortly after the attempt started.
        CRASHED_IN_TRIAL: The worker crashed while the attempt was its only
            recent start.
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
    """Resources that a task needs or that a worker has."""

    cpu_millis: int = 0
    memory_mb: int = 0
    accelerators: int = 0

    def plus(self, other: 'Size') -> 'Size':
        """Return the sum, resource by resource."""
        return Size(
            self.cpu_millis + other.cpu_millis,
            self.memory_mb + other.memory_mb,
            self.accelerators + other.accelerators,
        )

    def minus(self, other: 'Size') -> 'Size':
        """Return the difference; a resource may become negative."""
        return Size(
            self.cpu_millis - other.cpu_millis,
            self.memory_mb - other.memory_mb,
            self.accelerators - other.accelerators,
        )

    def fits_in(self, available: 'Size') -> bool:
        """Whether every resource is within ``available``."""
        return (
            self.cpu_millis <= available.cpu_millis
            and self.memory_mb <= available.memory_mb
            and self.accelerators <= available.accelerators
        )

    @property
    def is_valid(self) -> bool:
        """Whether no resource is negative or too large for a message."""
        resources = (self.cpu_millis, self.memory_mb, self.accelerators)
        return are_in_range(*resources) and min(resources) >= 0


@dataclass(frozen=True, slots=True)
class Step:
    """Equal tasks of a job.

    Attributes:
        count: Number of tasks.
        size: Resources of one task.
        estimate_ms: Expected run time of one task.
        after: Indices of the earlier steps that must be done first.
        is_gang: All tasks must run at the same time.
        is_local: The tasks are slower when spread over racks.
        label: Label that the worker must have, or empty.
        rack: Rack that holds the data, or empty.
        max_per_worker: Maximum number of tasks of the step on one worker;
            0 for no limit.
        may_copy: Whether copies of a task may run in parallel.
        saves: The tasks write checkpoints.
        is_keeper: The tasks run until the job is cancelled.
        image: Program that the tasks run; interference is recorded per
            image.
        target_ms: Upper limit of a keeper's tail latency; 0 for none.
        fills: The tasks are best-effort: they run on processor time that
            other tasks leave unused.
        max_unavailable: How many tasks of a keeper step the scheduler may
            have stopped at the same time; 0 for no limit.
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
    def is_copyable(self) -> bool:
        """Whether a second attempt of a task may run beside the first."""
        return self.may_copy and not self.is_gang and not self.is_keeper

    @property
    def reserved_size(self) -> Size:
        """Resources that a task reserves on its worker.

        A task with ``fills`` reserves no processor time.
        """
        if self.fills:
            return Size(0, self.size.memory_mb, self.size.accelerators)
        return self.size

    @property
    def is_valid(self) -> bool:
        """Whether its tasks can be planned, apart from ``after``."""
        return (
            0 < self.count <= _MAX_TASKS
            and self.size.is_valid
            and are_in_range(
                self.estimate_ms,
                self.max_per_worker,
                self.target_ms,
                self.max_unavailable,
            )
        )


@dataclass(frozen=True, slots=True)
class Schedule:
    """When the steps run.

    Attributes:
        first_ms: When the first occurrence is due, in ms since 1970.
        interval_ms: Time between occurrences.
        times: Number of occurrences; 0 to run once, without delay.
    """

    first_ms: int = 0
    interval_ms: int = 0
    times: int = 0

    def due_ms(self, occurrence: int) -> float:
        """Return when an occurrence may begin, in ms since 1970.

        Return 0 if it may begin without delay.
        """
        if not self.times:
            return 0
        return self.first_ms + occurrence * self.interval_ms

    @property
    def is_valid(self) -> bool:
        """Whether its times can be computed, and are not too many."""
        return self.times <= _MAX_OCCURRENCES and are_in_range(
            self.times, self.first_ms, self.interval_ms
        )


@dataclass(frozen=True, slots=True)
class AdviceTiming:
    """Response times of the service that approves workers for a step.

    Attributes:
        decision_ms: Response time of a request, without its workers.
        per_worker_ms: Additional response time for each worker in a request.
        valid_ms: How long a ticket allows a worker to start tasks.
    """

    decision_ms: float = 0
    per_worker_ms: float = 0
    valid_ms: float = 0

    def query_ms(self, workers: int) -> float:
        """Return the expected response time for a number of workers."""
        return self.decision_ms + workers * self.per_worker_ms

    @property
    def is_valid(self) -> bool:
        """Whether all times are finite and not too large."""
        return are_in_range(self.decision_ms, self.per_worker_ms, self.valid_ms)


@dataclass(frozen=True, slots=True)
class Queue:
    """The parameters that a job takes from its queue.

    Attributes:
        priority: 0 is the highest priority.
        max_attempts: Number of failed attempts of a task that fail the job.
        slack_factor: The objective for a job's duration is this factor times
            its critical path plus ``target_ms``.
        target_ms: See ``slack_factor``.
        advice: Set if a service decides which workers may run a step; None
            if every worker may.
    """

    name: str
    service: str
    priority: int = 0
    max_attempts: int = 1
    slack_factor: float = 1
    target_ms: int = 0
    advice: AdviceTiming | None = None

    def objective_ms(self, critical_path_ms: float) -> float:
        """Return the objective for the duration of a job."""
        return self.slack_factor * critical_path_ms + self.target_ms

    @property
    def is_valid(self) -> bool:
        """Whether all numbers are finite and not too large."""
        is_advice_valid = self.advice is None or self.advice.is_valid
        return is_advice_valid and are_in_range(
            self.priority, self.max_attempts, self.slack_factor, self.target_ms
        )


def longest_paths(
    steps: Sequence[Step], run_ms_by_step: Sequence[float]
) -> tuple[float, ...]:
    """Return, by step, the longest path of work that begins with it, in ms."""
    path_ms = [float(run_ms) for run_ms in run_ms_by_step]
    for number in range(len(steps) - 1, -1, -1):
        for earlier in steps[number].after:
            through_ms = run_ms_by_step[earlier] + path_ms[number]
            path_ms[earlier] = max(path_ms[earlier], through_ms)
    return tuple(path_ms)


@dataclass(frozen=True)
class Job:
    """An accepted job; ``payload`` is passed to each task unchanged."""

    job_id: str
    queue: Queue
    payload: str
    steps: tuple[Step, ...]
    schedule: Schedule = Schedule()

    @cached_property
    def occurrences(self) -> int:
        """Number of times that the steps run."""
        return max(1, self.schedule.times)

    @cached_property
    def critical_path_ms(self) -> float:
        """Longest path of estimated work through the graph, in ms."""
        return max(self.critical_path_ms_by_step, default=0)

    @cached_property
    def estimate_ms_by_step(self) -> tuple[int, ...]:
        """Estimated run time of one task of each step, in ms."""
        return tuple(step.estimate_ms for step in self.steps)

    @cached_property
    def critical_path_ms_by_step(self) -> tuple[float, ...]:
        """By step: the longest path of estimated work that begins with it."""
        return longest_paths(self.steps, self.estimate_ms_by_step)

    @property
    def is_valid(self) -> bool:
        """Whether the job can be planned.

        A stored job may have been written by other software, and callers
        send any number.
        """
        return (
            bool(self.steps)
            and self.queue.is_valid
            and self.schedule.is_valid
            and all(
                step.is_valid
                and all(0 <= earlier < number for earlier in step.after)
                for number, step in enumerate(self.steps)
            )
        )

    @property
    def is_keeper(self) -> bool:
        """Whether any of its tasks run until the job is cancelled."""
        return any(step.is_keeper for step in self.steps)

    def tasks(self, occurrence: int, step: int) -> Iterator['TaskName']:
        """Yield the names of the tasks of one step."""
        for index in range(self.steps[step].count):
            yield TaskName(self.job_id, occurrence, step, index)


@dataclass(frozen=True, slots=True)
class TaskName:
    """Name of a task: its job, occurrence, step and index in the step."""

    job_id: str
    occurrence: int
    step: int
    index: int

    @classmethod
    def from_text(cls, text: str) -> 'TaskName':
        """Parse the dotted form.

        Raises:
            ValueError: The text has another form.
        """
        job_id, occurrence, step, index = text.split('.')
        return cls(job_id, int(occurrence), int(step), int(index))

    def __str__(self) -> str:
        """Return the dotted form, 'job_id.occurrence.step.index'."""
        return f'{self.job_id}.{self.occurrence}.{self.step}.{self.index}'


def is_task_name(text: str) -> bool:
    """Return whether an untrusted text has the form of a task's name."""
    return _TASK_NAME.fullmatch(text) is not None
