"""Callers' requests about jobs, answered from the store and the owners."""

from dataclasses import dataclass
from typing import Any, Callable, Final

from result import Err, Ok
from twisted.internet.defer import Deferred, inlineCallbacks

from hyssopring.clock import MILLIS_PER_SECOND, Clock
from hyssopring.errors import ErrorKind, Failure
from hyssopring.jobs.deadlines import answer_by
from hyssopring.jobs.documents import JobRow, ProgressRow, MalformedRowError
from hyssopring.jobs.entry_membership import EntryMembership
from hyssopring.jobs.messages import (
    CancelNotice,
    JobNotice,
    JobStateRequest,
    JobsMessage,
    PendingJobsRequest,
)
from hyssopring.jobs.model import Job, JobState
from hyssopring.jobs.owned_shards import OwnedShards
from hyssopring.jobs.peer_requests import PeerTransport, PeerRequests
from hyssopring.jobs.row_keys import cancel_key, job_key, progress_key
from hyssopring.jobs.rows import (
    Committed,
    RowCheck,
    RowKey,
    RowPut,
    RowStore,
    StoreRefused,
    StoreUncertain,
    Transaction,
)
from hyssopring.jobs.shards import SHARD_COUNT, shard_of
from hyssopring.logs import Event, log_event

__all__ = ('JobApi',)

_PENDING_AGE_MS: Final = 1000.0
_RETRY_MS: Final = 100.0


@dataclass(slots=True)
class _Pending:
    """How many jobs of a queue wait, and when that was known."""

    waiting: int
    at: float


