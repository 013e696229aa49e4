"""The jobs of one shard that this entry owns."""

from dataclasses import dataclass
from typing import Any, Callable, Final

from twisted.python.failure import Failure as TwistedFailure

from hyssopring.clock import Clock
from hyssopring.jobs.absences import Absences
from hyssopring.jobs.job_record import JobRecord, StepRun
from hyssopring.jobs.documents import JobRow, ProgressRow
from hyssopring.jobs.fleet import Fleet
from hyssopring.jobs.former_owner import FormerOwner, AcquiredShard
from hyssopring.jobs.locations import Locations
from hyssopring.jobs.model import JobState, TaskName
from hyssopring.jobs.row_parser import RowParser
from hyssopring.jobs.progress_writer import Ack, ProgressWriter, owner_check
from hyssopring.jobs.epoch_rows import EpochRows
from hyssopring.jobs.roster import Roster
from hyssopring.jobs.row_keys import (
    cancel_key,
    is_job_key,
    job_key,
    progress_key,
)
from hyssopring.jobs.rows import (
    Committed,
    Row,
    RowStore,
    StoreRefused,
    StoreUncertain,
    Transaction,
)
from hyssopring.jobs.shard_reader import ShardReader
from hyssopring.jobs.times import OWNER_LEASE_MS
from hyssopring.logs import Event, log_event

__all__ = ('Ack', 'OwnedShard', 'ShardEvents')

# A transaction holds at most 100 entries: a job has three rows.
_MAX_FORGOTTEN: Final = 30


@dataclass(frozen=True, slots=True)
class ShardEvents:
    """Whom a shard tells of what happens in it."""

    on_acks: Callable[[list[Ack]], None]
    on_deposed: Callable[['OwnedShard'], None]
    on_job: Callable[[JobRecord], None]
    on_cancelled: Callable[[JobRecord], None]
    on_loaded: Callable[[], None]
    on_listed: Callable[[], None]


