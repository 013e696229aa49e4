"""Jobs in agents' reports that the owner of their shard does not know."""

import math
from dataclasses import dataclass
from typing import Final

from hyssopring.clock import Clock
from hyssopring.jobs.owned_shard import OwnedShard
from hyssopring.jobs.shards import shard_of

__all__ = ('UnknownJobs',)

_MAX_JOBS: Final = 1000
# While the store does not respond, or has a row that cannot be read, a job
# counts as absent after this time; outages of the store last up to 9 s.
_LOOKUP_TIMEOUT_MS: Final = 15_000.0
# The interval at which a job's row is read again.
_READ_INTERVAL_MS: Final = 1000.0
# Reports come every 500 ms. A job that none has named for this long may have
# been submitted again since.
_REPORT_GAP_MS: Final = 5000.0


@dataclass(slots=True)
class _Lookup:
    """When a job was reported and read, and whether it is not stored."""

    since: float
    reported_at: float
    read_at: float = -math.inf
    is_absent: bool = False

    def on_read(self, is_stored: bool) -> None:
        self.is_absent = not is_stored


class UnknownJobs:
    """Looks up unknown jobs, and tracks since when each was reported."""

    def __init__(self, clock: Clock) -> None:
        """Create a collection without jobs."""
        self._clock = clock
        self._lookup_by_job: dict[str, _Lookup] = {}

    def is_absent(self, job_id: str, owned: OwnedShard) -> bool:
        """Whether a reported job is not stored, or was not found in time.

        A job is stored before it starts. If its row is not there, it has ended
        and its rows were removed. The first call for a job reads its row,
        starts the timeout and returns False.
        """
        now_ms = self._clock.now()
        lookup = self._lookup_by_job.get(job_id)
        if lookup is None or now_ms - lookup.reported_at > _REPORT_GAP_MS:
            lookup = self._begin(job_id)
        lookup.reported_at = now_ms
        if not lookup.is_absent and now_ms - lookup.read_at > _READ_INTERVAL_MS:
            lookup.read_at = now_ms
            owned.look_up(job_id, lookup.on_read)
        return lookup.is_absent or now_ms - lookup.since > _LOOKUP_TIMEOUT_MS

    def resolve(self, job_id: str) -> bool:
        """Remove a job that is known now; return whether it was unknown."""
        return self._lookup_by_job.pop(job_id, None) is not None

    def forget(self, shard: int) -> None:
        """Restart the timeouts of the jobs of a shard that was lost.

        Timeouts that began under the former epoch would stop tasks and drop
        ends before the rows are read under a new one.
        """
        self._lookup_by_job = {
            job_id: lookup
            for job_id, lookup in self._lookup_by_job.items()
            if shard_of(job_id) != shard
        }

    def _begin(self, job_id: str) -> _Lookup:
        now_ms = self._clock.now()
        lookup = _Lookup(now_ms, now_ms)
        self._lookup_by_job[job_id] = lookup
        if len(self._lookup_by_job) > _MAX_JOBS:
            self._lookup_by_job.pop(next(iter(self._lookup_by_job)))
        return lookup
