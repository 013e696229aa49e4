"""A step with tasks that may start now."""

from dataclasses import dataclass
from typing import Mapping

from hyssopring.jobs.fleet import Worker
from hyssopring.jobs.job_record import JobRecord, StepRun
from hyssopring.jobs.urgency import Urgency

__all__ = ('PendingStep',)


@dataclass(frozen=True, slots=True)
class PendingStep:
    """The tasks of a step that may start now.

    Attributes:
        indices: Indices of the tasks within the step.
        ticket_by_boot: Tickets by the incarnation of a worker that may run
            the tasks; None if any worker may.
    """

    urgency: Urgency
    record: JobRecord
    run: StepRun
    indices: set[int]
    ticket_by_boot: Mapping[str, str] | None

    def ticket_for(self, worker: Worker) -> str:
        """Return the worker's ticket, empty if the step needs none."""
        return self.ticket_by_boot[worker.boot] if self.ticket_by_boot else ''

    @property
    def is_urgent(self) -> bool:
        """Whether its tasks are kept off very slow workers.

        This holds for the first priority, for keepers and for late jobs.
        """
        return self.urgency.priority <= 0 or self.urgency.lateness > 0
