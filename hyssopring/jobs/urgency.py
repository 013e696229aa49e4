"""The order in which steps get workers.

If more large jobs arrive in a burst than the workers can complete in time,
ordering by deadline alone makes each job wait behind jobs that are late
anyway, until all of them are late.
"""

from dataclasses import dataclass
from typing import Final

from hyssopring.jobs.job_record import JobRecord, StepRun
from hyssopring.jobs.job_times import CallerEstimates, JobTimeSource

__all__ = ('OVERDUE', 'Urgency', 'urgency')

# A job that ends after this many times its objective is worth no more to its
# caller than one that ends much later.
_MAX_OBJECTIVES: Final = 3
# The lateness of a step whose job can only end later than that.
OVERDUE: Final = 2
# Keepers come before the first priority of queues, which is 0.
_KEEPER_PRIORITY: Final = -1
_CALLER_ESTIMATES: Final = CallerEstimates()


@dataclass(frozen=True, slots=True, order=True)
class Urgency:
    """A sort key for step runs; the smaller one comes first.

    Attributes:
        priority: The queue's priority.
        lateness: 0 while the job can end in time, 1 while it can end before
            ``_MAX_OBJECTIVES`` times its objective, 2 after that.
        order: The work that remains, in core-milliseconds, so that most jobs
            end in time; for keepers, when they were accepted.
    """

    priority: int
    lateness: int
    order: float


def urgency(
    record: JobRecord,
    run: StepRun,
    wall_ms: float,
    source: JobTimeSource = _CALLER_ESTIMATES,
) -> Urgency:
    """Return the urgency of a step's pending tasks.

    Args:
        wall_ms: The time of day in ms since 1970.
        source: Tells how long the steps take.
    """
    if run.step.is_keeper:
        # Keepers come first: users are without them until they run again, and
        # they are small compared to the batch work that waits. By age they
        # would count as overdue, and wait as long as batch tasks arrive.
        return Urgency(_KEEPER_PRIORITY, 0, record.accepted_ms)
    priority = record.job.queue.priority
    times = source.times_of(record.job)
    path_ms = times.path_ms_by_step[run.step_index]
    work_left = record.work_left(times.run_ms_by_step)
    begun_ms = record.begun_ms(run.occurrence)
    objective_ms = record.job.queue.objective_ms(times.critical_path_ms)
    deadline_ms = begun_ms + objective_ms
    if wall_ms <= deadline_ms - path_ms:
        return Urgency(priority, 0, work_left)
    is_overdue = wall_ms + path_ms > begun_ms + _MAX_OBJECTIVES * objective_ms
    return Urgency(priority, OVERDUE if is_overdue else 1, work_left)
