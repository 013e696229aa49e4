"""Client of the platform's table service over HTTP (Twisted shell).

Bounded: at most ``max_pending`` calls wait or run; more fail at once, so an
outage cannot fill the memory. A commit whose answer is lost is sent again;
if the retry then conflicts with rows that carry this transaction's own
operation id, the first copy had taken effect and the commit succeeded.
"""

import json
from typing import Any, Callable

from result import Err, Ok, Result
from twisted.web.client import Agent, HTTPConnectionPool

from hyssopring.clock import Clock
from hyssopring.errors import ErrorKind, Failure
from hyssopring.logs import Event, log_event
from hyssopring.store.rows import (
    CommitCallback,
    Committed,
    Conflict,
    ReadCallback,
    Row,
    Transaction,
)
from hyssopring.web_client import fetch

__all__ = ('StoreClient',)

_OK = 200
_CONFLICT = 409
_MAX_ATTEMPTS = 3
_RETRY_DELAY_S = 0.2
_MAX_CONNECTIONS = 8


class StoreClient:
    """Commits transactions and reads rows at the table service."""

    def __init__(
        self,
        reactor: Any,
        clock: Clock,
        url: str,
        timeout_ms: float = 2000,
        max_pending: int = 1000,
    ) -> None:
        """Connect lazily to the table service at ``url``."""
        self._reactor = reactor
        self._clock = clock
        self._url = url.rstrip('/')
        self._timeout_ms = timeout_ms
        self._max_pending = max_pending
        self._pending = 0
        pool = HTTPConnectionPool(reactor)
        pool.maxPersistentPerHost = _MAX_CONNECTIONS
        # A pooled connection may have gone silent; the library's own retry
        # would repeat a commit without telling us.
        pool.retryAutomatically = False
        self._agent = Agent(reactor, pool=pool)
        self.available = True
        self.commits = 0
        self.reads = 0

    def commit(self, transaction: Transaction, done: CommitCallback) -> None:
        """Commit a transaction; an ``Err`` means that its effect is unknown."""
        self._commit(transaction, done, 1)

    def read(self, prefix: str, done: ReadCallback) -> None:
        """Read all rows under a prefix."""
        self.reads += 1
        self._call(
            'GET',
            f'/rows?prefix={prefix}',
            b'',
            lambda answer: done(answer.map(_rows_of)),
        )

    def _commit(
        self,
        transaction: Transaction,
        done: CommitCallback,
        attempt: int,
    ) -> None:
        self.commits += 1

        def finish(answer: Result[Any, Failure]) -> None:  # noqa: WPS430
            if answer.is_err() and attempt < _MAX_ATTEMPTS:
                self._reactor.callLater(
                    _RETRY_DELAY_S * attempt,
                    self._commit,
                    transaction,
                    done,
                    attempt + 1,
                )
                return
            done(answer.map(lambda body: _outcome(transaction, body)))

        body = json.dumps(_transaction_body(transaction)).encode()
        self._call('POST', '/transactions', body, finish)

    def _call(
        self,
        method: str,
        path: str,
        body: bytes,
        finish: Callable[[Result[Any, Failure]], None],
    ) -> None:
        if self._pending >= self._max_pending:
            failure = Failure(
                ErrorKind.STORE_UNAVAILABLE,
                'too many store calls are waiting',
            )
            finish(Err(failure))
            return
        self._pending += 1
        deferred = fetch(
            self._reactor,
            self._agent,
            method,
            self._url + path,
            body,
            self._timeout_ms,
        )
        deferred.addCallbacks(
            lambda answer: self._answered(answer, finish),
            lambda failure: self._failed(failure, finish),
        )

    def _answered(
        self,
        answer: Any,
        finish: Callable[[Result[Any, Failure]], None],
    ) -> None:
        if answer.status not in {_OK, _CONFLICT}:
            self._failed(f'status {answer.status}', finish)
            return
        self._pending -= 1
        if not self.available:
            self.available = True
            log_event(Event.STORE_RECOVERED)
        finish(Ok(json.loads(answer.body)))

    def _failed(
        self,
        reason: object,
        finish: Callable[[Result[Any, Failure]], None],
    ) -> None:
        self._pending -= 1
        detail = str(getattr(reason, 'value', reason))
        if self.available:
            self.available = False
            log_event(Event.STORE_UNREACHABLE, detail=detail)
        finish(Err(Failure(ErrorKind.STORE_UNAVAILABLE, detail)))


def _transaction_body(transaction: Transaction) -> dict[str, Any]:
    return {
        'operation': transaction.operation,
        'checks': [[check.key, check.version] for check in transaction.checks],
        'puts': [[put.key, put.document] for put in transaction.puts],
    }


def _rows_of(body: Any) -> list[Row]:
    return [Row(*fields) for fields in body['rows']]


def _outcome(transaction: Transaction, body: Any) -> Committed | Conflict:
    versions = body.get('versions')
    if versions is not None:
        return Committed(versions)
    rows = tuple(_rows_of(body))
    own = [row for row in rows if row.operation == transaction.operation]
    if own:
        return Committed({row.key: row.version for row in own})
    return Conflict(rows)
