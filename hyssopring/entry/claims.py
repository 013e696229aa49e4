"""Claims of idempotency keys: which request runs under a key, and where.

Before a keyed request that is not idempotent is sent, a row under its key
records the request id and the agent incarnation that will receive it. A later
request with the same key, at any entry, finds the row and queries that agent.

* A key is checked under the row keys of three days, so that a request repeated
  after midnight, or at an entry whose calendar differs by a day, finds it.
* A claim that is no longer needed is marked as released, never deleted:
  versions restart after a deletion, so a compare-and-set with a version read
  before it could overwrite another request's claim. The cleaner deletes rows
  days later.
* The claims of many requests share a transaction, with one in flight. After a
  conflict, only the claims in conflict are handled separately.
* A commit has a short timeout. The requests whose claims it would store were
  not sent, so they certainly did not run; a claim that takes effect after the
  timeout is released.
"""

import hashlib
from collections import deque
from dataclasses import asdict, dataclass
from typing import Callable, Iterable

from result import Err, Ok, Result

from hyssopring.clock import Clock
from hyssopring.errors import ErrorKind, Failure
from hyssopring.metrics import Metrics
from hyssopring.store import Check, Committed, Conflict, Put, Row, Store
from hyssopring.store import Transaction

__all__ = ('Claim', 'ClaimRow', 'ClaimTable', 'Claimed', 'Taken')

_MAX_BATCH_SIZE = 128
_MAX_WAITING = 2000
# Minimum interval between commits; claims that arrive in between share the
# next one. Otherwise, with a fast table, each claim would be a transaction,
# and a few entries would use up its several hundred writes per second.
_COMMIT_INTERVAL_MS = 15.0
_COMMIT_TIMEOUT_MS = 500.0
_PROBE_INTERVAL_MS = 500.0
_HASH_DIGITS = 40
_SLICE_DIGITS = 2
_PROBE_KEY = 'claims/probe'


@dataclass(frozen=True, slots=True)
class Claim:
    """The request that runs under a key.

    Attributes:
        request_id: The request that has the key.
        agent_id: The agent that receives the request.
        incarnation: The incarnation of that agent.
        after: Sequence number of the agent's last heartbeat received before
            the claim.
        digest: Digest of the request's content, which tells a repeated
            request from another one under the same key.
    """

    request_id: str
    agent_id: str
    incarnation: str
    after: int
    digest: str

    @classmethod
    def from_row(cls, row: Row) -> 'Claim | None':
        """Return the claim in a row, None if it is absent or released."""
        if not row.version or row.document.get('released'):
            return None
        return cls(**row.document['claim'])


@dataclass(frozen=True, slots=True)
class ClaimRow:
    """A claim as stored in the table; ``key`` is its row's key."""

    key: str
    version: int
    claim: Claim


@dataclass(frozen=True, slots=True)
class Claimed:
    """The claim is stored; its request may be sent."""

    row: ClaimRow


@dataclass(frozen=True, slots=True)
class Taken:
    """Another request has claimed the key; ``row`` is its claim."""

    row: ClaimRow


ClaimCallback = Callable[[Result[Claimed | Taken, Failure]], None]


@dataclass(slots=True)
class _Write:
    """A claim to store, or a release if ``claim`` is None."""

    row_key: str
    checks: tuple[Check, ...]
    claim: Claim | None
    done: ClaimCallback | None = None

    @property
    def key_digest(self) -> str:
        """The key's digest, which is unique within a transaction."""
        return self.row_key.rpartition('/')[2]

    def put(self) -> Put:
        if self.claim is None:
            return Put(self.row_key, {'released': True})
        return Put(self.row_key, {'claim': asdict(self.claim)})

    def finish(self, answer: Result[Claimed | Taken, Failure]) -> None:
        if self.done is not None:
            done = self.done
            self.done = None
            done(answer)


