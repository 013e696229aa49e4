"""Queue of calls to the table service, independent of the transport.

- Bounded: the number of pending calls and their waiting time are limited;
  calls beyond the limit fail at once as not sent.
- Fair: kinds of rows are served round-robin, so a lease renewal never queues
  behind a thousand chunks.
- Rate limited: transactions are sent at a limited rate with few in flight;
  pending ones are merged into groups.
- Backoff: while the table does not respond, a single call is in flight, after
  an exponential backoff with jitter. Once it responds, the number in flight
  grows from one, which avoids a storm of retries.
"""

import random
from collections import OrderedDict, deque
from dataclasses import dataclass, field
from functools import partial
from typing import Callable, Protocol, Sequence

from result import Err, Ok, Result

from hyssopring.clock import Clock
from hyssopring.errors import ErrorKind, Failure
from hyssopring.logs import Event, log_event
from hyssopring.store.groups import Group, PendingCommit
from hyssopring.store.rows import (
    CommitCallback,
    Committed,
    Conflict,
    ReadCallback,
    Row,
    Transaction,
)

__all__ = ('StoreLimits', 'StoreQueue', 'Transport')

_TIMEOUT_GROWTH = 1.5
_TIMEOUT_DECAY = 0.9
_FAST_RESPONSE_FRACTION = 0.25


@dataclass(frozen=True, slots=True)
class StoreLimits:
    """Limits of the queue.

    Attributes:
        timeout_ms: Initial timeout of one request.
        max_timeout_ms: Largest timeout of one request; the timeout grows
            while the table is slow, so that slow responses are received.
        call_timeout_ms: Timeout of a call, with all retries.
        probe_min_ms: Largest backoff after the first failure; jitter
            reduces it by up to half.
        probe_max_ms: Largest backoff after any number of failures.
        max_pending: Largest number of unfinished calls.
        max_in_flight: Largest number of requests in flight.
        commits_per_s: Largest rate of transactions.
        max_merged: Largest number of transactions in a group.
    """

    timeout_ms: float = 2000
    max_timeout_ms: float = 5000
    call_timeout_ms: float = 6000
    probe_min_ms: float = 200
    probe_max_ms: float = 3000
    max_pending: int = 2000
    max_in_flight: int = 4
    commits_per_s: float = 150
    max_merged: int = 64


class Transport(Protocol):
    """Sends requests to the table; an error means no valid response."""

    def send_commit(
        self,
        group: Group,
        timeout_ms: float,
        done: Callable[[Result[Committed | Conflict, Failure]], None],
    ) -> None:
        """Send a group as one transaction."""

    def send_read(
        self,
        prefix: str,
        timeout_ms: float,
        done: ReadCallback,
    ) -> None:
        """Send a read of all rows under a prefix."""

    def call_later(self, delay_ms: float, action: Callable[[], None]) -> None:
        """Call ``action`` after ``delay_ms``."""


@dataclass(slots=True)
class _PendingRead:
    prefix: str
    deadline: float
    callbacks: list[ReadCallback] = field(default_factory=list)


