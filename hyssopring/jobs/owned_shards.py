"""All shards that this entry owns, and the jobs in them."""

from typing import Iterable

from hyssopring.jobs.job_record import JobRecord, StepRun
from hyssopring.jobs.documents import JobRow
from hyssopring.jobs.fleet import Worker
from hyssopring.jobs.messages import ShardEpoch, WorkerReport
from hyssopring.jobs.model import JobState
from hyssopring.jobs.owned_shard import OwnedShard
from hyssopring.jobs.shards import shard_of

__all__ = ('OwnedShards',)


class OwnedShards:
    """Finds an owned shard or job."""

    def __init__(self) -> None:
        """Own none."""
        self.by_shard: dict[int, OwnedShard] = {}

    def record_of(self, job_id: str) -> JobRecord | None:
        """Return a job of an owned shard."""
        owned = self.by_shard.get(shard_of(job_id))
        return owned.by_job.get(job_id) if owned else None

    def accept(self, row: JobRow) -> None:
        """A job was accepted for a shard that may be an owned one."""
        owned = self.by_shard.get(shard_of(row.job.job_id))
        if owned is not None:
            owned.add(row)

    def cancel(self, job_id: str) -> None:
        """A job's cancellation is durable."""
        owned = self.by_shard.get(shard_of(job_id))
        if owned is not None:
            owned.cancel(job_id)

    def state_of(self, job_id: str) -> JobState | None:
        """Return the state of an owned job, as it is durably known."""
        record = self.record_of(job_id)
        return record.state if record else None

    def counted(self) -> list[int]:
        """The shards whose jobs are known."""
        return [
            shard for shard, owned in self.by_shard.items() if owned.is_loaded
        ]

    def waiting(self, queue: str) -> int:
        """Count a queue's jobs without a start in the counted shards."""
        return sum(
            record.job.queue.name == queue and record.state is JobState.QUEUED
            for record in self.live_jobs()
        )

    def live_jobs(self) -> list[JobRecord]:
        """Return the jobs whose final state is not decided."""
        return [
            record
            for owned in self.by_shard.values()
            if owned.is_loaded
            for record in owned.live_jobs()
        ]

    def startable(self, record: JobRecord, run: StepRun) -> set[int]:
        """Return the waiting tasks of a step that may start now."""
        owned = self.by_shard[shard_of(record.job.job_id)]
        return owned.startable(record, run)

    @property
    def are_confirmed(self) -> bool:
        """Whether each owned shard was surely owned a short while ago."""
        return all(owned.is_confirmed for owned in self.by_shard.values())

    def startable_on(self, workers: Iterable[Worker]) -> list[Worker]:
        """Return the workers that tasks of each owned shard may start on."""
        return [
            worker
            for worker in workers
            if all(
                owned.may_start_on(worker.agent_id)
                for owned in self.by_shard.values()
            )
        ]

    def may_grant(self, agent_id: str) -> bool:
        """Whether no owned shard's row keeps an agent from being granted."""
        return all(
            owned.roster.may_grant(agent_id) for owned in self.by_shard.values()
        )

    def readmit(self, agent_id: str) -> None:
        """An agent that rows say to be away is here again."""
        for owned in self.by_shard.values():
            owned.roster.readmit(agent_id)

    def known_to(self, report: WorkerReport) -> set[int]:
        """The owned shards that the agent knows under their reign."""
        told = {known.shard: known.reign for known in report.reigns}
        return {
            owned.shard
            for owned in self.by_shard.values()
            if told.get(owned.shard) == owned.epoch
        }

    def epochs(self) -> list[ShardEpoch]:
        """Return each owned shard with its reign."""
        return [
            ShardEpoch(owned.shard, owned.epoch)
            for owned in self.by_shard.values()
        ]
