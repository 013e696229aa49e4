"""The owner's newest outlook at an entry, and what it does not contain."""

from collections import deque
from dataclasses import dataclass
from typing import Final

from hyssopring.admission.demand import JobDemand
from hyssopring.admission.messages import QueueOutlookNotice
from hyssopring.clock import Clock
from hyssopring.logs import Event, log_event

__all__ = ('AcceptedWork', 'KnownOutlook', 'StaleLog')

# An outlook that was not followed by another one for this long says nothing
# about the present owner, which may have had nothing to publish.
_FORGET_MS: Final = 30_000.0
# The store takes a job in 10 ms usually, and the owner learns of it then. What
# was accepted this long before a notice is part of it.
_IN_FLIGHT_MS: Final = 200.0
_MAX_JOBS: Final = 1000
# The shortest time between two lines about a stale outlook.
_LOG_INTERVAL_MS: Final = 5000.0
_NEVER: Final = float('-inf')


class KnownOutlook:
    """Keeps the notice with the highest epoch and sequence number."""

    def __init__(self, clock: Clock) -> None:
        """Start without an outlook."""
        self._clock = clock
        self._notice: QueueOutlookNotice | None = None
        self._received_at = clock.now()

    def apply(self, notice: QueueOutlookNotice) -> bool:
        """Keep a notice; return False if a newer one is known."""
        known = self._notice
        if known is not None and _order(notice) <= _order(known):
            return False
        self._notice = notice
        self._received_at = self._clock.now()
        return True

    @property
    def notice(self) -> QueueOutlookNotice | None:
        """The newest notice, None if there is none of some recent time."""
        return self._notice if self.age_ms <= _FORGET_MS else None

    @property
    def age_ms(self) -> float:
        """The time since the newest notice arrived."""
        return self._clock.now() - self._received_at


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


class StaleLog:
    """Logs that jobs are accepted because the outlook is stale.

    Writes one line in each interval, with the number of jobs since.
    """

    def __init__(self, clock: Clock) -> None:
        """Start without accepted jobs."""
        self._clock = clock
        self._count = 0
        self._logged_at = _NEVER

    def record(self, age_ms: float) -> None:
        """Record that a job was accepted because of the outlook's age."""
        self._count += 1
        now_ms = self._clock.now()
        if now_ms - self._logged_at >= _LOG_INTERVAL_MS:
            log_event(
                Event.ADMISSION_STALE, age_ms=int(age_ms), jobs=self._count
            )
            self._logged_at = now_ms
            self._count = 0


def _order(notice: QueueOutlookNotice) -> tuple[int, int]:
    return notice.epoch, notice.sequence
