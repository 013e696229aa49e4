"""An entry's store client under the virtual clock."""

from result import Err, Ok

from hyssopring.errors import ErrorKind, Failure
from hyssopring.store.rows import Committed, Conflict, Row

__all__ = ('STORE_MS', 'STORE_TIMEOUT_MS', 'VirtualStore')

STORE_MS = 3.0
STORE_TIMEOUT_MS = 2000.0


class VirtualStore:
    """An entry's client of the shared table, with injected faults.

    A commit slower than the client's timeout fails with an unknown outcome and
    takes effect afterwards.

    Attributes:
        is_cut: Whether the table is unreachable for this entry.
        lose_responses: Number of commits that take effect but fail.
    """

    def __init__(
        self, loop, table, deliver=lambda action, *args: action(*args)
    ):
        self.loop = loop
        self.table = table
        self._deliver = deliver
        self.is_cut = False
        self.delay_ms = 0.0
        self.lose_responses = 0
        self.commits = 0
        self.reads = 0

    def commit(self, transaction, done):
        self.commits += 1
        self._call(self._commit, transaction, done)

    def read(self, prefix, done):
        self.reads += 1
        self._call(self._read, prefix, done)

    def _call(self, action, argument, done):
        if self._is_down():
            self._fail(done)
            return
        delay = self.table.delay_ms + self.delay_ms + STORE_MS
        if delay > STORE_TIMEOUT_MS:
            self._fail(done)
            done = _ignore
        self.loop.later(delay, action, argument, done)

    def _is_down(self):
        return self.is_cut or self.table.outage

    def _fail(self, done):
        failure = Failure(ErrorKind.STORE_UNAVAILABLE, 'down')
        self.loop.later(STORE_TIMEOUT_MS, self._deliver, done, Err(failure))

    def _commit(self, transaction, done):
        if self._is_down():
            self._fail(done)
            return
        response = self.table.commit(
            transaction.operation,
            [(check.key, check.version) for check in transaction.checks],
            [(put.key, put.document) for put in transaction.puts],
        )
        if 'versions' in response and self.is_response_lost(transaction):
            self._fail(done)
        elif 'versions' in response:
            self._deliver(done, Ok(Committed(response['versions'])))
        else:
            rows = tuple(Row(*row) for row in response['rows'])
            self._deliver(done, Ok(Conflict(rows)))

    def _read(self, prefix, done):
        if self._is_down():
            self._fail(done)
            return
        rows = [Row(*row) for row in self.table.read(prefix)]
        self._deliver(done, Ok(rows))

    def is_response_lost(self, transaction):
        """Whether to lose the response to this commit; counts it."""
        is_lost = self.lose_responses > 0
        self.lose_responses -= is_lost
        return is_lost


def _ignore(response):
    """Drop a response that arrives after the timeout."""
