"""The platform's store as ``jobs.rows.RowStore``."""

import base64
from http import HTTPStatus
from typing import Any, Final
from urllib.parse import urlencode

from twisted.internet.defer import Deferred
from twisted.python.failure import Failure as TwistedFailure

from hyssopring.clock import MILLIS_PER_SECOND
from hyssopring.jobs.rows import (
    Changes,
    Committed,
    Conflict,
    HistoryLost,
    Page,
    Row,
    RowCheck,
    RowKey,
    RowPut,
    StoreRefused,
    StoreUncertain,
    Transaction,
)
from hyssopring.logs import Event, log_event
from hyssopring.metrics import Metrics
from hyssopring.platform.json_calls import JsonAnswer, JsonClient

__all__ = ('PlatformStore',)

_TX: Final = '/-/rows-tx'
_GET: Final = '/-/rows-get'
_FEED: Final = '/-/rows-feed'
_MAX_CONNECTIONS: Final = 8
_IDLE_S: Final = 30
# An answer takes 9 ms; on slow days up to 0.8 s. A silent connection costs
# this much before a new one is tried.
_TIMEOUT_MS: Final = 1200.0
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
            'precondition': [_check(check) for check in transaction.checks],
            'writes': [_put(put) for put in transaction.puts],
            'remove': [_place(place) for place in transaction.removals],
        }
        calling = self._call('POST', _TX, fields, _TIMEOUT_MS)
        calling.addCallbacks(self._committed, self._uncertain)
        return calling

    def read(self, table: str, part: str, first: str = '') -> Deferred:
        """See ``RowStore``."""
        asked = {'table': table, 'part': part}
        if first:
            asked['from'] = first
        return self._read(asked).addCallback(_page)

    def read_one(self, place: RowKey) -> Deferred:
        """See ``RowStore``."""
        asked = {
            'table': place.table,
            'part': place.part,
            'from': place.key,
            'limit': '1',
        }
        reading = self._read(asked).addCallback(_page)
        return reading.addCallback(_only, place.key)

    def changes(self, table: str, after: int, wait_ms: int) -> Deferred:
        """See ``RowStore``."""
        asked = {'table': table, 'after': str(after), 'waitMs': str(wait_ms)}
        calling = self._call(
            'GET',
            f'{_FEED}?{urlencode(asked)}',
            None,
            _TIMEOUT_MS + wait_ms,
        )
        calling.addCallbacks(self._answered, self._unread)
        return calling.addCallback(_changes)

    def _read(self, asked: dict[str, str]) -> Deferred:
        calling = self._call(
            'GET',
            f'{_GET}?{urlencode(asked)}',
            None,
            _TIMEOUT_MS,
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
        calling = self._client.call(method, path, fields, timeout_ms)
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
        self._metrics.count('store_calls_total{status="none"}')
        return failure

    def _committed(self, answer: JsonAnswer) -> Committed | Conflict:
        if answer.status == HTTPStatus.OK:
            self._found()
            return Committed(int(answer.fields['ver']))
        if answer.status == HTTPStatus.PRECONDITION_FAILED:
            self._found()
            return Conflict(_rows(answer))
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


def _place(place: RowKey) -> dict[str, Any]:
    return {'table': place.table, 'part': place.part, 'key': place.key}


def _check(check: RowCheck) -> dict[str, Any]:
    return {**_place(check.place), 'ver': check.version}


def _put(put: RowPut) -> dict[str, Any]:
    text = base64.b64encode(put.text.encode()).decode()
    return {**_place(put.place), 'value': text}


def _row(fields: dict[str, Any]) -> Row:
    place = RowKey(fields['table'], fields.get('part', ''), fields['key'])
    is_removed = bool(fields.get('removed'))
    text = base64.b64decode(fields.get('value') or '').decode()
    return Row(place, text, int(fields.get('ver', 0)), is_removed)


def _rows(answer: JsonAnswer) -> tuple[Row, ...]:
    return tuple(_row(fields) for fields in answer.fields.get('rows', ()))


def _page(answer: JsonAnswer) -> Page:
    return Page(
        _rows(answer),
        bool(answer.fields.get('hasMore')),
        int(answer.fields['ver']),
    )


def _only(page: Page, key: str) -> Row | None:
    """The range begins at the key: its row is the first, if there is one."""
    if page.rows and page.rows[0].place.key == key:
        return page.rows[0]
    return None


def _changes(answer: JsonAnswer) -> Changes:
    return Changes(_rows(answer), int(answer.fields['ver']))