class JobApi:
    """Accepts jobs and cancellations, and says how jobs stand."""

    def __init__(
        self,
        reactor: Any,
        clock: Clock,
        wall_ms: Callable[[], float],
        store: RowStore,
        membership: EntryMembership,
        shards: OwnedShards,
        peers: PeerTransport,
        questions: PeerRequests,
    ) -> None:
        """Store jobs in ``store`` and tell their owners by ``peers``."""
        self._reactor = reactor
        self._clock = clock
        self._wall_ms = wall_ms
        self._store = store
        self._membership = membership
        self._shards = shards
        self._peers = peers
        self._questions = questions
        self._pending_by_queue: dict[str, _Pending] = {}

    def submit(self, job: Job, until: float) -> Any:
        """Store a job.

        Args:
            job: What was handed in.
            until: When the caller is answered at the latest, by the clock.
                The store may hold a call for seconds; another entry may be
                served at once, where the caller can hand the job in again.

        Returns:
            A deferred ``Result``: Ok once the job is stored, however often
            it was handed in; else a failure that says whether it may be.
        """
        seconds = (until - self._clock.now()) / MILLIS_PER_SECOND
        late = Failure(ErrorKind.OUTCOME_UNKNOWN, 'the store is too slow')
        working = self._submit(job, until)
        return answer_by(self._reactor, working, seconds, Err(late))

    @inlineCallbacks
    def _submit(self, job: Job, until: float) -> Any:
        row = JobRow(job, self._wall_ms())
        place = job_key(job.job_id)
        transaction = Transaction(
            (RowCheck(place, 0),),
            (RowPut(place, row.to_text()),),
        )
        outcome = yield self._commit(transaction, until)
        if outcome.is_err():
            return outcome
        if isinstance(outcome.unwrap(), Committed):
            self._deliver(row)
            log_event(
                Event.JOB_ACCEPTED,
                job=job.job_id,
                queue=job.queue.name,
                tasks=sum(step.count for step in job.steps),
            )
        return Ok(None)

    @inlineCallbacks
    def cancel(self, job_id: str, until: float) -> Any:
        """Cancel a job; a deferred ``Result`` with whether it exists."""
        place = job_key(job_id)
        try:
            row = yield self._store.read_one(place)
        except (StoreRefused, StoreUncertain) as error:
            return Err(_unavailable(error))
        if row is None:
            return Ok(False)  # noqa: FBT003, WPS425 -- is not known
        outcome = yield self._commit(
            Transaction(
                (RowCheck(place, row.version),),
                (RowPut(cancel_key(job_id), 'x'),),
            ),
            until,
        )
        if outcome.is_err():
            return outcome
        log_event(Event.TASK_CANCELLED, job=job_id)
        self._shards.cancel(job_id)
        self._tell_owner(shard_of(job_id), CancelNotice(job_id))
        return Ok(True)  # noqa: FBT003, WPS425 -- is known

    @inlineCallbacks
    def state(self, job_id: str) -> Any:
        """Return a deferred ``Result`` with the state, None if unknown."""
        state = self._shards.state_of(job_id)
        if state is None:
            state = yield self._ask_state(job_id)
        if state is not None:
            return Ok(state)
        stored = yield self._stored(job_id)
        return stored  # noqa: WPS331 -- a yield is no return value

    @inlineCallbacks
    def pending(self, queue: str) -> Any:
        """Count a queue's jobs without a start; may be a second old.

        Returns:
            A deferred ``Result``: a failure while a shard has no owner that
            knows its jobs. Counted as none, they would seem to be gone.
        """
        known = self._pending_by_queue.get(queue)
        now = self._clock.now()
        if known is not None and now - known.at < _PENDING_AGE_MS:
            return Ok(known.waiting)
        waiting = self._shards.waiting(queue)
        missing = set(range(SHARD_COUNT)) - set(self._shards.counted())

        def question(number: int) -> JobsMessage:  # noqa: WPS430 -- for each
            return PendingJobsRequest(number, queue)

        owners = {self._membership.owner_of(shard) for shard in missing}
        for entry_id in owners:
            answer = yield self._questions.ask(entry_id, question)
            if answer is not None:
                waiting += answer.waiting
                missing -= set(answer.shards)
        if missing:
            return Err(Failure(ErrorKind.STORE_UNAVAILABLE, 'no owner counts'))
        self._pending_by_queue[queue] = _Pending(waiting, now)
        return Ok(waiting)

    @inlineCallbacks
    def _commit(self, transaction: Transaction, until: float) -> Any:
        """Commit, again while it is in doubt; a deferred ``Result``.

        A transaction in doubt is repeated: its own check shows whether the
        first copy was carried out.
        """
        doubt: Failure | None = None
        while True:
            try:
                outcome = yield self._store.commit(transaction)
            except StoreUncertain as error:
                doubt = _unavailable(error)
            except StoreRefused as error:
                if doubt is None:
                    return Err(_unavailable(error))
            else:
                return Ok(outcome)
            if self._clock.now() >= until:
                return Err(doubt)
            yield _pause(self._reactor)

    def _deliver(self, row: JobRow) -> None:
        shard = shard_of(row.job.job_id)
        if shard in self._shards.by_shard:
            self._shards.accept(row)
        else:
            self._tell_owner(shard, JobNotice(row.job.job_id, row.to_text()))

    def _tell_owner(self, shard: int, message: JobsMessage) -> None:
        """Tell the owner; if this fails, it finds the row by itself."""
        entry_id = self._membership.owner_of(shard)
        if entry_id:
            self._peers.to_entry(entry_id, message)

    @inlineCallbacks
    def _ask_state(self, job_id: str) -> Any:
        entry_id = self._membership.owner_of(shard_of(job_id))
        answer = yield self._questions.ask(
            entry_id,
            lambda number: JobStateRequest(number, job_id),
        )
        if answer is None or not answer.state:
            return None
        return JobState(answer.state)

    @inlineCallbacks
    def _read_all(self, *places: RowKey) -> Any:
        rows = []
        for place in places:
            row = yield self._store.read_one(place)
            rows.append(row)
        return rows

    @inlineCallbacks
    def _stored(self, job_id: str) -> Any:
        """Read a job's state from the store, a deferred ``Result``."""
        try:
            rows = yield self._read_all(
                job_key(job_id),
                progress_key(job_id),
                cancel_key(job_id),
            )
        except (StoreRefused, StoreUncertain) as error:
            return Err(_unavailable(error))
        row, progress, cancelled = rows
        if row is None:
            return Ok(None)
        try:
            known = ProgressRow.from_text(progress.text) if progress else None
        except MalformedRowError as error:
            return Err(Failure(ErrorKind.STORE_UNAVAILABLE, str(error)))
        if known is not None and known.state:
            return Ok(JobState(known.state))
        if cancelled is not None:
            return Ok(JobState.CANCELLED)
        return Ok(JobState.ACTIVE if known else JobState.QUEUED)


def _unavailable(error: Exception) -> Failure:
    if isinstance(error, StoreUncertain):
        return Failure(ErrorKind.OUTCOME_UNKNOWN, str(error))
    return Failure(ErrorKind.STORE_UNAVAILABLE, str(error))


def _pause(reactor: Any) -> Deferred:
    paused: Deferred = Deferred()
    reactor.callLater(_RETRY_MS / MILLIS_PER_SECOND, paused.callback, None)
    return paused
