"""Work that an entry has accepted since the owner's last outlook."""

from collections import deque
from dataclasses import dataclass
from typing import Final

from hyssopring.admission.demand import JobDemand

__all__ = ('AcceptedWork',)

# The store takes a job in 10 ms usually, and the owner learns of it then. What
# was accepted this long before a notice is part of it.
_IN_FLIGHT_MS: Final = 200.0
_MAX_JOBS: Final = 1000


@dataclass(frozen=True, slots=True)
class _AcceptedJob:
    at_ms: float
    demand: JobDemand


class AcceptedWork:
    """Jobs that the newest outlook may not contain yet.

    Without them, all jobs that arrive between two notices would be accepted
    for the same room.
    """

    def __init__(self) -> None:
        """Start without jobs."""
        self._jobs: deque[_AcceptedJob] = deque(maxlen=_MAX_JOBS)

    def add(self, demand: JobDemand, now_ms: float) -> None:
        """Record an accepted job."""
        self._jobs.append(_AcceptedJob(now_ms, demand))

    def on_notice(self, now_ms: float) -> None:
        """Remove the jobs that a notice which arrived now contains."""
        while self._jobs and self._jobs[0].at_ms < now_ms - _IN_FLIGHT_MS:
            self._jobs.popleft()

    def ahead_of(self, demand: JobDemand) -> float:
        """Return the work in core-ms that comes before a job."""
        return sum(
            job.demand.work
            for job in self._jobs
            if job.demand.service == demand.service
            and job.demand.priority <= demand.priority
            and any(map(demand.may_wait_behind, job.demand.labels))
        )
