"""How long the steps of a job are expected to take."""

from dataclasses import dataclass
from typing import Protocol, Sequence

from hyssopring.jobs.model import Job

__all__ = ('CallerEstimates', 'JobTimes', 'JobTimeSource')


@dataclass(frozen=True, slots=True)
class JobTimes:
    """Expected times of one job, in ms.

    Attributes:
        run_ms_by_step: Run time of one task of each step.
        path_ms_by_step: The longest path of work that begins with each step.
    """

    run_ms_by_step: Sequence[float]
    path_ms_by_step: Sequence[float]

    @property
    def critical_path_ms(self) -> float:
        """Return the longest path of work through the job."""
        return max(self.path_ms_by_step, default=0)


class JobTimeSource(Protocol):
    """Tells how long the steps of jobs take."""

    def times_of(self, job: Job) -> JobTimes:
        """Return the expected times of a job."""


class CallerEstimates:
    """The estimates that callers declare."""

    def times_of(self, job: Job) -> JobTimes:
        """Return the declared times of a job."""
        return JobTimes(job.estimate_ms_by_step, job.critical_path_ms_by_step)
