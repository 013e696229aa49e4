"""A simulated platform store in memory, with fault injection."""

import itertools
import math

from twisted.internet.defer import Deferred

from hyssopring.jobs.rows import (
    Changes,
    Committed,
    Conflict,
    HistoryLost,
    Page,
    Row,
    StoreRefused,
    StoreUncertain,
)

ANSWER_S = 0.009
TIMEOUT_S = 1.2
PAGE_ROWS = 500
# Of a page or a transaction.
MAX_BYTES = 1_000_000
MAX_ENTRIES = 100
MAX_ROW_BYTES = 65_536
# JSON around the names and the value of a row.
ROW_OVERHEAD_BYTES = 60
CLOCK_AHEAD_MS = 7_654_321


class MemoryRows:
    """Rows with versions from one counter.

    Attributes:
        is_down: Every call is refused.
        is_silent: No call is carried out or answered.
        rejected_clients: Clients whose calls are refused.
        lose_next: The number of next commits that are carried out but not
            answered.
        late_s: The delay before these are carried out.
        pauses: Returns the additional delays before a call is carried out and
            before it is answered.
        tells_time: Whether answers contain a reading of the store's clock.
        slow_s: Additional delay of answers where the store is served by HTTP.
    """

    def __init__(self, reactor):
        self.reactor = reactor
        self.rows = {}
        self.version = 0
        self.changes = []
        self.kept_from = 0
        self.is_down = False
        self.is_silent = False
        self.rejected_clients = set()
        self.lose_next = 0
        self.late_s = 0
        self.pauses = no_pauses
        self.slow_s = 0
        self.calls = 0
        self.tells_time = True

    @property
    def now_ms(self):
        """A reading of the store's monotonic clock."""
        if not self.tells_time:
            return None
        return self.reactor.seconds() * 1000 + CLOCK_AHEAD_MS

    def client(self, name, process_reactor):
        return RowsClient(self, name, process_reactor)

    def forget_history(self):
        self.kept_from = self.version
        self.changes = []

    def page(self, table, part, first='', limit=PAGE_ROWS):
        """Return the first rows of a range and whether it continues."""
        rows = sorted(
            (
                row
                for place, row in self.rows.items()
                if place.table == table
                and place.part == part
                and place.key >= first
            ),
            key=lambda row: row.row_key.key,
        )
        sizes = itertools.accumulate(map(wire_bytes, rows))
        fitting = sum(size <= MAX_BYTES for size in sizes)
        count = min(max(fitting, 1), limit, PAGE_ROWS)
        return tuple(rows[:count]), len(rows) > count

    def apply(self, transaction):
        parts = {each.row_key.part for each in transaction.checks}
        parts |= {put.row_key.part for put in transaction.puts}
        parts |= {place.part for place in transaction.removals}
        assert len(parts) == 1, 'a transaction stays in one part'
        for check in transaction.checks:
            row = self.rows.get(check.row_key)
            if (row.version if row else 0) != check.version:
                found = [
                    self.rows.get(each.row_key) for each in transaction.checks
                ]
                return Conflict(tuple(row for row in found if row))
        self.version += 1
        for put in transaction.puts:
            row = Row(put.row_key, put.text, self.version)
            self.rows[put.row_key] = row
            self.changes.append(row)
        for place in transaction.removals:
            if self.rows.pop(place, None):
                self.changes.append(
                    Row(place, '', self.version, is_removed=True)
                )
        return Committed(self.version)


class RowsClient:
    """One process's calls to the store."""

    def __init__(self, store, name, process_reactor):
        self.store = store
        self.name = name
        self.process_reactor = process_reactor

    def commit(self, transaction):
        assert is_within_limits(transaction), 'the transaction is too large'
        store = self.store
        if store.lose_next and not self._fault():
            store.lose_next -= 1
            store.reactor.callLater(store.late_s, store.apply, transaction)
            return self._fail(StoreUncertain('lost'), TIMEOUT_S)
        return self._call(lambda: store.apply(transaction), StoreUncertain)

    def read(self, table, part, first=''):
        return self._call(lambda: self._page(table, part, first), StoreRefused)

    def read_one(self, place):
        return self._call(lambda: self.store.rows.get(place), StoreRefused)

    def changes(self, table, after, wait_ms):
        return self._call(lambda: self._changes(table, after), StoreRefused)

    def _page(self, table, part, first):
        rows, has_more = self.store.page(table, part, first)
        return Page(rows, has_more, self.store.version, self.store.now_ms)

    def _changes(self, table, after):
        if after < self.store.kept_from:
            raise HistoryLost
        rows = [
            row
            for row in self.store.changes
            if row.row_key.table == table and row.version > after
        ]
        return Changes(tuple(rows), self.store.version, self.store.now_ms)

    def _fault(self):
        return (
            self.store.is_down
            or self.store.is_silent
            or self.name in self.store.rejected_clients
        )

    def _call(self, action, silent_error):
        store = self.store
        store.calls += 1
        if store.is_silent:
            return self._fail(silent_error('silent'), TIMEOUT_S)
        if self._fault():
            return self._fail(StoreRefused('refused'), ANSWER_S)
        answer = Deferred()
        before_s, after_s = store.pauses()
        store.reactor.callLater(
            ANSWER_S + before_s, self._answer, answer, action, after_s
        )
        return answer

    def _answer(self, answer, action, after_s):
        try:
            outcome = action()
        except HistoryLost as error:
            self._tell(after_s, answer.errback, error)
        else:
            self._tell(after_s, answer.callback, outcome)

    def _tell(self, after_s, tell, outcome):
        run = self.process_reactor.run
        if after_s:
            self.store.reactor.callLater(after_s, run, tell, outcome)
        else:
            run(tell, outcome)

    def _fail(self, error, seconds):
        answer = Deferred()
        self.process_reactor.callLater(seconds, answer.errback, error)
        return answer


def wire_bytes(row):
    """Return the bytes that a row takes in a call."""
    place = row.row_key
    names = len(f'{place.table}{place.part}{place.key}'.encode())
    value = 4 * math.ceil(len(row.text.encode()) / 3)
    return names + value + ROW_OVERHEAD_BYTES


def is_within_limits(transaction):
    """Return whether a transaction of the system has an allowed size."""
    entries = (
        *transaction.checks,
        *transaction.puts,
        *transaction.removals,
    )
    put_bytes = [len(put.text.encode()) for put in transaction.puts]
    return (
        len(entries) <= MAX_ENTRIES
        and sum(map(wire_bytes, transaction.puts)) <= MAX_BYTES
        and max(put_bytes, default=0) <= MAX_ROW_BYTES
    )


def no_pauses():
    """Return the additional delays of a store that is not slow."""
    return 0, 0
