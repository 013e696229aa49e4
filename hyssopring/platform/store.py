"""The platform's store as ``jobs.rows.RowStore``."""

import base64
from http import HTTPStatus
from typing import Any, Final
from urllib.parse import urlencode

from twisted.internet.defer import CancelledError, Deferred
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
# Characters of a reason in the log.
_MAX_DETAIL: Final = 200
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
            'precondition': [_check(check) for check in transaction.checks],
            'writes': [_put(put) for put in transaction.puts],
            'remove': [_place(place) for place in transaction.removals],
        }
        calling = self._call('POST', _TX, fields, _SILENCE_MS)
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
            _SILENCE_MS + wait_ms,
        )
        calling.addCallbacks(self._answered, self._unread)
        return calling.addCallback(_changes)

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
            return Committed(_answer_version(answer, StoreUncertain))
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


def _place(place: RowKey) -> dict[str, Any]:
    return {'table': place.table, 'part': place.part, 'key': place.key}


def _check(check: RowCheck) -> dict[str, Any]:
    return {**_place(check.place), 'ver': check.version}


def _put(put: RowPut) -> dict[str, Any]:
    text = base64.b64encode(put.text.encode()).decode()
    return {**_place(put.place), 'value': text}


def _row(fields: Any) -> Row | None:
    """Read a row, None if it names no place where it lies."""
    if not isinstance(fields, dict):
        return None
    table: Any = fields.get('table')
    key: Any = fields.get('key')
    part: Any = fields.get('part', '')
    if not all(isinstance(name, str) for name in (table, part, key)):
        return None
    place = RowKey(table, part, key)
    is_removed = bool(fields.get('removed'))
    # A version that is none is 0: no write that checks it is carried out.
    version = fields.get('ver', 0)
    known = version if _is_version(version) else 0
    return Row(place, _text(place, fields.get('value')), known, is_removed)


def _text(place: RowKey, encoded: Any) -> str:
    """Return a value's text, none for one that cannot be read.

    The row stays: its key and version tell what must be waited for, and no
    reader of documents takes an empty text for one.
    """
    try:
        return base64.b64decode(
            '' if encoded is None else encoded, validate=True
        ).decode()
    except (TypeError, ValueError) as error:
        _say(f'{place.table}/{place.part}/{place.key}', error)
    return ''


def _say(peer: str, detail: object) -> None:
    text = str(detail)[:_MAX_DETAIL]
    log_event(Event.PEER_ERROR, peer=peer, detail=text)


def _is_version(version: Any) -> bool:
    is_count = isinstance(version, int) and not isinstance(version, bool)
    return is_count and version >= 0


def _answer_version(answer: JsonAnswer, error: type[Exception]) -> int:
    version: Any = answer.fields.get('ver')
    if _is_version(version):
        return int(version)
    raise error('the store answered without a version')


def _rows(answer: JsonAnswer) -> tuple[Row, ...]:
    listed = answer.fields.get('rows', [])
    if not isinstance(listed, list):
        raise StoreRefused('the store answered without rows')
    rows = [_row(fields) for fields in listed]
    found = tuple(row for row in rows if row is not None)
    if len(found) < len(rows):
        _say('store', 'a row that lies nowhere')
    return found


def _page(answer: JsonAnswer) -> Page:
    rows = _rows(answer)
    has_more = bool(answer.fields.get('hasMore'))
    if has_more and not rows:
        # The next page begins after the last row's key.
        raise StoreRefused('the store answered a page of no rows')
    return Page(rows, has_more, _answer_version(answer, StoreRefused))


def _only(page: Page, key: str) -> Row | None:
    """The range begins at the key: its row is the first, if there is one."""
    if page.rows and page.rows[0].place.key == key:
        return page.rows[0]
    return None


def _changes(answer: JsonAnswer) -> Changes:
    return Changes(_rows(answer), _answer_version(answer, StoreRefused))
