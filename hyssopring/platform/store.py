"""The platform's store as ``jobs.rows.RowStore``."""

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
from hyssopring.platform.json_calls import JsonAnswer, JsonClient
from hyssopring.platform.store_rows import (
    changes_of,
    check_fields,
    only_row,
    page_of,
    place_fields,
    put_fields,
    rows_of,
    version_of,
)

__all__ = ('PlatformStore',)

_TX: Final = '/-/rows-tx'
_GET: Final = '/-/rows-get'
_FEED: Final = '/-/rows-feed'
_MAX_CONNECTIONS: Final = 8
_IDLE_S: Final = 30
# An answer begins after 9 ms; on slow days after up to 0.8 s. A silent
# connection costs this much before a new one is tried. What has begun may take
# its time: on a link of 5 Mbit/s a large configuration or a page of jobs needs
# seconds, and thrown away at a time limit it would be begun anew for ever.
_SILENCE_MS: Final = 1200.0
# Not done, and said so.
_REFUSALS: Final = frozenset((429, 503, 403, 507))


class PlatformStore:
    """Carries calls, and tells what an answer means for the caller."""

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
        self._is_lost = False

    def commit(self, transaction: Transaction) -> Deferred:
        """See ``RowStore``."""
        fields = {
            'precondition': [
                check_fields(check) for check in transaction.checks
            ],
            'writes': [put_fields(put) for put in transaction.puts],
            'remove': [place_fields(place) for place in transaction.removals],
        }
        calling = self._call('POST', _TX, fields, _SILENCE_MS)
        calling.addCallbacks(self._committed, self._uncertain)
        return calling

    def read(self, table: str, part: str, first: str = '') -> Deferred:
        """See ``RowStore``."""
        asked = {'table': table, 'part': part}
        if first:
            asked['from'] = first
        return self._read(asked).addCallback(page_of)

    def read_one(self, place: RowKey) -> Deferred:
        """See ``RowStore``."""
        asked = {
            'table': place.table,
            'part': place.part,
            'from': place.key,
            'limit': '1',
        }
        reading = self._read(asked).addCallback(page_of)
        return reading.addCallback(only_row, place.key)

    def changes(self, table: str, after: int, wait_ms: int) -> Deferred:
        """See ``RowStore``."""
        asked = {'table': table, 'after': str(after), 'waitMs': str(wait_ms)}
        calling = self._call(
            'GET',
            f'{_FEED}?{urlencode(asked)}',
            None,
            _SILENCE_MS + wait_ms,
        )
        calling.addCallbacks(self._answered, self._unread)
        return calling.addCallback(changes_of)

    def _read(self, asked: dict[str, str]) -> Deferred:
        calling = self._call(
            'GET',
            f'{_GET}?{urlencode(asked)}',
            None,
            _SILENCE_MS,
        )
        calling.addCallbacks(self._answered, self._unread)
        return calling

    def _call(
        self,
        method: str,
        path: str,
        fields: dict[str, Any] | None,
        timeout_ms: float,
    ) -> Deferred:
        begun_s = self._reactor.seconds()
        calling = self._client.call(
            method,
            path,
            fields,
            timeout_ms,
            silence_ms=_SILENCE_MS,
        )
        return calling.addCallbacks(
            self._measured,
            self._unanswered,
            callbackArgs=(begun_s, path),
        )

    def _measured(
        self,
        answer: JsonAnswer,
        begun_s: float,
        path: str,
    ) -> JsonAnswer:
        self._metrics.count(f'store_calls_total{{status="{answer.status}"}}')
        if not path.startswith(_FEED):
            # A call for changes waits for one: its time says nothing.
            seconds = self._reactor.seconds() - begun_s
            self._metrics.observe('store_call', seconds * MILLIS_PER_SECOND)
        return answer

    def _unanswered(self, failure: TwistedFailure) -> TwistedFailure:
        if not failure.check(CancelledError):
            self._metrics.count('store_calls_total{status="none"}')
        return failure

    def _committed(self, answer: JsonAnswer) -> Committed | Conflict:
        if answer.status == HTTPStatus.OK:
            self._found()
            return Committed(version_of(answer, StoreUncertain))
        if answer.status == HTTPStatus.PRECONDITION_FAILED:
            self._found()
            return Conflict(rows_of(answer))
        self._lost(str(answer.status))
        if answer.status in _REFUSALS:
            raise StoreRefused(f'the store answered {answer.status}')
        raise StoreUncertain(f'the store answered {answer.status}')

    def _answered(self, answer: JsonAnswer) -> JsonAnswer:
        if answer.status == HTTPStatus.GONE:
            raise HistoryLost
        if answer.status != HTTPStatus.OK:
            self._lost(str(answer.status))
            raise StoreRefused(f'the store answered {answer.status}')
        self._found()
        return answer

    def _uncertain(self, failure: TwistedFailure) -> None:
        self._lost(repr(failure.value))
        raise StoreUncertain(repr(failure.value))

    def _unread(self, failure: TwistedFailure) -> None:
        if failure.check(CancelledError):
            # Given up by the caller: that says nothing of the store.
            failure.raiseException()
        self._lost(repr(failure.value))
        raise StoreRefused(repr(failure.value))

    def _lost(self, detail: str) -> None:
        if not self._is_lost:
            self._is_lost = True
            log_event(Event.STORE_UNREACHABLE, detail=detail)

    def _found(self) -> None:
        if self._is_lost:
            self._is_lost = False
            log_event(Event.STORE_RECOVERED)
