"""Translation of rows and responses of the platform's store."""

import base64
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
from hyssopring.numbers import MAX_EXACT_INTEGER, are_in_range
from hyssopring.platform.json_calls import JsonResponse

__all__ = (
    'changes_of',
    'check_fields',
    'only_row',
    'page_of',
    'put_fields',
    'row_key_fields',
    'rows_of',
    'version_of',
)

# In characters.
_MAX_LOGGED_DETAIL: Final = 200


def row_key_fields(row_key: RowKey) -> dict[str, Any]:
    return {'table': row_key.table, 'part': row_key.part, 'key': row_key.key}


def check_fields(check: RowCheck) -> dict[str, Any]:
    return {**row_key_fields(check.row_key), 'ver': check.version}


def put_fields(put: RowPut) -> dict[str, Any]:
    encoded = base64.b64encode(put.text.encode()).decode()
    return {**row_key_fields(put.row_key), 'value': encoded}


def _parse_row(fields: Any) -> Row | None:
    """Parse a row; return None if its key is missing or malformed."""
    if not isinstance(fields, dict):
        return None
    table: Any = fields.get('table')
    key: Any = fields.get('key')
    part: Any = fields.get('part', '')
    if not all(isinstance(component, str) for component in (table, part, key)):
        return None
    row_key = RowKey(table, part, key)
    is_removed = bool(fields.get('removed'))
    # A malformed version becomes 0, so that writes that check it fail.
    version = fields.get('ver', 0)
    valid_version = version if _is_version(version) else 0
    return Row(
        row_key,
        _decode_text(row_key, fields.get('value')),
        valid_version,
        is_removed,
    )


def _decode_text(row_key: RowKey, encoded: Any) -> str:
    """Decode a value; return an empty text for a malformed one.

    The row is kept, because its key and version are needed, and no parser of
    documents accepts an empty text.
    """
    try:
        return base64.b64decode(
            '' if encoded is None else encoded, validate=True
        ).decode()
    except (TypeError, ValueError) as error:
        _log_malformed(f'{row_key.table}/{row_key.part}/{row_key.key}', error)
    return ''


def _log_malformed(peer: str, detail: object) -> None:
    shortened = str(detail)[:_MAX_LOGGED_DETAIL]
    log_event(Event.PEER_ERROR, peer=peer, detail=shortened)


def _is_version(version: Any) -> bool:
    is_count = isinstance(version, int) and not isinstance(version, bool)
    return is_count and 0 <= version <= MAX_EXACT_INTEGER


def version_of(response: JsonResponse, error: type[Exception]) -> int:
    version: Any = response.fields.get('ver')
    if _is_version(version):
        return int(version)
    raise error('store response has no valid version')


def _read_ms(response: JsonResponse) -> float | None:
    """Return the store's monotonic time, None if the response has none."""
    now_ms: Any = response.fields.get('nowMs')
    if isinstance(now_ms, bool) or not isinstance(now_ms, int | float):
        return None
    return float(now_ms) if are_in_range(now_ms) else None


def rows_of(response: JsonResponse) -> tuple[Row, ...]:
    listed = response.fields.get('rows', [])
    if not isinstance(listed, list):
        raise StoreRefused('store response has no list of rows')
    rows = [_parse_row(fields) for fields in listed]
    valid_rows = tuple(row for row in rows if row is not None)
    if len(valid_rows) < len(rows):
        _log_malformed('store', 'row without a valid key')
    return valid_rows


def page_of(response: JsonResponse) -> Page:
    rows = rows_of(response)
    has_more = bool(response.fields.get('hasMore'))
    if has_more and not rows:
        # Without a last row the next page cannot be requested.
        raise StoreRefused('store returned an empty page that is not the last')
    version = version_of(response, StoreRefused)
    return Page(rows, has_more, version, _read_ms(response))


def only_row(page: Page, key: str) -> Row | None:
    """Return the row with this key from a range that begins at the key."""
    if page.rows and page.rows[0].row_key.key == key:
        return page.rows[0]
    return None


def changes_of(response: JsonResponse) -> Changes:
    version = version_of(response, StoreRefused)
    return Changes(rows_of(response), version, _read_ms(response))
