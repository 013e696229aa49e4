"""Submission, cancellation and state of jobs, for callers of this entry."""

from dataclasses import dataclass
from typing import Any, Callable, Final

from result import Err, Ok
from twisted.internet.defer import Deferred, inlineCallbacks

from hyssopring.clock import MILLIS_PER_SECOND, Clock
from hyssopring.errors import ErrorKind, Failure
from hyssopring.jobs.deadlines import answer_by
from hyssopring.jobs.documents import JobRow, MalformedRowError, ProgressRow
from hyssopring.jobs.entry_membership import EntryMembership
from hyssopring.jobs.messages import (
    JobNotice,
    JobsMessage,
    JobStateRequest,
    PendingJobsRequest,
)
from hyssopring.jobs.model import Job, JobState
from hyssopring.jobs.owned_shards import OwnedShards
from hyssopring.jobs.peer_requests import PeerRequests, PeerTransport
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

_PENDING_MAX_AGE_MS: Final = 1000.0
_RETRY_MS: Final = 100.0


@dataclass(slots=True)
class _PendingCount:
    """The number of waiting jobs of a queue, and when they were counted."""

    waiting: int
    counted_at: float


class JobApi:
    """Accepts jobs and cancellations, and returns the state of jobs.

    Attributes:
        on_cancelled: Called with each job whose cancellation is durable.
    """

    def __init__(
        self,
        reactor: Any,
        clock: Clock,
        wall_ms: Callable[[], float],
        store: RowStore,
        membership: EntryMembership,
        shards: OwnedShards,
        peers: PeerTransport,
        requests: PeerRequests,
        zone: str = '',
    ) -> None:
        """Create the API; it notifies owners of jobs by ``peers``.

        Args:
            zone: The availability zone of this entry.
        """
        self._zone = zone
        self._reactor = reactor
        self._clock = clock
        self._wall_ms = wall_ms
        self._store = store
        self._membership = membership
        self._shards = shards
        self._peers = peers
        self._requests = requests
        self._pending_by_queue: dict[str, _PendingCount] = {}
        self.on_cancelled: Callable[[str], None] = shards.cancel

    def submit(self, job: Job, until_ms: float) -> Any:
        """Store a job.

        Args:
            job: The job.
            until_ms: The deadline of the response, by the clock. The store
                may hold a call for seconds, while another entry to which the
                caller can submit the job again may be served at once.

        Returns:
            A deferred ``Result``: Ok once the job is stored, also if it was
            submitted before; else a failure whose kind says whether it may
            still be stored.
        """
        seconds = (until_ms - self._clock.now()) / MILLIS_PER_SECOND
        timeout_failure = Failure(
            ErrorKind.OUTCOME_UNKNOWN, 'the store is too slow'
        )
        submitting = self._submit(job, until_ms)
        return answer_by(
            self._reactor, submitting, seconds, Err(timeout_failure)
        )

    @inlineCallbacks
    def _submit(self, job: Job, until_ms: float) -> Any:
        row = JobRow(job, self._wall_ms(), self._zone)
        row_key = job_key(job.job_id)
        transaction = Transaction(
            (RowCheck(row_key, 0),),
            (RowPut(row_key, row.to_text()),),
        )
        outcome = yield self._commit(transaction, until_ms)
        if outcome.is_err():
            return outcome
        if isinstance(outcome.unwrap(), Committed):
            self._notify_owner(row)
            log_event(
                Event.JOB_ACCEPTED,
                job=job.job_id,
                queue=job.queue.name,
                tasks=sum(step.count for step in job.steps),
                lasting=any(step.is_keeper for step in job.steps),
                slack=job.queue.slack_factor,
                target_ms=job.queue.target_ms,
            )
        return Ok(None)

    @inlineCallbacks
    def cancel(self, job_id: str, until_ms: float) -> Any:
        """Cancel a job; return a deferred ``Result`` with whether it exists."""
        row_key = job_key(job_id)
        try:
            row = yield self._store.read_one(row_key)
        except (StoreRefused, StoreUncertain) as error:
            return Err(_unavailable(error))
        if row is None:
            return Ok(False)  # noqa: FBT003, WPS425 -- no such job
        outcome = yield self._commit(
            Transaction(
                (RowCheck(row_key, row.version),),
                (RowPut(cancel_key(job_id), 'x'),),
            ),
            until_ms,
        )
        if outcome.is_err():
            return outcome
        if not isinstance(outcome.unwrap(), Committed):
            # The job has ended, and its rows were removed after the read.
            return Ok(False)  # noqa: FBT003, WPS425 -- no such job
        log_event(Event.TASK_CANCELLED, job=job_id)
        self.on_cancelled(job_id)
        return Ok(True)  # noqa: FBT003, WPS425 -- the job exists

    @inlineCallbacks
    def state(self, job_id: str) -> Any:
        """Return a deferred ``Result`` with a job's state, None if unknown."""
        state = self._shards.state_of(job_id)
        if state is None:
            state = yield self._request_state(job_id)
        if state is not None:
            return Ok(state)
        stored = yield self._stored(job_id)
        return stored  # noqa: WPS331 -- the result of a yield

    @inlineCallbacks
    def pending(self, queue: str) -> Any:
        """Count the jobs of a queue without a start; may be a second old.

        Returns:
            A deferred ``Result`` with the count. A failure while a shard has
            no owner that has loaded its jobs, as a count without them would
            be too low.
        """
        cached = self._pending_by_queue.get(queue)
        now_ms = self._clock.now()
        if (
            cached is not None
            and now_ms - cached.counted_at < _PENDING_MAX_AGE_MS
        ):
            return Ok(cached.waiting)
        waiting = self._shards.count_queued(queue)
        missing = set(range(SHARD_COUNT)) - set(self._shards.loaded_shards())

        def build_request(number: int) -> JobsMessage:  # noqa: WPS430
            return PendingJobsRequest(number, queue)

        owners = {self._membership.owner_of(shard) for shard in missing}
        for entry_id in owners:
            response = yield self._requests.ask(entry_id, build_request)
            if response is not None:
                waiting += response.waiting
                missing -= set(response.shards)
        if missing:
            return Err(Failure(ErrorKind.STORE_UNAVAILABLE, 'no owner counts'))
        self._pending_by_queue[queue] = _PendingCount(waiting, now_ms)
        return Ok(waiting)

    @inlineCallbacks
    def _commit(self, transaction: Transaction, until_ms: float) -> Any:
        """Commit a transaction; retry while its outcome is unknown.

        Its own row check makes a repeated commit safe and shows whether the
        first copy was applied.

        Returns:
            A deferred ``Result`` with the outcome.
        """
        unknown_outcome: Failure | None = None
        while True:
            try:
                outcome = yield self._store.commit(transaction)
            except StoreUncertain as error:
                unknown_outcome = _unavailable(error)
            except StoreRefused as error:
                if unknown_outcome is None:
                    return Err(_unavailable(error))
            else:
                return Ok(outcome)
            if self._clock.now() >= until_ms:
                return Err(unknown_outcome)
            yield _retry_delay(self._reactor)

    def _notify_owner(self, row: JobRow) -> None:
        shard = shard_of(row.job.job_id)
        if shard in self._shards.by_shard:
            self._shards.accept(row)
        else:
            self._send_to_owner(shard, JobNotice(row.job.job_id, row.to_text()))

    def _send_to_owner(self, shard: int, message: JobsMessage) -> None:
        """Send a notice to the owner, which polls for rows if it is lost."""
        entry_id = self._membership.owner_of(shard)
        if entry_id:
            self._peers.send_to_entry(entry_id, message)

    @inlineCallbacks
    def _request_state(self, job_id: str) -> Any:
        entry_id = self._membership.owner_of(shard_of(job_id))
        response = yield self._requests.ask(
            entry_id,
            lambda number: JobStateRequest(number, job_id),
        )
        if response is None or not response.state:
            return None
        return JobState(response.state)

    @inlineCallbacks
    def _read_all(self, *row_keys: RowKey) -> Any:
        rows = []
        for row_key in row_keys:
            row = yield self._store.read_one(row_key)
            rows.append(row)
        return rows

    @inlineCallbacks
    def _stored(self, job_id: str) -> Any:
        """Return a deferred ``Result`` with a job's state in the store."""
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
            stored_progress = (
                ProgressRow.from_text(progress.text) if progress else None
            )
        except MalformedRowError as error:
            return Err(Failure(ErrorKind.STORE_UNAVAILABLE, str(error)))
        if stored_progress is not None and stored_progress.state:
            return Ok(JobState(stored_progress.state))
        if cancelled is not None:
            return Ok(JobState.CANCELLED)
        return Ok(JobState.ACTIVE if stored_progress else JobState.QUEUED)


def _unavailable(error: Exception) -> Failure:
    if isinstance(error, StoreUncertain):
        return Failure(ErrorKind.OUTCOME_UNKNOWN, str(error))
    return Failure(ErrorKind.STORE_UNAVAILABLE, str(error))


def _retry_delay(reactor: Any) -> Deferred:
    paused: Deferred = Deferred()
    reactor.callLater(_RETRY_MS / MILLIS_PER_SECOND, paused.callback, None)
    return paused
