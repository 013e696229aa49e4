"""The shards that this entry owns, and look-ups of their jobs."""

import math
from typing import Iterable

from hyssopring.jobs.documents import JobRow
from hyssopring.jobs.fleet import Worker
from hyssopring.jobs.grant_origin import VouchedAt
from hyssopring.jobs.job_record import JobRecord, StepRun
from hyssopring.jobs.messages import ShardEpoch, WorkerReport
from hyssopring.jobs.model import JobState
from hyssopring.jobs.owned_shard import OwnedShard
from hyssopring.jobs.shards import shard_of
from hyssopring.jobs.witnesses import WitnessProcess

__all__ = ('OwnedShards',)


class OwnedShards:
    """The owned shards by number.

    Attributes:
        by_shard: The owned shards by their numbers.
        vouched_at: See ``Witnesses``.
    """

    def __init__(self) -> None:
        """Create a collection without shards."""
        self.by_shard: dict[int, OwnedShard] = {}
        self.vouched_at: VouchedAt = _never

    def record_of(self, job_id: str) -> JobRecord | None:
        """Return a job of an owned shard, None if it is unknown."""
        owned = self.by_shard.get(shard_of(job_id))
        return owned.by_job.get(job_id) if owned else None

    def accept(self, row: JobRow) -> None:
        """Add an accepted job if its shard is owned."""
        owned = self.by_shard.get(shard_of(row.job.job_id))
        if owned is not None:
            owned.add(row)

    def cancel(self, job_id: str) -> None:
        """Cancel a job whose cancellation is durable, if it is owned."""
        owned = self.by_shard.get(shard_of(job_id))
        if owned is not None:
            owned.cancel(job_id)

    def state_of(self, job_id: str) -> JobState | None:
        """Return the durable state of an owned job, None if it is unknown."""
        record = self.record_of(job_id)
        return record.state if record else None

    def loaded_shards(self) -> list[int]:
        """Return the numbers of the shards whose jobs are loaded."""
        return [
            shard for shard, owned in self.by_shard.items() if owned.is_loaded
        ]

    def count_queued(self, queue: str) -> int:
        """Count the jobs of a queue without a start in the loaded shards."""
        return sum(
            record.job.queue.name == queue and record.state is JobState.QUEUED
            for record in self.live_jobs()
        )

    def live_jobs(self) -> list[JobRecord]:
        """Return the jobs without a final state in the loaded shards."""
        return [
            record
            for owned in self.by_shard.values()
            if owned.is_loaded
            for record in owned.live_jobs()
        ]

    def startable(self, record: JobRecord, run: StepRun) -> set[int]:
        """Return the indices of waiting tasks of a step that may start now."""
        owned = self.by_shard[shard_of(record.job.job_id)]
        return owned.startable(record, run)

    @property
    def is_ownership_confirmed(self) -> bool:
        """Whether the ownership of each shard was confirmed recently."""
        return all(
            owned.ownership.is_recent for owned in self.by_shard.values()
        )

    def startable_on(self, workers: Iterable[Worker]) -> list[Worker]:
        """Return the workers on which tasks of all owned shards may start."""
        return [
            worker
            for worker in workers
            if all(
                owned.may_start_on(worker) for owned in self.by_shard.values()
            )
        ]

    def grant_origin_at(self) -> float:
        """Return from when a grant for all owned shards counts."""
        return min(
            (
                owned.ownership.grant_origin.origin_at(self.vouched_at)
                for owned in self.by_shard.values()
            ),
            default=math.inf,
        )

    def may_grant(self, agent_id: str) -> bool:
        """Whether all owned shards' rows allow a grant to an agent."""
        return all(
            owned.roster.may_grant(agent_id) for owned in self.by_shard.values()
        )

    def clear_expiry(self, agent_id: str) -> None:
        """Remove the expiry from an agent's rows, as it is connected again."""
        for owned in self.by_shard.values():
            owned.roster.clear_expiry(agent_id)

    def shards_acknowledged_in(self, report: WorkerReport) -> set[int]:
        """Return the owned shards whose current epoch a report names."""
        epoch_by_shard = {
            shard_epoch.shard: shard_epoch.reign
            for shard_epoch in report.reigns
        }
        return {
            owned.shard
            for owned in self.by_shard.values()
            if epoch_by_shard.get(owned.shard) == owned.epoch
        }

    def epochs(self) -> list[ShardEpoch]:
        """Return each owned shard with its epoch."""
        return [
            ShardEpoch(owned.shard, owned.epoch)
            for owned in self.by_shard.values()
        ]


def _never(_process: WitnessProcess, _shard: int) -> float:
    """Return when a process that was not asked had not taken a shard."""
    return -math.inf
