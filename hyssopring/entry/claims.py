"""Claims: which request runs under a caller's idempotency key, and where.

Before a keyed request that is not idempotent is sent, a row under its key
names the request id and the run of the agent that will have it. Whoever comes
with the same key later, through any entry, finds the row and asks that agent.

Guards:
* A key is looked for in three days' buckets, so a request that comes again
  after midnight, or at an entry whose calendar differs by a day, finds it.
* A claim that is no longer needed is marked released, never deleted: versions
  start again after a deletion, and a compare-and-set that was read before it
  would take a stranger's claim. The cleaner deletes rows days later.
* Claims of many requests go in one transaction, one in flight; on a conflict
  only those in conflict are split off.
* A commit that hangs is waited for no longer than callers can bear. Nothing
  was sent, so "not run" is certain; a claim that took effect late is released.
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

_BATCH = 128
_MAX_WAITING = 2000
# Between two commits; what comes meanwhile goes together, at the next tick.
# With a fast table each claim would else be a transaction of its own, and a
# few entries would take all of its several hundred writes a second.
_PACE_MS = 15.0
_PATIENCE_MS = 500.0
_PROBE_MS = 500.0
_HASH_DIGITS = 40
_SLICE_DIGITS = 2
_PROBE_KEY = 'claims/probe'


@dataclass(frozen=True, slots=True)
class Claim:
    """The request that runs under a key.

    Attributes:
        after: The agent's last heartbeat heard before the claim.
        digest: Of the request's content, to refuse another under its key.
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
    """A claim as it stands in the table."""

    key: str
    version: int
    claim: Claim


@dataclass(frozen=True, slots=True)
class Claimed:
    """The claim is in the table; its request may be sent."""

    row: ClaimRow


@dataclass(frozen=True, slots=True)
class Taken:
    """Another request runs, or ran, under the key."""

    row: ClaimRow


ClaimCallback = Callable[[Result[Claimed | Taken, Failure]], None]


@dataclass(slots=True)
class _Write:
    row_key: str
    checks: tuple[Check, ...]
    claim: Claim | None
    done: ClaimCallback | None = None

    @property
    def subject(self) -> str:
        """What two writes of one transaction must differ in."""
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
        """Take the store and the calendar, in days since any origin."""
        self._clock = clock
        self._store = store
        self._today = today
        self._metrics = metrics
        self._waiting: deque[_Write] = deque()
        self._in_flight: list[_Write] = []
        self._sent_at = clock.now() - _PACE_MS
        self._probed_at: float = 0
        self.is_down = False

    @property
    def is_busy(self) -> bool:
        """Whether a commit may hang, or an outage may end."""
        return bool(self._in_flight or self._waiting or self.is_down)

    def insert(
        self,
        service_name: str,
        key: str,
        claim: Claim,
        done: ClaimCallback,
    ) -> None:
        """Claim a key unless another request has it."""
        text = f'{service_name}\n{key}'
        name = hashlib.sha256(text.encode()).hexdigest()[:_HASH_DIGITS]
        today = self._today()
        buckets = [
            f'claims/{day}/{name[:_SLICE_DIGITS]}/{name}'
            for day in (today, today - 1, today + 1)
        ]
        absent = tuple(Check(bucket, 0) for bucket in buckets)
        self._add(_Write(buckets[0], absent, claim, done))

    def move(self, row: ClaimRow, claim: Claim, done: ClaimCallback) -> None:
        """Replace a claim whose request is certain never to run."""
        checks = (Check(row.key, row.version),)
        self._add(_Write(row.key, checks, claim, done))

    def release(self, row: ClaimRow) -> None:
        """Free a key whose request is certain never to run; best effort."""
        if len(self._waiting) < _MAX_WAITING and not self.is_down:
            checks = (Check(row.key, row.version),)
            self._waiting.append(_Write(row.key, checks, None))
            self._flush()

    def tick(self) -> None:
        """Give up a commit that hangs; look whether an outage is over."""
        now = self._clock.now()
        if self._in_flight and now - self._sent_at > _PATIENCE_MS:
            self._fail_all(Failure(ErrorKind.STORE_UNAVAILABLE, 'no answer'))
        self._flush()
        if self.is_down and now - self._probed_at > _PROBE_MS:
            self._probed_at = now
            self._store.read(_PROBE_KEY, self._probed)

    def _probed(self, answer: Result[object, Failure]) -> None:
        if answer.is_ok():
            self.is_down = False

    def _add(self, write: _Write) -> None:
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
        age = self._clock.now() - self._sent_at
        if self._in_flight or not self._waiting or age < _PACE_MS:
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
            lambda answer: self._committed(batch, answer),
        )

    def _next_batch(self) -> list[_Write]:
        """Take waiting writes, of each key the earliest only."""
        batch: dict[str, _Write] = {}
        later: list[_Write] = []
        while self._waiting and len(batch) < _BATCH:
            write = self._waiting.popleft()
            if write.subject in batch:
                later.append(write)
            else:
                batch[write.subject] = write
        self._waiting.extendleft(reversed(later))
        return list(batch.values())

    def _committed(
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
                self._took_effect(write, outcome, is_current)
        elif is_current:
            self._split(batch, outcome)
        self._flush()

    def _took_effect(
        self,
        write: _Write,
        outcome: Committed,
        is_current: bool,
    ) -> None:
        version = outcome.version_by_key.get(write.row_key)
        if write.claim is None:
            return
        if version is None:
            # Committed by an earlier copy, and changed by others since.
            self._store.read(
                write.row_key,
                lambda answer: self._read_again(write, answer),
            )
            return
        row = ClaimRow(write.row_key, version, write.claim)
        if is_current:
            write.finish(Ok(Claimed(row)))
        else:
            # Its caller was told "not run" when the commit hung.
            self.release(row)

    def _read_again(
        self,
        write: _Write,
        answer: Result[Iterable[Row], Failure],
    ) -> None:
        if isinstance(answer, Err):
            write.finish(Err(answer.err_value))
            return
        rows = [row for row in answer.ok_value if row.key == write.row_key]
        self._conflicted(write, rows)
        self._flush()

    def _split(self, batch: list[_Write], conflict: Conflict) -> None:
        row_by_key = {row.key: row for row in conflict.rows}
        again: list[_Write] = []
        for write in batch:
            rows = [
                row_by_key[check.key]
                for check in write.checks
                if check.key in row_by_key
            ]
            if rows:
                self._conflicted(write, rows)
            else:
                again.append(write)
        self._waiting.extendleft(reversed(again))

    def _conflicted(self, write: _Write, rows: list[Row]) -> None:
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
        own = write.claim is not None and write.claim == row.claim
        write.finish(Ok(Claimed(row) if own else Taken(row)))

    def _fail_all(self, failure: Failure) -> None:
        self.is_down = True
        self._probed_at = self._clock.now()
        writes = [*self._in_flight, *self._waiting]
        self._in_flight = []
        self._waiting.clear()
        for write in writes:
            write.finish(Err(failure))
