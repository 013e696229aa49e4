"""Implementation of ``RowStore`` by the platform's table store."""

from http import HTTPStatus
from typing import Any, Final
from urllib.parse import urlencode

from twisted.internet.defer import CancelledError, Deferred
from twisted.python.failure import Failure as TwistedFailure

from hyssopring.clock import MILLIS_PER_SECOND
from hyssopring.jobs.rows import (
    Committed,
    Conflict,
    HistoryLost,
    RowKey,
    StoreRefused,
    StoreUncertain,
    Transaction,
)
from hyssopring.logs import Event, log_event
from hyssopring.metrics import Metrics
from hyssopring.platform.json_calls import JsonClient, JsonResponse
from hyssopring.platform.store_rows import (
    changes_of,
    check_fields,
    only_row,
    page_of,
    row_key_fields,
    put_fields,
    rows_of,
    version_of,
)

__all__ = ('PlatformStore',)

_COMMIT_PATH: Final = '/-/rows-tx'
_READ_PATH: Final = '/-/rows-get'
_CHANGES_PATH: Final = '/-/rows-feed'
_MAX_CONNECTIONS: Final = 8
_IDLE_S: Final = 30
# A response begins after 9 ms; if the store is slow, after up to 0.8 s. After
# this long without data a new connection is tried. The total time is not
# limited: on a link of 5 Mbit/s a large configuration or a page of jobs takes
# seconds, and with a limit it would be requested again without ever arriving.
_SILENCE_MS: Final = 1200.0
# Statuses that guarantee that the call was not carried out.
_REFUSAL_STATUSES: Final = frozenset((429, 503, 403, 507))


class PlatformStore:
    """Client of the store; raises the errors that ``RowStore`` documents."""

    def __init__(self, reactor: Any, address: str, metrics: Metrics) -> None:
        """Connect lazily to the store at HOST:PORT."""
        self._reactor = reactor
        self._metrics = metrics
        self._client = JsonClient(
            reactor,
            address,
            _MAX_CONNECTIONS,
            _IDLE_S,
        )
        self._is_unreachable = False

    def commit(self, transaction: Transaction) -> Deferred:
        """See ``RowStore``."""
        fields = {
            'precondition': [
                check_fields(check) for check in transaction.checks
            ],
            'writes': [put_fields(put) for put in transaction.puts],
            'remove': [
                row_key_fields(row_key) for row_key in transaction.removals
            ],
        }
        call = self._call('POST', _COMMIT_PATH, fields, _SILENCE_MS)
        call.addCallbacks(self._to_commit_result, self._raise_uncertain)
        return call

    def read(self, table: str, part: str, first: str = '') -> Deferred:
        """See ``RowStore``."""
        query = {'table': table, 'part': part}
        if first:
            query['from'] = first
        return self._read(query).addCallback(page_of)

    def read_one(self, row_key: RowKey) -> Deferred:
        """See ``RowStore``."""
        query = {
            'table': row_key.table,
            'part': row_key.part,
            'from': row_key.key,
            'limit': '1',
        }
        reading = self._read(query).addCallback(page_of)
        return reading.addCallback(only_row, row_key.key)

    def changes(self, table: str, after: int, wait_ms: int) -> Deferred:
        """See ``RowStore``."""
        query = {'table': table, 'after': str(after), 'waitMs': str(wait_ms)}
        call = self._call(
            'GET',
            f'{_CHANGES_PATH}?{urlencode(query)}',
            None,
            _SILENCE_MS + wait_ms,
        )
        call.addCallbacks(self._checked_response, self._raise_refused)
        return call.addCallback(changes_of)

    def _read(self, query: dict[str, str]) -> Deferred:
        call = self._call(
            'GET',
            f'{_READ_PATH}?{urlencode(query)}',
            None,
            _SILENCE_MS,
        )
        call.addCallbacks(self._checked_response, self._raise_refused)
        return call

    def _call(
        self,
        method: str,
        path: str,
        fields: dict[str, Any] | None,
        timeout_ms: float,
    ) -> Deferred:
        started_s = self._reactor.seconds()
        call = self._client.call(
            method,
            path,
            fields,
            timeout_ms,
            silence_ms=_SILENCE_MS,
        )
        return call.addCallbacks(
            self._record_response,
            self._record_failure,
            callbackArgs=(started_s, path),
        )

    def _record_response(
        self,
        response: JsonResponse,
        started_s: float,
        path: str,
    ) -> JsonResponse:
        self._metrics.count(f'store_calls_total{{status="{response.status}"}}')
        if not path.startswith(_CHANGES_PATH):
            # A call for changes waits for one, so its time is not measured.
            elapsed_s = self._reactor.seconds() - started_s
            self._metrics.observe('store_call', elapsed_s * MILLIS_PER_SECOND)
        return response

    def _record_failure(self, failure: TwistedFailure) -> TwistedFailure:
        if not failure.check(CancelledError):
            self._metrics.count('store_calls_total{status="none"}')
        return failure

    def _to_commit_result(self, response: JsonResponse) -> Committed | Conflict:
        if response.status == HTTPStatus.OK:
            self._mark_reachable()
            return Committed(version_of(response, StoreUncertain))
        if response.status == HTTPStatus.PRECONDITION_FAILED:
            self._mark_reachable()
            return Conflict(rows_of(response))
        self._mark_unreachable(str(response.status))
        if response.status in _REFUSAL_STATUSES:
            raise StoreRefused(f'store returned status {response.status}')
        raise StoreUncertain(f'store returned status {response.status}')

    def _checked_response(self, response: JsonResponse) -> JsonResponse:
        if response.status == HTTPStatus.GONE:
            raise HistoryLost
        if response.status != HTTPStatus.OK:
            self._mark_unreachable(str(response.status))
            raise StoreRefused(f'store returned status {response.status}')
        self._mark_reachable()
        return response

    def _raise_uncertain(self, failure: TwistedFailure) -> None:
        self._mark_unreachable(repr(failure.value))
        raise StoreUncertain(repr(failure.value))

    def _raise_refused(self, failure: TwistedFailure) -> None:
        if failure.check(CancelledError):
            # The caller has cancelled the call; the store may be reachable.
            failure.raiseException()
        self._mark_unreachable(repr(failure.value))
        raise StoreRefused(repr(failure.value))

    def _mark_unreachable(self, detail: str) -> None:
        if not self._is_unreachable:
            self._is_unreachable = True
            log_event(Event.STORE_UNREACHABLE, detail=detail)

    def _mark_reachable(self) -> None:
        if self._is_unreachable:
            self._is_unreachable = False
            log_event(Event.STORE_RECOVERED)
