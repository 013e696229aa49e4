"""What entries know about jobs that were rejected, or are being stored."""

from dataclasses import dataclass, replace
from typing import Final

from hyssopring.admission.messages import RejectionNotice

__all__ = ('JobAnswers', 'Rejection')

# How long after its time a job still counts as one that returns.
_RETURN_GRACE_MS: Final = 10_000.0
# Wall clocks of VMs differ by some milliseconds.
_CLOCK_TOLERANCE_MS: Final = 50.0
# How long a job that may be stored is not rejected: callers submit it again
# for 15 s, and a store that was away for 9 s may carry out calls after that.
_STORING_MS: Final = 60_000.0
_MAX_JOBS: Final = 10_000


@dataclass(frozen=True, slots=True)
class Rejection:
    """A rejected job; times are in ms since 1970.

    Attributes:
        first_asked_ms: When it was first submitted.
        come_back_ms: When it is accepted if submitted again.
        work: The work in core-ms that is reserved for it then.
    """

    first_asked_ms: float
    come_back_ms: float
    service: str = ''
    priority: int = 0
    work: float = 0

    @classmethod
    def from_notice(cls, notice: RejectionNotice) -> 'Rejection':
        """Return the rejection that another entry tells of."""
        return cls(
            notice.first_asked_ms,
            notice.come_back_ms,
            notice.service,
            notice.priority,
            max(0, notice.work),
        )

    def to_notice(self, job_id: str) -> RejectionNotice:
        """Return the notice for other entries."""
        return RejectionNotice(
            job_id,
            round(self.first_asked_ms),
            round(self.come_back_ms),
            self.service,
            self.priority,
            round(self.work),
        )

    def has_returned(self, wall_ms: float) -> bool:
        """Whether a job that is submitted now returns at its time."""
        return wall_ms >= self.come_back_ms - _CLOCK_TOLERANCE_MS


class JobAnswers:
    """The answers of all entries to recent submissions, bounded.

    Times are in ms since 1970, as entries share them.
    """

    def __init__(self) -> None:
        """Start without jobs."""
        self._rejection_by_job: dict[str, Rejection] = {}
        self._storing_since_by_job: dict[str, float] = {}

    def __len__(self) -> int:
        """Return the number of rejected jobs."""
        return len(self._rejection_by_job)

    def add_rejection(self, job_id: str, rejection: Rejection) -> None:
        """Record a rejection; the earliest time of its submission counts."""
        known = self._rejection_by_job.pop(job_id, rejection)
        self._rejection_by_job[job_id] = replace(
            rejection,
            first_asked_ms=min(known.first_asked_ms, rejection.first_asked_ms),
        )
        _remove_oldest(self._rejection_by_job)

    def add_storing(self, job_id: str, wall_ms: float) -> bool:
        """Record that a job may be stored; return False if that was known."""
        is_known = self.may_be_stored(job_id, wall_ms)
        self._storing_since_by_job.pop(job_id, None)
        self._storing_since_by_job[job_id] = wall_ms
        _remove_oldest(self._storing_since_by_job)
        return not is_known

    def rejection_of(self, job_id: str, wall_ms: float) -> Rejection | None:
        """Return a job's rejection, None if there is none of recent time."""
        rejection = self._rejection_by_job.get(job_id)
        if rejection is None or _is_over(rejection, wall_ms):
            return None
        return rejection

    def may_be_stored(self, job_id: str, wall_ms: float) -> bool:
        """Whether an entry tries, or has tried, to store a job."""
        since_ms = self._storing_since_by_job.get(job_id)
        return since_ms is not None and wall_ms - since_ms < _STORING_MS

    def prune(self, wall_ms: float) -> None:
        """Remove expired jobs; call periodically."""
        self._rejection_by_job = {
            job_id: rejection
            for job_id, rejection in self._rejection_by_job.items()
            if not _is_over(rejection, wall_ms)
        }
        self._storing_since_by_job = {
            job_id: since_ms
            for job_id, since_ms in self._storing_since_by_job.items()
            if wall_ms - since_ms < _STORING_MS
        }


def _is_over(rejection: Rejection, wall_ms: float) -> bool:
    return wall_ms > rejection.come_back_ms + _RETURN_GRACE_MS


def _remove_oldest(by_job: dict[str, Rejection] | dict[str, float]) -> None:
    if len(by_job) > _MAX_JOBS:
        by_job.pop(next(iter(by_job)))
