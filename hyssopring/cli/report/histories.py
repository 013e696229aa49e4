"""Histories of jobs, tasks and attempts; times in seconds of the day."""

from dataclasses import dataclass, field
from typing import Final

__all__ = ('Attempt', 'JobHistory', 'TaskHistory')

_FULL_PACE: Final = 1.0


@dataclass(slots=True)
class Attempt:
    """One attempt of a task.

    Attributes:
        number: The number of the attempt.
        agent: The agent of its worker.
        placed_s: When it was given to the worker.
        ended_s: When it ended; None if no line tells.
        how: How it ended, or empty: 'done', 'failed', 'stopped', 'lapsed'.
        is_resumed: Whether it went on from a checkpoint.
    """

    number: int
    agent: str
    placed_s: float
    ended_s: float | None = None
    how: str = ''
    is_resumed: bool = False


@dataclass(slots=True)
class TaskHistory:
    """A task, as far as the files tell.

    Attributes:
        name: The name of the task.
        attempts: Its attempts, in order of time.
        paces: When its pace changed, and to which share of full pace.
        misses: When it was over its latency target (from, to), and by what:
            'neighbours' or 'worker'.
    """

    name: str
    attempts: list[Attempt] = field(default_factory=list)
    paces: list[tuple[float, float]] = field(default_factory=list)
    misses: list[tuple[float, float, str]] = field(default_factory=list)

    @property
    def step(self) -> str:
        """The occurrence and the step, without job and index."""
        return self.name.partition('.')[2].rpartition('.')[0]

    @property
    def done_s(self) -> float | None:
        """When the task was done, or None."""
        ends = [each.ended_s for each in self.attempts if each.how == 'done']
        return next((end for end in ends if end is not None), None)

    def throttled_s(self, since_s: float, until_s: float) -> float:
        """Return how many seconds of full pace throttling took."""
        changes = [change for change in self.paces if change[0] >= since_s]
        lost_s: float = 0
        pace, cursor = _FULL_PACE, since_s
        changes.append((until_s, _FULL_PACE))
        for at_s, new_pace in changes:
            end_s = min(at_s, until_s)
            lost_s += max(0, end_s - cursor) * (1 - pace)
            cursor, pace = max(cursor, end_s), new_pace
        return lost_s


@dataclass(slots=True)
class JobHistory:
    """A job, as far as the files tell.

    Attributes:
        job: The id of the job.
        queue: Its queue; empty if no line tells.
        accepted_s: When it was accepted, or None.
        finished_s: When its end was recorded, or None.
        tasks: The number of its tasks.
        is_lasting: Whether its tasks run until the job is cancelled.
        state: The state in which it ended, or empty.
        age_s: How long the job took from its first submission.
        due_s: How long it may take to be in time, by its callers' estimates.
        slack: How many times its longest chain of work it may take.
        target_s: How much longer it may take.
        task_by_name: Its tasks, as far as they are named.
    """

    job: str
    queue: str = ''
    accepted_s: float | None = None
    finished_s: float | None = None
    tasks: int = 0
    is_lasting: bool = False
    state: str = ''
    age_s: float = 0
    due_s: float = 0
    slack: float = 0
    target_s: float = 0
    task_by_name: dict[str, TaskHistory] = field(default_factory=dict)

    def task(self, name: str) -> TaskHistory:
        """Return a task's history; a new one if it was not named before."""
        return self.task_by_name.setdefault(name, TaskHistory(name))

    def objective_s(self, work_s: float) -> float:
        """Return how long the job may take to be in time.

        Args:
            work_s: The longest chain of its work, as it really was.
        """
        return max(self.due_s, self.slack * work_s + self.target_s)

    def steps(self) -> list[list[TaskHistory]]:
        """Return the tasks by step, in the order of the steps."""
        tasks_by_step: dict[str, list[TaskHistory]] = {}
        for task in self.task_by_name.values():
            tasks_by_step.setdefault(task.step, []).append(task)
        return [
            tasks_by_step[step] for step in sorted(tasks_by_step, key=_order)
        ]


def _order(step: str) -> tuple[int, ...]:
    return tuple(int(part) for part in step.split('.') if part.isdigit())
