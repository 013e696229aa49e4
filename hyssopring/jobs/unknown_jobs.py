"""Jobs in agents' reports that the owner of their shard does not know."""

import math
from dataclasses import dataclass
from functools import partial
from typing import Final

from hyssopring.clock import Clock
from hyssopring.jobs.messages import WorkerReport
from hyssopring.jobs.model import TaskName
from hyssopring.jobs.owned_shard import OwnedShard
from hyssopring.jobs.shards import shard_of

__all__ = ('UnknownJobs',)

_MAX_JOBS: Final = 1000
# A job that is stored and still unknown after this time has malformed rows.
_MALFORMED_MS: Final = 15_000.0
# The interval at which a job's row is read again.
_READ_INTERVAL_MS: Final = 1000.0
# Reports come every 500 ms. A job that none has named for this long may have
# been submitted again since.
_REPORT_GAP_MS: Final = 5000.0


@dataclass(slots=True)
class _Lookup:
    """When a job was reported and read, and what the read has shown."""

    reported_at: float
    read_at: float = -math.inf
    read_since: float | None = None
    is_absent: bool = False

    def record_read(self, clock: Clock, is_stored: bool) -> None:
        if self.read_since is None:
            self.read_since = clock.now()
        self.is_absent = not is_stored

    def is_malformed(self, now_ms: float) -> bool:
        since_ms = self.read_since
        return since_ms is not None and now_ms - since_ms > _MALFORMED_MS


class UnknownJobs:
    """Looks up unknown jobs, and tracks when each was last reported."""

    def __init__(self, clock: Clock) -> None:
        """Create a collection without jobs."""
        self._clock = clock
        self._lookup_by_job: dict[str, _Lookup] = {}

    def is_absent(self, job_id: str, owned: OwnedShard) -> bool:
        """Whether a reported job is not stored, or its rows are malformed.

        A job is stored before it starts. If its row is not there, it has ended
        and its rows were removed. Calls read the row until the store has
        responded; no response shows nothing. Rows that stay malformed count as
        none after a while: an end that is never acknowledged would keep the
        worker from dropping later ones.
        """
        now_ms = self._clock.now()
        lookup = self._lookup_by_job.get(job_id)
        if lookup is None or now_ms - lookup.reported_at > _REPORT_GAP_MS:
            lookup = self._begin(job_id)
        lookup.reported_at = now_ms
        if not lookup.is_absent and now_ms - lookup.read_at > _READ_INTERVAL_MS:
            lookup.read_at = now_ms
            owned.look_up(job_id, partial(lookup.record_read, self._clock))
        return lookup.is_absent or lookup.is_malformed(now_ms)

    def has_unread(self, report: WorkerReport, owned: OwnedShard) -> bool:
        """Whether a report names a job of a shard that was not read yet.

        Once the job is known, its tasks must not start before its agent has
        reported again: the agent may have been restarted meanwhile.
        """
        tasks = [attempt.task for attempt in report.attempts]
        tasks.extend(end.task for end in report.ends)
        job_ids = {TaskName.from_text(task).job_id for task in tasks}
        return any(
            shard_of(job_id) == owned.shard
            and not owned.is_known(job_id)
            and not self._is_read(job_id)
            for job_id in job_ids
        )

    def resolve(self, job_id: str) -> bool:
        """Remove a job that is known now; return whether it was unknown."""
        return self._lookup_by_job.pop(job_id, None) is not None

    def forget(self, shard: int) -> None:
        """Discard what was read of the jobs of a shard that was lost."""
        self._lookup_by_job = {
            job_id: lookup
            for job_id, lookup in self._lookup_by_job.items()
            if shard_of(job_id) != shard
        }

    def _is_read(self, job_id: str) -> bool:
        lookup = self._lookup_by_job.get(job_id)
        return lookup is not None and lookup.read_since is not None

    def _begin(self, job_id: str) -> _Lookup:
        lookup = _Lookup(self._clock.now())
        self._lookup_by_job[job_id] = lookup
        if len(self._lookup_by_job) > _MAX_JOBS:
            self._lookup_by_job.pop(next(iter(self._lookup_by_job)))
        return lookup
