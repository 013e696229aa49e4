"""The jobs of one shard that this entry owns, under one epoch."""

from dataclasses import dataclass
from typing import Any, Callable, Final

from twisted.python.failure import Failure as TwistedFailure

from hyssopring.clock import Clock
from hyssopring.jobs.absences import Absences
from hyssopring.jobs.documents import JobRow, ProgressRow
from hyssopring.jobs.epoch_rows import EpochRows
from hyssopring.jobs.fleet import Fleet, Worker
from hyssopring.jobs.former_owner import AcquiredShard, FormerOwners
from hyssopring.jobs.grant_origin import GrantOrigin
from hyssopring.jobs.job_record import JobRecord, StepRun
from hyssopring.jobs.locations import Locations
from hyssopring.jobs.model import JobState, TaskName
from hyssopring.jobs.ownership import Ownership
from hyssopring.jobs.progress_writer import Ack, ProgressWriter, owner_check
from hyssopring.jobs.roster import Roster
from hyssopring.jobs.row_keys import (
    cancel_key,
    is_job_key,
    job_key,
    progress_key,
)
from hyssopring.jobs.row_parser import RowParser
from hyssopring.jobs.rows import (
    Committed,
    Row,
    RowStore,
    StoreRefused,
    StoreUncertain,
    Transaction,
)
from hyssopring.jobs.shard_reader import ShardReader
from hyssopring.learning.stored_summary import StoredSummary
from hyssopring.logs import Event, log_event

__all__ = ('Ack', 'OwnedShard', 'ShardEvents')

# A transaction holds at most 100 operations; a job takes three.
_MAX_FORGOTTEN: Final = 30


@dataclass(frozen=True, slots=True)
class ShardEvents:
    """Callbacks for events in a shard.

    Attributes:
        on_ends_durable: Called with the ends that agents may drop.
        on_ownership_lost: Called when another owner has the shard.
        on_ownership_checked: Called when a requested check of the ownership
            has succeeded.
        on_job: Called with each job that is added after the load.
        on_cancelled: Called with each job that is cancelled.
        on_loaded: Called once all stored jobs are loaded.
        on_roster_written: Called when rows are written on which grants depend.
    """

    on_ends_durable: Callable[[list[Ack]], None]
    on_ownership_lost: Callable[['OwnedShard'], None]
    on_ownership_checked: Callable[[], None]
    on_job: Callable[[JobRecord], None]
    on_cancelled: Callable[[JobRecord], None]
    on_loaded: Callable[[], None]
    on_roster_written: Callable[[], None]


