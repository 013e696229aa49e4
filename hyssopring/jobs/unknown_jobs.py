"""Jobs in agents' reports that the owner of their shard does not know."""

from typing import Final

from hyssopring.clock import Clock
from hyssopring.jobs.shards import shard_of

__all__ = ('UnknownJobs',)

_MAX_JOBS: Final = 1000
# A poll finds such a job within a second or two once the store responds;
# outages of the store last up to 9 s.
_LOOKUP_TIMEOUT_MS: Final = 15_000.0


class UnknownJobs:
    """Tracks since when each unknown job has been reported."""

    def __init__(self, clock: Clock) -> None:
        """Create a collection without jobs."""
        self._clock = clock
        self._since_by_job: dict[str, float] = {}

    def has_timed_out(self, job_id: str) -> bool:
        """Whether a reported job was unknown for too long to be found.

        The first call for a job starts its timeout.
        """
        now_ms = self._clock.now()
        since = self._since_by_job.setdefault(job_id, now_ms)
        if len(self._since_by_job) > _MAX_JOBS:
            self._since_by_job.pop(next(iter(self._since_by_job)))
        return now_ms - since > _LOOKUP_TIMEOUT_MS

    def resolve(self, job_id: str) -> bool:
        """Remove a job that is known now; return whether it was unknown."""
        return self._since_by_job.pop(job_id, None) is not None

    def forget(self, shard: int) -> None:
        """Restart the timeouts of the jobs of a shard that was lost.

        Timeouts that began under the former epoch would stop tasks and drop
        ends before the rows are read under a new one.
        """
        self._since_by_job = {
            job_id: since
            for job_id, since in self._since_by_job.items()
            if shard_of(job_id) != shard
        }
