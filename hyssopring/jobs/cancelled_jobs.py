"""The cancelled jobs of which an agent was told."""

from typing import Final

from hyssopring.clock import Clock
from hyssopring.jobs.times import OWNER_LEASE_MS

__all__ = ('CancelledJobs',)

# Longer than an owner may act without knowing of a cancellation. The ID of a
# job can be used for another one minutes later.
_RETENTION_MS: Final = 2 * OWNER_LEASE_MS


class CancelledJobs:
    """Jobs whose tasks must not start, whoever orders it."""

    def __init__(self, clock: Clock) -> None:
        """Start without jobs."""
        self._clock = clock
        # When each job was added, the oldest first.
        self._added_at_by_job: dict[str, float] = {}

    def add(self, job_id: str) -> None:
        """Add a job, and forget those that were added long ago."""
        now_ms = self._clock.now()
        self._added_at_by_job.pop(job_id, None)
        self._added_at_by_job[job_id] = now_ms
        while now_ms - next(iter(self._added_at_by_job.values())) > (
            _RETENTION_MS
        ):
            self._added_at_by_job.pop(next(iter(self._added_at_by_job)))

    def has_task(self, task: str) -> bool:
        """Return whether a task, by its dotted name, is one of these jobs'."""
        added_at = self._added_at_by_job.get(task.partition('.')[0])
        if added_at is None:
            return False
        return self._clock.now() - added_at <= _RETENTION_MS