class OwnedShard:
    """One shard under one epoch.

    Attributes:
        epoch: The number of this ownership; each takeover increments it.
        version: The version of the owner row.
        former: What is known of the former owners.
        reported: Agents that have sent a report under this epoch.
        unreported: Listed agents without a complete report under this epoch;
            they may still run tasks that former owners ordered. An agent
            may be in both sets, or in neither.
        is_loaded: Whether all stored jobs are loaded.
        is_dropped: Whether this entry has stopped owning the shard.
        look_up: Reads the row of a job; see ``ShardReader``.
        ownership: When it was last known that no other entry has the shard.
        stored_summary: The row of what the shard's owners have learned.
    """

    def __init__(
        self,
        acquired: AcquiredShard,
        reactor: Any,
        clock: Clock,
        wall_ms: Callable[[], float],
        store: RowStore,
        events: ShardEvents,
    ) -> None:
        """Create the shard; call ``load`` next."""
        self.shard = acquired.shard
        self.epoch = acquired.epoch
        self.version = acquired.version
        self.former = FormerOwners(clock, acquired)
        self._cancelled_before_job: set[str] = set()
        self._clock = clock
        self._store = store
        self._events = events
        self.by_job: dict[str, JobRecord] = {}
        self.reported: set[str] = set()
        self.unreported: set[str] = set()
        self.is_loaded = False
        self.is_dropped = False
        self._live: dict[str, JobRecord] = {}
        self._rows_before_load: list[JobRow] = []
        self._parser = RowParser()
        # Jobs whose progress row is malformed; see ``_inherit``.
        self._malformed_progress: set[str] = set()
        self._check = owner_check(acquired.shard, acquired.version)
        self.stored_summary = StoredSummary(store, self.shard, self._check)
        epoch_rows = EpochRows(
            store,
            acquired.shard,
            self._check,
            acquired.roster,
            not acquired.is_former_over,
        )
        self.roster = Roster(
            clock,
            store,
            acquired.shard,
            self._check,
            epoch_rows,
            events.on_roster_written,
        )
        self._reader = ShardReader(reactor, clock, store, self)
        self.look_up = self._reader.look_up
        self.ownership = Ownership(
            clock,
            acquired.confirmed_at,
            self._reader.check_ownership,
            GrantOrigin(
                clock,
                store,
                acquired,
                self._check,
                self._reader.store_clock,
                events.on_roster_written,
            ),
        )
        self.locations = Locations(
            clock, self.roster, epoch_rows, self.former, self.by_job
        )
        self._absences = Absences(
            clock,
            self.roster,
            epoch_rows,
            self.former,
            self._reader.store_clock,
        )
        self._writer = ProgressWriter(
            reactor,
            wall_ms,
            store,
            self._check,
            self.by_job,
            events.on_ends_durable,
            self.on_ownership_lost,
        )

    def load(self) -> None:
        """Start to read the stored rows."""
        self._reader.load()

    def drop(self) -> None:
        """Stop writing: the shard is no longer owned."""
        self.is_dropped = True
        self._writer.is_stopped = True

    def startable(self, record: JobRecord, run: StepRun) -> set[int]:
        """Return the indices of waiting tasks of a step that may start now.

        A job of an earlier epoch may have tasks on an unreported agent;
        starting them elsewhere would run them twice.
        """
        if not record.is_inherited or not self.unreported:
            return run.waiting
        idle_tasks = record.idle_waiting(run)
        if not run.step.is_keeper:
            return idle_tasks
        return idle_tasks | {
            index
            for index in run.waiting
            if not self.possible_agents(run.task(record.job.job_id, index))
        }

    def possible_agents(self, name: TaskName) -> set[str]:
        """Return the unreported agents that may run a keeper's task."""
        return self.locations.possible_agents(str(name), self.unreported)

    def wait_ms(self, agent_id: str) -> float:
        """Return for how long, in ms, an unreported agent may run tasks."""
        return max(
            0, self._absences.grant_expires_at(agent_id) - self._clock.now()
        )

    def on_ownership_checked(self) -> None:
        """Report that a requested check has confirmed the ownership."""
        if self.is_loaded and not self.is_dropped:
            self._events.on_ownership_checked()

    def may_start_on(self, worker: Worker) -> bool:
        """Whether a start may be sent to a worker's agent.

        The agent must be on the roster, where the next owner finds it. Until
        it has reported under this epoch, a former owner may still send it
        starts and grants, so that its tasks and their expiry are unknown. A
        process that it had before this connection may have obeyed a successor,
        which then does not wait for it.
        """
        agent_id = worker.agent_id
        is_listed = agent_id in self.reported and agent_id in self.roster
        return (
            is_listed
            and self.roster.may_grant(agent_id)
            and self.ownership.check_since(worker.connected_at)
        )

    def tick(self, fleet: Fleet) -> None:
        """Expire unreported agents and update the rows; call regularly.

        Args:
            fleet: The agents known to this entry.
        """
        self.unreported = {
            agent_id
            for agent_id in self.unreported
            if not self._has_expired(agent_id, fleet)
        }
        if self.is_loaded:
            self._absences.check(fleet, self.unreported)
            self.locations.update(
                fleet, self.reported.__contains__, bool(self.unreported)
            )
            self.roster.write()

    def _has_expired(self, agent_id: str, fleet: Fleet) -> bool:
        """Whether no owner's grant to an unreported agent is valid."""
        # An agent may have a grant of this epoch before its first report.
        expires_at = max(
            self._absences.grant_expires_at(agent_id),
            fleet.grant_expires_at(agent_id),
        )
        return self._clock.now() > expires_at and self.ownership.check_since(
            expires_at
        )

    def live_jobs(self) -> list[JobRecord]:
        """Return the jobs without a final state."""
        live = [
            record
            for record in self._live.values()
            if record.final_state is None
        ]
        if len(live) < len(self._live):
            self._live = {record.job.job_id: record for record in live}
        return live

    def add(self, row: JobRow, is_inherited: bool = False) -> None:
        """Add an accepted job; one that is known is ignored."""
        if not self.is_loaded:
            # The former owner may have started it; load its progress first.
            self._rows_before_load.append(row)
            return
        job_id = row.job.job_id
        if self.is_known(job_id):
            return
        record = JobRecord.from_row(row, self.epoch, is_inherited)
        self._add_record(record)
        if job_id in self._cancelled_before_job:
            self._cancelled_before_job.discard(job_id)
            self.cancel(job_id)
            return
        self._events.on_job(record)

    def is_known(self, job_id: str) -> bool:
        """Whether a job was loaded, found or added before."""
        return job_id in self.by_job or job_id in self._malformed_progress

    def on_ownership_lost(self) -> None:
        """Report that another owner has the shard."""
        self._events.on_ownership_lost(self)

    def on_job_row_found(self, row: Row) -> None:
        """Add a stored job for which no notice came.

        The notice may have gone to the former owner, which may have started
        the job.
        """
        job_row = self._read_job(row)
        if job_row is not None:
            self.add(job_row, is_inherited=True)

    def cancel(self, job_id: str) -> None:
        """Cancel a job whose cancellation is durable."""
        record = self.by_job.get(job_id)
        if record is None:
            # The cancellation arrived before the job; keep it, or the job
            # would be started.
            self._cancelled_before_job.add(job_id)
            return
        if record.final_state is not None:
            return
        record.final_state = JobState.CANCELLED
        record.state = JobState.CANCELLED
        self.save(record)
        self._events.on_cancelled(record)

    def save(self, record: JobRecord, ack: Ack | None = None) -> None:
        """Write a job's progress, then acknowledge an end."""
        self._writer.save(record.job.job_id, ack)

    def poll(self) -> None:
        """Read jobs and cancellations whose notices were lost."""
        if self.is_loaded and not self.is_dropped:
            # The poll delivers these cancellations after their jobs.
            self._cancelled_before_job.clear()
            self._reader.poll()

    def on_agent_rows(self, agents: list[Row]) -> None:
        """Load the agents' rows; grants are allowed from now on."""
        self.roster.load(agents, self._reader.store_clock)

    def on_job_rows(self, jobs: list[Row], ends: list[Row]) -> None:
        """Load the stored jobs and their progress."""
        self.unreported = set(self.roster.agents)
        self.locations.load()
        progress_row_by_job = {row.row_key.key: row for row in ends}
        for row in jobs:
            if is_job_key(row.row_key.key):
                self._inherit(row, progress_row_by_job.get(row.row_key.key))
        self.is_loaded = True
        log_event(
            Event.SHARD_ACQUIRED,
            shard=self.shard,
            reign=self.epoch,
            jobs=len(self.by_job),
            unheard=len(self.unreported),
        )
        for early_row in self._rows_before_load:
            self.add(early_row)
        for job_id in self._cancelled_before_job & self.by_job.keys():
            self._cancelled_before_job.discard(job_id)
            self.cancel(job_id)
        self._events.on_loaded()

    def forget_ended(self, before_ms: float) -> None:
        """Remove jobs that ended before a time in ms since 1970."""
        ended = [
            record.job.job_id
            for record in self.by_job.values()
            if record.state.is_final
            and 0 < record.progress.ended_ms < before_ms
        ][:_MAX_FORGOTTEN]
        if not ended:
            return
        removals = [
            row_key
            for job_id in ended
            for row_key in (
                job_key(job_id),
                cancel_key(job_id),
                progress_key(job_id),
            )
        ]
        deferred = self._store.commit(
            Transaction((self._check,), (), tuple(removals)),
        )
        deferred.addCallbacks(
            self._on_ended_removed, _ignore_store_failure, callbackArgs=(ended,)
        )

    def _on_ended_removed(self, outcome: object, ended: list[str]) -> None:
        if isinstance(outcome, Committed):
            for job_id in ended:
                self.by_job.pop(job_id, None)

    def _read_job(self, row: Row) -> JobRow | None:
        """Parse a job; None if the row is malformed or holds another job.

        A job stored under the key of another one would start without its
        progress.
        """
        job_row = self._parser.parse(JobRow.from_text, row)
        if job_row is None or job_row.job.job_id == row.row_key.key:
            return job_row
        self._parser.log_malformed(row, 'job: job_id differs from the row key')
        return None

    def _inherit(self, row: Row, progress_row: Row | None) -> None:
        """Load a job, unless its progress row is malformed.

        Without its progress, tasks that are done would run a second time. The
        job stays in the store for an owner that can read its progress.
        """
        job_row = self._read_job(row)
        if job_row is None:
            return
        progress = None
        if progress_row is not None:
            progress = self._parser.parse(ProgressRow.from_text, progress_row)
            if progress is None:
                self._malformed_progress.add(row.row_key.key)
                return
        record = JobRecord.from_row(
            job_row,
            self.epoch,
            is_inherited=True,
            progress=progress,
        )
        record.version = progress_row.version if progress_row else 0
        self._add_record(record)

    def _add_record(self, record: JobRecord) -> None:
        self.by_job[record.job.job_id] = record
        if record.final_state is None:
            self._live[record.job.job_id] = record


def _ignore_store_failure(failure: TwistedFailure) -> None:
    """Ignore a failed write; the next call retries."""
    failure.trap(StoreRefused, StoreUncertain)
