"""Decides what goes to the table service, and when (no sockets).

Bounded: so many calls wait at most, each for so long; more fail at once, as
not sent. Fair: kinds of rows take turns, so a lease's renewal never waits
behind a thousand chunks. Paced: transactions go out at a limited rate, few at
once, merged while they wait. While the table does not answer, one call at a
time probes it, after a jittered pause that doubles; as it answers again, the
number under way grows from one, so that no storm of retries follows.
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
from hyssopring.store.groups import Group, Pending
from hyssopring.store.rows import (
    CommitCallback,
    Committed,
    Conflict,
    ReadCallback,
    Row,
    Transaction,
)

__all__ = ('StoreQueue', 'StoreTimes', 'Transport')

_SLOWER = 1.5
_FASTER = 0.9
_QUICK_PART = 0.25


@dataclass(frozen=True, slots=True)
class StoreTimes:
    """Limits of the queue; times in milliseconds.

    Attributes:
        timeout_ms: For one answer; grows to ``max_timeout_ms`` while the
            table is slow, so that slow answers are still heard.
        give_up_ms: How long a caller waits in all.
    """

    timeout_ms: float = 2000
    max_timeout_ms: float = 5000
    give_up_ms: float = 6000
    probe_min_ms: float = 200
    probe_max_ms: float = 3000
    max_pending: int = 2000
    max_under_way: int = 4
    commits_per_s: float = 150
    max_merged: int = 64


class Transport(Protocol):
    """Sends calls to the table; an error means that no answer came."""

    def send_commit(
        self,
        group: Group,
        timeout_ms: float,
        done: Callable[[Result[Committed | Conflict, Failure]], None],
    ) -> None:
        """Send one transaction."""

    def send_read(
        self,
        prefix: str,
        timeout_ms: float,
        done: ReadCallback,
    ) -> None:
        """Send one read."""

    def call_later(self, delay_ms: float, action: Callable[[], None]) -> None:
        """Call ``action`` after a while."""


@dataclass(slots=True)
class _Read:
    prefix: str
    give_up_at: float
    callbacks: list[ReadCallback] = field(default_factory=list)


class StoreQueue:
    """Queues, merges, paces and repeats calls to the table."""

    def __init__(
        self,
        clock: Clock,
        transport: Transport,
        rng: random.Random,
        times: StoreTimes = StoreTimes(),
    ) -> None:
        """Send through ``transport``."""
        self._clock = clock
        self._transport = transport
        self._rng = rng
        self._times = times
        self._lane_by_kind: OrderedDict[str, deque[Pending]] = OrderedDict()
        self._reads: OrderedDict[str, _Read] = OrderedDict()
        self._repeats: deque[Group] = deque()
        self._pending = 0
        self._under_way = 0
        self._limit = times.max_under_way
        self._failures = 0
        self._not_before: float = 0
        self._next_commit: float = 0
        self._wakes_at: float = 0
        self._timeout_ms = times.timeout_ms
        self._is_read_next = False
        self.available = True
        self.commits = 0
        self.reads = 0

    def commit(self, transaction: Transaction, done: CommitCallback) -> None:
        """Commit a transaction.

        An ``Err`` of kind ``OUTCOME_UNKNOWN`` means that its effect is
        unknown, of kind ``STORE_UNAVAILABLE`` that it was never sent.
        """
        if self._is_full():
            done(Err(_not_sent('too many store calls are waiting')))
            return
        kind = transaction.puts[0].key.partition('/')[0]
        give_up_at = self._clock.now() + self._times.give_up_ms
        lane = self._lane_by_kind.setdefault(kind, deque())
        lane.append(Pending(transaction, done, give_up_at))
        self._pending += 1
        self._go_on()

    def read(self, prefix: str, done: ReadCallback) -> None:
        """Read all rows under a prefix; one call serves all that wait."""
        if self._is_full():
            done(Err(_not_sent('too many store calls are waiting')))
            return
        queued = self._reads.get(prefix)
        if queued is None:
            give_up_at = self._clock.now() + self._times.give_up_ms
            queued = _Read(prefix, give_up_at)
            self._reads[prefix] = queued
        queued.callbacks.append(done)
        self._pending += 1
        self._go_on()

    def _is_full(self) -> bool:
        return self._pending >= self._times.max_pending

    def _go_on(self) -> None:
        """Send what may go now; come back for the rest."""
        self._drop_expired()
        while self._under_way < self._limit:
            wait = self._not_before - self._clock.now()
            if wait > 0:
                self._wake(wait)
                return
            if not self._send_next():
                return

    def _send_next(self) -> bool:
        """Send a read or a transaction, in turn; False if nothing may go."""
        self._is_read_next = not self._is_read_next
        if self._reads and (self._is_read_next or not self._may_commit()):
            _, queued = self._reads.popitem(last=False)
            self._send_read(queued)
            return True
        if not self._may_commit():
            return False
        group = self._repeats.popleft() if self._repeats else self._merge()
        self._send_commit(group)
        return True

    def _may_commit(self) -> bool:
        if not self._repeats and not any(self._lane_by_kind.values()):
            return False
        wait = self._next_commit - self._clock.now()
        if wait > 0:
            self._wake(wait)
        return wait <= 0

    def _merge(self) -> Group:
        """Take from the lanes in turn what can be committed together."""
        group = Group(self._times.max_merged)
        lanes = [lane for lane in self._lane_by_kind.values() if lane]
        while lanes:
            lanes = [lane for lane in lanes if lane and group.add(lane[0])]
            for lane in lanes:
                lane.popleft()
        for kind, lane in list(self._lane_by_kind.items()):
            if not lane:
                self._lane_by_kind.pop(kind)
        if self._lane_by_kind:
            # The next group begins with another kind of rows.
            self._lane_by_kind.move_to_end(next(iter(self._lane_by_kind)))
        return group

    def _send_commit(self, group: Group) -> None:
        group.attempts += 1
        self.commits += 1
        self._under_way += 1
        now = self._clock.now()
        self._next_commit = now + 1000 / self._times.commits_per_s
        self._transport.send_commit(
            group,
            self._timeout_ms,
            partial(self._commit_answered, group, now),
        )

    def _send_read(self, queued: _Read) -> None:
        self.reads += 1
        self._under_way += 1
        self._transport.send_read(
            queued.prefix,
            self._timeout_ms,
            partial(self._read_answered, queued, self._clock.now()),
        )

    def _commit_answered(
        self,
        group: Group,
        sent_at: float,
        answer: Result[Committed | Conflict, Failure],
    ) -> None:
        self._note(answer.is_ok(), sent_at, answer.err())
        if answer.is_err():
            # The same group again: its effect shows in its rows.
            self._repeats.append(group)
            self._go_on()
            return
        divided = group.divide(answer.unwrap())
        for pending in reversed(divided.again):
            kind = pending.transaction.puts[0].key.partition('/')[0]
            self._lane_by_kind.setdefault(kind, deque()).appendleft(pending)
        for member in group.members:
            operation = member.transaction.operation
            outcome = divided.outcome_by_operation.get(operation)
            if outcome is not None:
                self._pending -= 1
                member.done(Ok(outcome))
        self._go_on()

    def _read_answered(
        self,
        queued: _Read,
        sent_at: float,
        answer: Result[Sequence[Row], Failure],
    ) -> None:
        self._note(answer.is_ok(), sent_at, answer.err())
        if answer.is_err() and self._clock.now() < queued.give_up_at:
            newer = self._reads.get(queued.prefix)
            if newer is not None:
                queued.callbacks.extend(newer.callbacks)
            self._reads[queued.prefix] = queued
        else:
            self._pending -= len(queued.callbacks)
            for done in queued.callbacks:
                done(answer)
        self._go_on()

    def _note(
        self,
        is_answered: bool,
        sent_at: float,
        failure: Failure | None,
    ) -> None:
        """Learn from an answer, or from none, how the table does."""
        self._under_way -= 1
        if not is_answered:
            self._note_failure(failure)
            return
        took = self._clock.now() - sent_at
        if took < self._timeout_ms * _QUICK_PART:
            shorter = self._timeout_ms * _FASTER
            self._timeout_ms = max(shorter, self._times.timeout_ms)
        self._failures = 0
        self._not_before = 0
        self._limit = min(self._limit + 1, self._times.max_under_way)
        if not self.available:
            self.available = True
            log_event(Event.STORE_RECOVERED)

    def _note_failure(self, failure: Failure | None) -> None:
        self._limit = 1
        longer = self._timeout_ms * _SLOWER
        self._timeout_ms = min(longer, self._times.max_timeout_ms)
        pause = min(
            self._times.probe_min_ms * 2**self._failures,
            self._times.probe_max_ms,
        )
        self._failures = min(self._failures + 1, 10)
        self._not_before = self._clock.now() + self._rng.uniform(
            pause / 2,
            pause,
        )
        if self.available:
            self.available = False
            detail = failure.detail if failure else ''
            log_event(Event.STORE_UNREACHABLE, detail=detail)

    def _drop_expired(self) -> None:
        now = self._clock.now()
        for lane in self._lane_by_kind.values():
            while lane and lane[0].give_up_at <= now:
                self._fail(lane.popleft(), _not_sent('the table is down'))
        expired = [each for each in self._repeats if each.give_up_at <= now]
        for group in expired:
            self._repeats.remove(group)
            for member in group.members:
                self._fail(member, _in_doubt())
        self._drop_expired_reads(now)

    def _drop_expired_reads(self, now: float) -> None:
        for queued in list(self._reads.values()):
            if queued.give_up_at <= now:
                self._reads.pop(queued.prefix)
                self._pending -= len(queued.callbacks)
                for done in queued.callbacks:
                    done(Err(_not_sent('the table is down')))

    def _fail(self, pending: Pending, failure: Failure) -> None:
        self._pending -= 1
        pending.done(Err(failure))

    def _wake(self, delay_ms: float) -> None:
        """Come back once, also when several calls ask for it."""
        now = self._clock.now()
        if now < self._wakes_at <= now + delay_ms:
            return
        self._wakes_at = now + delay_ms
        self._transport.call_later(delay_ms, self._go_on)


def _not_sent(detail: str) -> Failure:
    return Failure(ErrorKind.STORE_UNAVAILABLE, detail)


def _in_doubt() -> Failure:
    return Failure(ErrorKind.OUTCOME_UNKNOWN, 'no answer from the table')
