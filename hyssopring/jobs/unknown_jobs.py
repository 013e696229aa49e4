"""Jobs that agents tell of and that the owner of their shard does not know."""

from typing import Final

from hyssopring.clock import Clock
from hyssopring.jobs.shards import shard_of

__all__ = ('UnknownJobs',)

_KEPT: Final = 1000
# A job that an agent knows and the shard does not is found by a poll within a
# second or two of the store's answering; outages last up to nine.
_UNKNOWN_MS: Final = 15_000.0


class UnknownJobs:
    """Since when each is waited for."""

    def __init__(self, clock: Clock) -> None:
        """Begin without any."""
        self._clock = clock
        self._since_by_job: dict[str, float] = {}

    def is_forgotten(self, job_id: str) -> bool:
        """Whether a job that is told of now will not be found any more."""
        now = self._clock.now()
        since = self._since_by_job.setdefault(job_id, now)
        if len(self._since_by_job) > _KEPT:
            self._since_by_job.pop(next(iter(self._since_by_job)))
        return now - since > _UNKNOWN_MS

    def found(self, job_id: str) -> bool:
        """A job is known now; tell whether it was waited for."""
        return self._since_by_job.pop(job_id, None) is not None

    def forget(self, shard: int) -> None:
        """A shard is lost: its jobs have their whole time again.

        Counted from the former reign, their tasks would be stopped and their
        ends dropped before the rows are read under a new one.
        """
        self._since_by_job = {
            job_id: since
            for job_id, since in self._since_by_job.items()
            if shard_of(job_id) != shard
        }