class StoreQueue:
    """Queues, merges, rate-limits and retries calls to the table.

    Attributes:
        available: Whether the table responded to the last request.
        commits: Number of transactions sent.
        reads: Number of reads sent.
    """

    def __init__(
        self,
        clock: Clock,
        transport: Transport,
        rng: random.Random,
        limits: StoreLimits = StoreLimits(),
    ) -> None:
        """Initialize the queue; ``rng`` gives the jitter of the backoff."""
        self._clock = clock
        self._transport = transport
        self._rng = rng
        self._limits = limits
        self._queue_by_kind: OrderedDict[str, deque[PendingCommit]] = (
            OrderedDict()
        )
        self._read_by_prefix: OrderedDict[str, _PendingRead] = OrderedDict()
        self._retries: deque[Group] = deque()
        self._pending = 0
        self._in_flight = 0
        self._in_flight_limit = limits.max_in_flight
        self._failures = 0
        self._backoff_until: float = 0
        self._next_commit_at: float = 0
        self._wake_up_at: float = 0
        self._timeout_ms = limits.timeout_ms
        self._is_read_turn = False
        self.available = True
        self.commits = 0
        self.reads = 0

    def commit(self, transaction: Transaction, done: CommitCallback) -> None:
        """Commit a transaction.

        An ``Err`` of kind ``OUTCOME_UNKNOWN`` means that it may have been
        committed, of kind ``STORE_UNAVAILABLE`` that it was not.
        """
        if self._is_full():
            done(Err(_unavailable('too many store calls are waiting')))
            return
        kind = transaction.puts[0].key.partition('/')[0]
        deadline = self._clock.now() + self._limits.call_timeout_ms
        queue = self._queue_by_kind.setdefault(kind, deque())
        queue.append(PendingCommit(transaction, done, deadline))
        self._pending += 1
        self._dispatch()

    def read(self, prefix: str, done: ReadCallback) -> None:
        """Read all rows under a prefix; pending reads of it are merged."""
        if self._is_full():
            done(Err(_unavailable('too many store calls are waiting')))
            return
        pending_read = self._read_by_prefix.get(prefix)
        if pending_read is None:
            deadline = self._clock.now() + self._limits.call_timeout_ms
            pending_read = _PendingRead(prefix, deadline)
            self._read_by_prefix[prefix] = pending_read
        pending_read.callbacks.append(done)
        self._pending += 1
        self._dispatch()

    def _is_full(self) -> bool:
        return self._pending >= self._limits.max_pending

    def _dispatch(self) -> None:
        """Send what the limits allow; schedule a later call for the rest."""
        self._fail_expired()
        while self._in_flight < self._in_flight_limit:
            wait_ms = self._backoff_until - self._clock.now()
            if wait_ms > 0:
                self._schedule_dispatch(wait_ms)
                return
            if not self._send_next():
                return

    def _send_next(self) -> bool:
        """Send a read or a group, alternately; return False if none can go."""
        self._is_read_turn = not self._is_read_turn
        if self._read_by_prefix and (
            self._is_read_turn or not self._can_commit()
        ):
            _, pending_read = self._read_by_prefix.popitem(last=False)
            self._send_read(pending_read)
            return True
        if not self._can_commit():
            return False
        group = (
            self._retries.popleft() if self._retries else self._build_group()
        )
        self._send_commit(group)
        return True

    def _can_commit(self) -> bool:
        if not self._retries and not any(self._queue_by_kind.values()):
            return False
        wait_ms = self._next_commit_at - self._clock.now()
        if wait_ms > 0:
            self._schedule_dispatch(wait_ms)
        return wait_ms <= 0

    def _build_group(self) -> Group:
        """Remove transactions that can be merged from the queues in turn."""
        group = Group(self._limits.max_merged)
        queues = [queue for queue in self._queue_by_kind.values() if queue]
        while queues:
            queues = [
                queue for queue in queues if queue and group.add(queue[0])
            ]
            for queue in queues:
                queue.popleft()
        for kind, queue in list(self._queue_by_kind.items()):
            if not queue:
                self._queue_by_kind.pop(kind)
        if self._queue_by_kind:
            # The next group starts with another kind of row.
            self._queue_by_kind.move_to_end(next(iter(self._queue_by_kind)))
        return group

    def _send_commit(self, group: Group) -> None:
        group.attempts += 1
        self.commits += 1
        self._in_flight += 1
        now_ms = self._clock.now()
        self._next_commit_at = now_ms + 1000 / self._limits.commits_per_s
        self._transport.send_commit(
            group,
            self._timeout_ms,
            partial(self._on_commit_response, group, now_ms),
        )

    def _send_read(self, pending_read: _PendingRead) -> None:
        self.reads += 1
        self._in_flight += 1
        self._transport.send_read(
            pending_read.prefix,
            self._timeout_ms,
            partial(self._on_read_response, pending_read, self._clock.now()),
        )

    def _on_commit_response(
        self,
        group: Group,
        sent_at_ms: float,
        response: Result[Committed | Conflict, Failure],
    ) -> None:
        self._record_response(response.is_ok(), sent_at_ms, response.err())
        if response.is_err():
            # Resending is safe: its operation ids show an earlier commit.
            self._retries.append(group)
            self._dispatch()
            return
        group_outcome = group.split_outcome(response.unwrap())
        for pending in reversed(group_outcome.retries):
            kind = pending.transaction.puts[0].key.partition('/')[0]
            self._queue_by_kind.setdefault(kind, deque()).appendleft(pending)
        for member in group.members:
            operation = member.transaction.operation
            outcome = group_outcome.outcome_by_operation.get(operation)
            if outcome is not None:
                self._pending -= 1
                member.done(Ok(outcome))
        self._dispatch()

    def _on_read_response(
        self,
        pending_read: _PendingRead,
        sent_at_ms: float,
        response: Result[Sequence[Row], Failure],
    ) -> None:
        self._record_response(response.is_ok(), sent_at_ms, response.err())
        if response.is_err() and self._clock.now() < pending_read.deadline:
            newer_read = self._read_by_prefix.get(pending_read.prefix)
            if newer_read is not None:
                pending_read.callbacks.extend(newer_read.callbacks)
            self._read_by_prefix[pending_read.prefix] = pending_read
        else:
            self._pending -= len(pending_read.callbacks)
            for done in pending_read.callbacks:
                done(response)
        self._dispatch()

    def _record_response(
        self,
        has_response: bool,
        sent_at_ms: float,
        failure: Failure | None,
    ) -> None:
        """Update timeout, backoff and in-flight limit from a response."""
        self._in_flight -= 1
        if not has_response:
            self._record_failure(failure)
            return
        took_ms = self._clock.now() - sent_at_ms
        if took_ms < self._timeout_ms * _FAST_RESPONSE_FRACTION:
            shorter_ms = self._timeout_ms * _TIMEOUT_DECAY
            self._timeout_ms = max(shorter_ms, self._limits.timeout_ms)
        self._failures = 0
        self._backoff_until = 0
        self._in_flight_limit = min(
            self._in_flight_limit + 1, self._limits.max_in_flight
        )
        if not self.available:
            self.available = True
            log_event(Event.STORE_RECOVERED)

    def _record_failure(self, failure: Failure | None) -> None:
        self._in_flight_limit = 1
        longer_ms = self._timeout_ms * _TIMEOUT_GROWTH
        self._timeout_ms = min(longer_ms, self._limits.max_timeout_ms)
        backoff_ms = min(
            self._limits.probe_min_ms * 2**self._failures,
            self._limits.probe_max_ms,
        )
        self._failures = min(self._failures + 1, 10)
        self._backoff_until = self._clock.now() + self._rng.uniform(
            backoff_ms / 2,
            backoff_ms,
        )
        if self.available:
            self.available = False
            detail = failure.detail if failure else ''
            log_event(Event.STORE_UNREACHABLE, detail=detail)

    def _fail_expired(self) -> None:
        now_ms = self._clock.now()
        for queue in self._queue_by_kind.values():
            while queue and queue[0].deadline <= now_ms:
                self._fail(
                    queue.popleft(),
                    _unavailable('the table is down'),
                )
        expired = [group for group in self._retries if group.deadline <= now_ms]
        for group in expired:
            self._retries.remove(group)
            for member in group.members:
                self._fail(member, _outcome_unknown())
        self._fail_expired_reads(now_ms)

    def _fail_expired_reads(self, now_ms: float) -> None:
        for pending_read in list(self._read_by_prefix.values()):
            if pending_read.deadline <= now_ms:
                self._read_by_prefix.pop(pending_read.prefix)
                self._pending -= len(pending_read.callbacks)
                for done in pending_read.callbacks:
                    done(Err(_unavailable('the table is down')))

    def _fail(self, pending: PendingCommit, failure: Failure) -> None:
        self._pending -= 1
        pending.done(Err(failure))

    def _schedule_dispatch(self, delay_ms: float) -> None:
        """Schedule a dispatch unless an earlier one is scheduled."""
        now_ms = self._clock.now()
        if now_ms < self._wake_up_at <= now_ms + delay_ms:
            return
        self._wake_up_at = now_ms + delay_ms
        self._transport.call_later(delay_ms, self._dispatch)


def _unavailable(detail: str) -> Failure:
    return Failure(ErrorKind.STORE_UNAVAILABLE, detail)


def _outcome_unknown() -> Failure:
    return Failure(ErrorKind.OUTCOME_UNKNOWN, 'no answer from the table')
