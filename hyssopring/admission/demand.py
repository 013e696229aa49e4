"""Amounts of work in core-ms, and what a submitted job asks for."""

from dataclasses import dataclass
from typing import Callable, Final

from hyssopring.jobs.model import Job

__all__ = (
    'ExpectedMs',
    'JobDemand',
    'core_ms',
    'estimate_of',
    'wire_amount',
)

# Returns the expected run time in ms of a task of a job's step.
ExpectedMs = Callable[[Job, int], float]

_MILLIS_PER_CORE: Final = 1000
# Estimates and sizes of jobs may be any number; 32 core-years.
_MAX_CORE_MS: Final = 1e12
# Integers are 64 bits long on the wire.
_MAX_ON_WIRE: Final = 2**53


@dataclass(frozen=True, slots=True)
class JobDemand:
    """What counts for the predicted end of a job.

    Attributes:
        labels: Labels of the workers that its steps need; empty for any.
        work: The expected work of all tasks in core-ms.
        critical_path_ms: See ``Job``.
        objective_ms: The objective for its duration; 0 for none.
    """

    service: str
    priority: int
    labels: frozenset[str]
    work: float
    critical_path_ms: float
    objective_ms: float

    @classmethod
    def from_job(cls, job: Job, expected_ms: ExpectedMs) -> 'JobDemand':
        """Return the demand of a job that runs once."""
        queue = job.queue
        objective_ms = queue.objective_ms(job.critical_path_ms)
        return cls(
            queue.service,
            queue.priority,
            frozenset(step.label for step in job.steps),
            sum(
                step.count
                * core_ms(expected_ms(job, index), step.size.cpu_millis)
                for index, step in enumerate(job.steps)
            ),
            max(0, job.critical_path_ms),
            max(0, objective_ms),
        )

    def may_wait_behind(self, label: str) -> bool:
        """Whether work for workers with a label can be ahead of the job.

        Work for any worker has no label.
        """
        return not label or label in self.labels


def core_ms(run_ms: float, cpu_millis: float) -> float:
    """Return the work of a run in core-ms, within finite bounds."""
    work = max(0, run_ms) * max(0, cpu_millis) / _MILLIS_PER_CORE
    return min(work, _MAX_CORE_MS)


def estimate_of(job: Job, step_index: int) -> float:
    """Return the caller's estimate of a task's run time in ms."""
    return job.steps[step_index].estimate_ms


def wire_amount(amount: float) -> int:
    """Return an amount as an integer that fits in a message."""
    return round(min(max(0, amount), _MAX_ON_WIRE))