class OwnedShard:
    """One shard under one reign.

    Attributes:
        former: What is known of the owners before this one.
        heard: Agents that have told what they run and know this reign.
        unheard: Agents that have not told this reign yet what they run.
        is_loaded: Whether all stored jobs are known.
    """

    def __init__(
        self,
        taken: AcquiredShard,
        reactor: Any,
        clock: Clock,
        wall_ms: Callable[[], float],
        store: RowStore,
        events: ShardEvents,
    ) -> None:
        """Call ``load`` next."""
        self.shard = taken.shard
        self.epoch = taken.reign
        self.version = taken.version
        self.former = FormerOwner(clock, taken)
        self._confirmed_at = taken.confirmed_at
        self._cancelled_early: set[str] = set()
        self._clock = clock
        self._store = store
        self._events = events
        self.by_job: dict[str, JobRecord] = {}
        self.reported: set[str] = set()
        self.unreported: set[str] = set()
        self.is_loaded = False
        self.is_dropped = False
        self._live: dict[str, JobRecord] = {}
        self._early: list[JobRow] = []
        self._odd = RowParser()
        # Jobs whose progress cannot be read; see ``_inherit``.
        self._unclear: set[str] = set()
        self._check = owner_check(taken.shard, taken.version)
        reign_rows = EpochRows(
            store,
            taken.shard,
            self._check,
            taken.roster,
            not taken.is_former_over,
        )
        self.roster = Roster(
            clock,
            store,
            taken.shard,
            self._check,
            reign_rows,
            events.on_listed,
        )
        self._reader = ShardReader(reactor, clock, store, self)
        self.locations = Locations(
            clock, self.roster, reign_rows, self.former, self.by_job
        )
        self._absences = Absences(
            clock,
            self.roster,
            reign_rows,
            self.former,
            self._reader.store_time,
        )
        self._writer = ProgressWriter(
            reactor,
            wall_ms,
            store,
            self._check,
            self.by_job,
            events.on_acks,
            self.on_ownership_lost,
        )

    def load(self) -> None:
        """Read what is stored."""
        self._reader.load()

    def drop(self) -> None:
        """Write nothing more."""
        self.is_dropped = True
        self._writer.is_stopped = True

    def startable(self, record: JobRecord, run: StepRun) -> set[int]:
        """Return the waiting tasks of a step that may start now.

        A job of an earlier reign may have tasks on an agent that was not
        heard yet; started elsewhere they would run twice.
        """
        if not record.is_inherited or not self.unreported:
            return run.waiting
        located = record.located_waiting(run)
        if not run.step.is_keeper:
            return located
        return located | {
            index
            for index in run.waiting
            if not self.possible_agents(run.task(record.job.job_id, index))
        }

    def possible_agents(self, name: TaskName) -> set[str]:
        """Return the unheard agents that may run a lasting task."""
        return self.locations.possible_agents(str(name), self.unreported)

    def wait_ms(self, agent_id: str) -> float:
        """For how long an unheard agent may still run what it was ordered."""
        return max(
            0, self._absences.grant_expires_at(agent_id) - self._clock.now()
        )

    def on_ownership_confirmed(self, sent_at: float) -> None:
        """A reading that was sent then shows that the shard is still owned."""
        self._confirmed_at = max(self._confirmed_at, sent_at)

    @property
    def is_confirmed(self) -> bool:
        """Whether the shard was surely owned a short while ago.

        An entry's own row says nothing of its shards: an owner that was
        frozen, or turned away by the store for a while, renews it and would
        go on for ever, long after its successor's wait for it is over.
        """
        return self._clock.now() - self._confirmed_at < OWNER_LEASE_MS

    def may_start_on(self, agent_id: str) -> bool:
        """Whether a start may be sent to an agent.

        Its next owner must find it on the roster; and until it has confirmed
        this reign, a former owner may still order and grant there, so that
        nothing is known of what runs on it or for how long.
        """
        is_listed = agent_id in self.reported and agent_id in self.roster
        return is_listed and self.roster.may_grant(agent_id)

    def tick(self, fleet: Fleet) -> None:
        """Give up agents on which nothing can run any more.

        Args:
            fleet: The agents as this entry knows them.
        """
        now = self._clock.now()
        # One that was granted under this reign and is not heard yet runs on
        # until that grant is over.
        self.unreported = {
            agent_id
            for agent_id in self.unreported
            if now
            <= max(
                self._absences.grant_expires_at(agent_id),
                fleet.grant_expires_at(agent_id),
            )
        }
        if self.is_loaded:
            self._absences.check(fleet, self.unreported)
            self.locations.update(
                fleet, self.reported.__contains__, bool(self.unreported)
            )
            self.roster.write()

    def live_jobs(self) -> list[JobRecord]:
        """Return the jobs whose final state is not decided."""
        live = [
            record
            for record in self._live.values()
            if record.final_state is None
        ]
        if len(live) < len(self._live):
            self._live = {record.job.job_id: record for record in live}
        return live

    def add(self, row: JobRow, is_inherited: bool = False) -> None:
        """Take a job that was accepted."""
        if not self.is_loaded:
            # The rows are read first: the former owner may have begun it.
            self._early.append(row)
            return
        job_id = row.job.job_id
        if self.is_known(job_id):
            return
        record = JobRecord.from_row(row, self.epoch, is_inherited)
        self._keep(record)
        if job_id in self._cancelled_early:
            self._cancelled_early.discard(job_id)
            self.cancel(job_id)
            return
        self._events.on_job(record)

    def is_known(self, job_id: str) -> bool:
        """Whether a job was read, found or told of before."""
        return job_id in self.by_job or job_id in self._unclear

    def on_ownership_lost(self) -> None:
        """Another owner has the shard."""
        self._events.on_deposed(self)

    def on_job_row_found(self, row: Row) -> None:
        """A stored job that nobody has told of.

        Another entry may have told it to the former owner, which may have
        begun it since.
        """
        job_row = self._read_job(row)
        if job_row is not None:
            self.add(job_row, is_inherited=True)

    def cancel(self, job_id: str) -> None:
        """A job's cancellation is durable."""
        record = self.by_job.get(job_id)
        if record is None:
            # Its notice has overtaken the job's, which would be started.
            self._cancelled_early.add(job_id)
            return
        if record.final_state is not None:
            return
        record.final_state = JobState.CANCELLED
        record.state = JobState.CANCELLED
        self.save(record)
        self._events.on_cancelled(record)

    def save(self, record: JobRecord, ack: Ack | None = None) -> None:
        """Make a job's progress durable, then acknowledge an end."""
        self._writer.save(record.job.job_id, ack)

    def poll(self) -> None:
        """Look for what messages have missed."""
        if self.is_loaded and not self.is_dropped:
            self._cancelled_early.clear()
            self._reader.poll()

    def on_agent_rows(self, agents: list[Row]) -> None:
        """Take over the agents' rows; they may be granted from now on."""
        self.roster.loaded(agents, self._reader.store_time)

    def on_job_rows(self, jobs: list[Row], ends: list[Row]) -> None:
        """Take over all stored rows."""
        self.unreported = set(self.roster.agents)
        self.locations.loaded()
        end_by_job = {row.row_key.key: row for row in ends}
        for row in jobs:
            if is_job_key(row.row_key.key):
                self._inherit(row, end_by_job.get(row.row_key.key))
        self.is_loaded = True
        log_event(
            Event.SHARD_ACQUIRED,
            shard=self.shard,
            reign=self.epoch,
            jobs=len(self.by_job),
            unheard=len(self.unreported),
        )
        for early in self._early:
            self.add(early)
        self._events.on_loaded()

    def forget_ended(self, before_ms: float) -> None:
        """Remove jobs that ended before this time (since 1970)."""
        ended = [
            record.job.job_id
            for record in self.by_job.values()
            if record.state.is_final
            and 0 < record.progress.ended_ms < before_ms
        ][:_MAX_FORGOTTEN]
        if not ended:
            return
        removals = [
            place
            for job_id in ended
            for place in (
                job_key(job_id),
                cancel_key(job_id),
                progress_key(job_id),
            )
        ]
        removing = self._store.commit(
            Transaction((self._check,), (), tuple(removals)),
        )
        removing.addCallbacks(self._forgotten, _later, callbackArgs=(ended,))

    def _forgotten(self, outcome: object, ended: list[str]) -> None:
        if isinstance(outcome, Committed):
            for job_id in ended:
                self.by_job.pop(job_id, None)

    def _read_job(self, row: Row) -> JobRow | None:
        """Read a job, None if the row holds none or another one's.

        A job taken from a second row would begin anew without its progress.
        """
        job_row = self._odd.parse(JobRow.from_text, row)
        if job_row is None or job_row.job.job_id == row.row_key.key:
            return job_row
        self._odd.log_malformed(row, 'job: the row of another one')
        return None

    def _inherit(self, row: Row, ends: Row | None) -> None:
        """Take over a job, unless it is not known what of it is done.

        Begun anew, its done tasks would run a second time. It stays in the
        store and waits for an owner that can read its progress.
        """
        job_row = self._read_job(row)
        if job_row is None:
            return
        progress = None
        if ends is not None:
            progress = self._odd.parse(ProgressRow.from_text, ends)
            if progress is None:
                self._unclear.add(row.row_key.key)
                return
        record = JobRecord.from_row(
            job_row,
            self.epoch,
            is_inherited=True,
            progress=progress,
        )
        record.version = ends.version if ends else 0
        self._keep(record)

    def _keep(self, record: JobRecord) -> None:
        self.by_job[record.job.job_id] = record
        if record.final_state is None:
            self._live[record.job.job_id] = record


def _later(failure: TwistedFailure) -> None:
    """The next turn tries again."""
    failure.trap(StoreRefused, StoreUncertain)
