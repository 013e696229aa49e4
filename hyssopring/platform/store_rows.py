"""Rows and answers of the platform's store, as its calls carry them."""

import base64
import math
from typing import Any, Final

from hyssopring.jobs.rows import (
    Changes,
    Page,
    Row,
    RowCheck,
    RowKey,
    RowPut,
    StoreRefused,
)
from hyssopring.logs import Event, log_event
from hyssopring.platform.json_calls import JsonAnswer

__all__ = (
    'changes_of',
    'check_fields',
    'only_row',
    'page_of',
    'place_fields',
    'put_fields',
    'rows_of',
    'version_of',
)

# Characters of a reason in the log.
_MAX_DETAIL: Final = 200


def place_fields(place: RowKey) -> dict[str, Any]:
    return {'table': place.table, 'part': place.part, 'key': place.key}


def check_fields(check: RowCheck) -> dict[str, Any]:
    return {**place_fields(check.row_key), 'ver': check.version}


def put_fields(put: RowPut) -> dict[str, Any]:
    text = base64.b64encode(put.text.encode()).decode()
    return {**place_fields(put.row_key), 'value': text}


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


def version_of(answer: JsonAnswer, error: type[Exception]) -> int:
    version: Any = answer.fields.get('ver')
    if _is_version(version):
        return int(version)
    raise error('the store answered without a version')


def _read_ms(answer: JsonAnswer) -> float | None:
    """Return the store's steady clock, None where the answer has none."""
    reading: Any = answer.fields.get('nowMs')
    if isinstance(reading, bool) or not isinstance(reading, int | float):
        return None
    return float(reading) if math.isfinite(reading) else None


def rows_of(answer: JsonAnswer) -> tuple[Row, ...]:
    listed = answer.fields.get('rows', [])
    if not isinstance(listed, list):
        raise StoreRefused('the store answered without rows')
    rows = [_row(fields) for fields in listed]
    found = tuple(row for row in rows if row is not None)
    if len(found) < len(rows):
        _say('store', 'a row that lies nowhere')
    return found


def page_of(answer: JsonAnswer) -> Page:
    rows = rows_of(answer)
    has_more = bool(answer.fields.get('hasMore'))
    if has_more and not rows:
        # The next page begins after the last row's key.
        raise StoreRefused('the store answered a page of no rows')
    version = version_of(answer, StoreRefused)
    return Page(rows, has_more, version, _read_ms(answer))


def only_row(page: Page, key: str) -> Row | None:
    """The range begins at the key: its row is the first, if there is one."""
    if page.rows and page.rows[0].row_key.key == key:
        return page.rows[0]
    return None


def changes_of(answer: JsonAnswer) -> Changes:
    version = version_of(answer, StoreRefused)
    return Changes(rows_of(answer), version, _read_ms(answer))
