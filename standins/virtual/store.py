"""An entry's client of the shared table, under the virtual clock."""

from result import Err, Ok

from hyssopring.errors import ErrorKind, Failure
from hyssopring.store.rows import Committed, Conflict, Row

__all__ = ('STORE_MS', 'STORE_TIMEOUT_MS', 'VirtualStore')

STORE_MS = 3.0
STORE_TIMEOUT_MS = 2000.0


class VirtualStore:
    """One entry's client of the shared table, with faults.

    A commit slower than the client's timeout is given up and takes effect
    afterwards.
    """

    def __init__(self, loop, table, take=lambda action, *args: action(*args)):
        self.loop = loop
        self.table = table
        self.take = take
        self.is_cut = False
        self.delay_ms = 0.0
        self.lose_answers = 0
        self.commits = 0
        self.reads = 0

    def commit(self, transaction, done):
        self.commits += 1
        self._call(self._commit, transaction, done)

    def read(self, prefix, done):
        self.reads += 1
        self._call(self._read, prefix, done)

    def _call(self, work, subject, done):
        if self._is_down():
            self._fail(done)
            return
        delay = self.table.delay_ms + self.delay_ms + STORE_MS
        if delay > STORE_TIMEOUT_MS:
            self._fail(done)
            done = _ignore
        self.loop.later(delay, work, subject, done)

    def _is_down(self):
        return self.is_cut or self.table.outage

    def _fail(self, done):
        failure = Failure(ErrorKind.STORE_UNAVAILABLE, 'down')
        self.loop.later(STORE_TIMEOUT_MS, self.take, done, Err(failure))

    def _commit(self, transaction, done):
        if self._is_down():
            self._fail(done)
            return
        answer = self.table.commit(
            transaction.operation,
            [(check.key, check.version) for check in transaction.checks],
            [(put.key, put.document) for put in transaction.puts],
        )
        if 'versions' in answer and self.loses(transaction):
            self._fail(done)
        elif 'versions' in answer:
            self.take(done, Ok(Committed(answer['versions'])))
        else:
            rows = tuple(Row(*row) for row in answer['rows'])
            self.take(done, Ok(Conflict(rows)))

    def _read(self, prefix, done):
        if self._is_down():
            self._fail(done)
            return
        rows = [Row(*row) for row in self.table.read(prefix)]
        self.take(done, Ok(rows))

    def loses(self, transaction):
        """Whether the answer to a commit that took effect is lost."""
        is_lost = self.lose_answers > 0
        self.lose_answers -= is_lost
        return is_lost


def _ignore(answer):
    """The client has given up; nobody hears this answer."""