class ClaimTable:
    """Inserts, moves and releases claims in the platform's table."""

    def __init__(
        self,
        clock: Clock,
        store: Store,
        today: Callable[[], int],
        metrics: Metrics,
    ) -> None:
        """Start without claims.

        Args:
            clock: The clock for timeouts.
            store: The table service.
            today: Returns the number of the current day, from any origin.
            metrics: Receives counts of commits and writes.
        """
        self._clock = clock
        self._store = store
        self._today = today
        self._metrics = metrics
        self._waiting: deque[_Write] = deque()
        self._in_flight: list[_Write] = []
        self._sent_at = clock.now() - _COMMIT_INTERVAL_MS
        self._probed_at: float = 0
        self.is_down = False

    @property
    def is_busy(self) -> bool:
        """Whether ``tick`` has a commit, a claim or an outage to check."""
        return bool(self._in_flight or self._waiting or self.is_down)

    def insert(
        self,
        service_name: str,
        key: str,
        claim: Claim,
        done: ClaimCallback,
    ) -> None:
        """Claim a key unless another request has claimed it.

        Args:
            service_name: The service, which is part of the claimed key.
            key: The caller's idempotency key.
            claim: The claim to store.
            done: Called once with the outcome.
        """
        scoped_key = f'{service_name}\n{key}'
        digest = hashlib.sha256(scoped_key.encode()).hexdigest()[:_HASH_DIGITS]
        today = self._today()
        row_keys = [
            f'claims/{day}/{digest[:_SLICE_DIGITS]}/{digest}'
            for day in (today, today - 1, today + 1)
        ]
        absent = tuple(Check(row_key, 0) for row_key in row_keys)
        self._enqueue(_Write(row_keys[0], absent, claim, done))

    def move(self, row: ClaimRow, claim: Claim, done: ClaimCallback) -> None:
        """Replace a claim whose request certainly never runs."""
        checks = (Check(row.key, row.version),)
        self._enqueue(_Write(row.key, checks, claim, done))

    def release(self, row: ClaimRow) -> None:
        """Release a key whose request certainly never runs; best effort."""
        if len(self._waiting) < _MAX_WAITING and not self.is_down:
            checks = (Check(row.key, row.version),)
            self._waiting.append(_Write(row.key, checks, None))
            self._flush()

    def tick(self) -> None:
        """Time out a commit; probe whether an outage has ended."""
        now_ms = self._clock.now()
        if self._in_flight and now_ms - self._sent_at > _COMMIT_TIMEOUT_MS:
            self._fail_all(
                Failure(
                    ErrorKind.STORE_UNAVAILABLE,
                    'no answer',
                )
            )
        self._flush()
        if self.is_down and now_ms - self._probed_at > _PROBE_INTERVAL_MS:
            self._probed_at = now_ms
            self._store.read(_PROBE_KEY, self._on_probe)

    def _on_probe(self, answer: Result[object, Failure]) -> None:
        if answer.is_ok():
            self.is_down = False

    def _enqueue(self, write: _Write) -> None:
        if self.is_down:
            failure = Failure(ErrorKind.STORE_UNAVAILABLE, 'the store is down')
            write.finish(Err(failure))
        elif len(self._waiting) >= _MAX_WAITING:
            failure = Failure(ErrorKind.OVERLOADED, 'too many claims wait')
            write.finish(Err(failure))
        else:
            self._waiting.append(write)
            self._flush()

    def _flush(self) -> None:
        elapsed_ms = self._clock.now() - self._sent_at
        if (
            self._in_flight
            or not self._waiting
            or elapsed_ms < _COMMIT_INTERVAL_MS
        ):
            return
        batch = self._next_batch()
        self._in_flight = batch
        self._sent_at = self._clock.now()
        self._metrics.count('claim_commits_total')
        self._metrics.count('claim_writes_total', len(batch))
        self._store.commit(
            Transaction(
                tuple(check for write in batch for check in write.checks),
                tuple(write.put() for write in batch),
            ),
            lambda answer: self._on_commit(batch, answer),
        )

    def _next_batch(self) -> list[_Write]:
        """Remove the next writes from the queue, the earliest of each key."""
        batch: dict[str, _Write] = {}
        later: list[_Write] = []
        while self._waiting and len(batch) < _MAX_BATCH_SIZE:
            write = self._waiting.popleft()
            if write.key_digest in batch:
                later.append(write)
            else:
                batch[write.key_digest] = write
        self._waiting.extendleft(reversed(later))
        return list(batch.values())

    def _on_commit(
        self,
        batch: list[_Write],
        answer: Result[Committed | Conflict, Failure],
    ) -> None:
        is_current = self._in_flight is batch
        if is_current:
            self._in_flight = []
        if isinstance(answer, Err):
            if is_current:
                self._in_flight = batch
                self._fail_all(answer.err_value)
            return
        self.is_down = False
        outcome = answer.ok_value
        if isinstance(outcome, Committed):
            for write in batch:
                self._finish_committed(write, outcome, is_current)
        elif is_current:
            self._resolve_conflicts(batch, outcome)
        self._flush()

    def _finish_committed(
        self,
        write: _Write,
        outcome: Committed,
        is_current: bool,
    ) -> None:
        version = outcome.version_by_key.get(write.row_key)
        if write.claim is None:
            return
        if version is None:
            # Committed by an earlier transmission, and changed by others since.
            self._store.read(
                write.row_key,
                lambda answer: self._on_reread(write, answer),
            )
            return
        row = ClaimRow(write.row_key, version, write.claim)
        if is_current:
            write.finish(Ok(Claimed(row)))
        else:
            # The caller received "not run" when the commit timed out.
            self.release(row)

    def _on_reread(
        self,
        write: _Write,
        answer: Result[Iterable[Row], Failure],
    ) -> None:
        if isinstance(answer, Err):
            write.finish(Err(answer.err_value))
            return
        rows = [row for row in answer.ok_value if row.key == write.row_key]
        self._resolve_conflict(write, rows)
        self._flush()

    def _resolve_conflicts(
        self, batch: list[_Write], conflict: Conflict
    ) -> None:
        row_by_key = {row.key: row for row in conflict.rows}
        unaffected: list[_Write] = []
        for write in batch:
            rows = [
                row_by_key[check.key]
                for check in write.checks
                if check.key in row_by_key
            ]
            if rows:
                self._resolve_conflict(write, rows)
            else:
                unaffected.append(write)
        self._waiting.extendleft(reversed(unaffected))

    def _resolve_conflict(self, write: _Write, rows: list[Row]) -> None:
        for row in rows:
            claim = Claim.from_row(row)
            if claim is not None:
                self._finish_taken(write, ClaimRow(row.key, row.version, claim))
                return
        if write.claim is None:
            return
        released = [row for row in rows if row.version]
        if released:
            write.row_key = released[0].key
            write.checks = (Check(released[0].key, released[0].version),)
            self._waiting.append(write)
            return
        failure = Failure(ErrorKind.CONFLICT, 'the claim has expired')
        write.finish(Err(failure))

    def _finish_taken(self, write: _Write, row: ClaimRow) -> None:
        is_own = write.claim is not None and write.claim == row.claim
        write.finish(Ok(Claimed(row) if is_own else Taken(row)))

    def _fail_all(self, failure: Failure) -> None:
        self.is_down = True
        self._probed_at = self._clock.now()
        writes = [*self._in_flight, *self._waiting]
        self._in_flight = []
        self._waiting.clear()
        for write in writes:
            write.finish(Err(failure))
