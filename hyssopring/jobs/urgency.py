"""In which order steps get workers.

Answers the pattern of a burst of large jobs beyond what the workers can do in
time: ordered by deadline alone, each job waits behind jobs that are late
anyway, until all are late.
"""

from dataclasses import dataclass
from typing import Final

from hyssopring.jobs.job_record import JobRecord, StepRun

__all__ = ('Urgency', 'urgency')

# A job that ends after three times its objective earns its caller nothing
# more than one that ends much later.
_LATEST: Final = 3
# Keepers come before the first priority of queues, which is 0.
_KEEPERS: Final = -1


@dataclass(frozen=True, slots=True, order=True)
class Urgency:
    """Compares step runs; the smaller comes first.

    Attributes:
        priority: The queue's.
        lateness: 0 while the job can end in time, 1 while it can end late,
            2 after that.
        order: Among jobs in time the latest start that still is in time;
            among late ones the work that is left, so that most of them end.
    """

    priority: int
    lateness: int
    order: float


def urgency(record: JobRecord, run: StepRun, wall_ms: float) -> Urgency:
    """Return the urgency of a step's waiting tasks at a time of day."""
    if run.step.is_keeper:
        # Before all else: its users are without it until it runs again, and
        # it is small beside what waits. By its job's age it would count as
        # overdue, and wait behind batch tasks for as long as these come.
        return Urgency(_KEEPERS, 0, record.accepted_ms)
    priority = record.job.queue.priority
    deadline = record.deadline(run.occurrence)
    latest_start = (
        deadline - record.job.critical_path_ms_by_step[run.step_index]
    )
    if wall_ms <= latest_start:
        return Urgency(priority, 0, record.work_left())
    begun = max(
        record.accepted_ms,
        record.job.schedule.due_ms(run.occurrence),
    )
    allowed = _LATEST * (deadline - begun)
    is_over = (
        wall_ms + record.job.critical_path_ms_by_step[run.step_index]
        > begun + allowed
    )
    return Urgency(priority, 2 if is_over else 1, record.work_left())
