"""What a submitted job asks for."""

from dataclasses import dataclass

from hyssopring.admission.work import ExpectedMs, core_ms
from hyssopring.jobs.model import Job

__all__ = ('JobDemand',)


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
        objective_ms = (
            queue.slack_factor * job.critical_path_ms + queue.target_ms
        )
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
