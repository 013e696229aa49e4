"""The steps whose tasks a planning round tries to start, in their order."""

from dataclasses import dataclass, replace
from typing import Iterable, Iterator, Mapping

from hyssopring.fairness import FairShares
from hyssopring.jobs.fleet import Worker
from hyssopring.jobs.job_record import JobRecord, StepRun
from hyssopring.jobs.job_times import JobTimeSource
from hyssopring.jobs.model import TaskName
from hyssopring.jobs.owned_shards import OwnedShards
from hyssopring.jobs.ticket_manager import TicketManager
from hyssopring.jobs.urgency import Urgency, urgency

__all__ = ('PendingStep', 'list_pending_steps', 'pending_step_of')


@dataclass(frozen=True, slots=True)
class PendingStep:
    """The tasks of a step that may start now.

    Attributes:
        indices: Indices of the tasks within the step.
        ticket_by_boot: Tickets by the incarnation of a worker that may run
            the tasks; None if any worker may.
        band: Steps of equal priority and lateness are ordered by this first:
            the share band of the job's group, 0 without shares.
    """

    urgency: Urgency
    record: JobRecord
    run: StepRun
    indices: set[int]
    ticket_by_boot: Mapping[str, str] | None
    band: int = 0

    @property
    def sort_key(self) -> tuple[int, int, int, float]:
        """Return a key by which the more urgent of two steps comes first."""
        urgency = self.urgency
        return urgency.priority, urgency.lateness, self.band, urgency.order

    @property
    def is_urgent(self) -> bool:
        """Whether its tasks are kept off very slow workers.

        This holds for the first priority, for keepers and for late jobs.
        """
        return self.urgency.priority <= 0 or self.urgency.lateness > 0

    def task_names(self) -> Iterator[TaskName]:
        """Iterate over the tasks that wait now, in the order of their indices.

        In most steps of a long queue only the first one is needed.
        """
        job_id = self.record.job.job_id
        for index in sorted(self.indices):
            yield self.run.task(job_id, index)

    def ticket_for(self, worker: Worker) -> str:
        """Return the worker's ticket, empty if the step needs none."""
        return self.ticket_by_boot[worker.boot] if self.ticket_by_boot else ''


def pending_step_of(
    record: JobRecord,
    run: StepRun,
    indices: set[int],
    wall_ms: float,
    job_times: JobTimeSource,
    ticket_manager: TicketManager,
) -> PendingStep:
    """Return a step with the tasks of these indices.

    Args:
        wall_ms: The time of day in ms since 1970.
        job_times: Tells how long steps take.
    """
    return PendingStep(
        urgency(record, run, wall_ms, job_times),
        record,
        run,
        indices,
        ticket_manager.valid_tickets(record, run),
    )


def list_pending_steps(
    live_jobs: Iterable[JobRecord],
    shards: OwnedShards,
    ticket_manager: TicketManager,
    wall_ms: float,
    job_times: JobTimeSource,
    shares: FairShares | None,
) -> list[PendingStep]:
    """Return the steps with tasks that may start, the most urgent one first.

    Args:
        wall_ms: The time of day in ms since 1970.
        job_times: Tells how long steps take.
        shares: The shares of groups of jobs; None if there are none.
    """
    pending_steps: list[PendingStep] = []
    runs = [(record, run) for record in live_jobs for run in record.open_runs()]
    for record, run in runs:
        indices = shards.startable(record, run)
        if indices:
            pending = pending_step_of(
                record, run, indices, wall_ms, job_times, ticket_manager
            )
            if shares is not None and not run.step.is_keeper:
                band = shares.band_of(record, pending.urgency.lateness)
                pending = replace(pending, band=band)
            pending_steps.append(pending)
    pending_steps.sort(key=lambda pending: pending.sort_key)
    return pending_steps
