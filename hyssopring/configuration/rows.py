"""Rows of the configuration in the table service.

``configuration/head`` holds the newest version. ``configuration/log/<V>``
holds the changes of version V, zero-padded so that keys sort by version; the
newest ``MAX_LOG_ROWS`` rows are kept. ``configuration/item/<key>`` holds the
newest document of each item, for new processes. A commit writes all three.
"""

from typing import Annotated, Any, Final, Mapping, Sequence

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from hyssopring.numbers import MAX_EXACT_INTEGER
from hyssopring.protocol.messages import ConfigurationItem, ConfigurationUpdate
from hyssopring.store import Row

__all__ = (
    'HEAD_KEY',
    'ITEM_PREFIX',
    'LOG_PAGE_ROWS',
    'MAX_LOG_ROWS',
    'head_version',
    'item_of',
    'log_document',
    'log_key',
    'log_page_prefix',
    'log_update',
    'snapshot_of',
)

HEAD_KEY: Final = 'configuration/head'
ITEM_PREFIX: Final = 'configuration/item/'
MAX_LOG_ROWS: Final = 1000
# Rows in one read of the log: their keys differ only in the last digit.
LOG_PAGE_ROWS: Final = 10
_LOG_PREFIX = 'configuration/log/'
_VERSION_DIGITS = 12
_Version = Annotated[int, Field(ge=0, le=MAX_EXACT_INTEGER)]


class _Head(BaseModel):
    model_config = ConfigDict(strict=True)

    version: _Version


class _Item(_Head):
    document: str


class _Log(BaseModel):
    items: list[tuple[str, str]]


def log_key(version: int) -> str:
    """Return the key of the log row of a version."""
    return f'{_LOG_PREFIX}{version:0{_VERSION_DIGITS}}'


def log_page_prefix(version: int) -> str:
    """Return the prefix of the page of log rows with a version."""
    return log_key(version)[:-1]


def log_document(items: Sequence[ConfigurationItem]) -> Mapping[str, Any]:
    """Return the document of the log row for changed items."""
    return {'items': [[item.key, item.document] for item in items]}


def head_version(row: Row) -> int | None:
    """Return the newest version; None if the head row is malformed."""
    try:
        return _Head.model_validate(row.document).version
    except ValidationError:
        return None


def item_of(row: Row) -> ConfigurationItem | None:
    """Return the item of an item row; None if it is malformed."""
    try:
        item = _Item.model_validate(row.document)
    except ValidationError:
        return None
    key = row.key.removeprefix(ITEM_PREFIX)
    return ConfigurationItem(key, item.version, item.document)


def snapshot_of(rows: Sequence[Row]) -> ConfigurationUpdate:
    """Return the complete state from a consistent read of all item rows.

    Its version is that of the newest item: the item row of a version remains
    until a later version changes the item, and tombstones are removed only
    long after newer versions exist.
    """
    items = tuple(item for row in rows if (item := item_of(row)) is not None)
    newest_version = max((item.version for item in items), default=0)
    return ConfigurationUpdate(0, newest_version, items)


def log_update(base: int, rows: Sequence[Row]) -> ConfigurationUpdate | None:
    """Return the update from ``base`` over consecutive log rows.

    Of several changes to one item the latest is kept.

    Returns:
        The update, None if the log row after ``base`` is missing or
        malformed.
    """
    row_by_key = {row.key: row for row in rows}
    item_by_key: dict[str, ConfigurationItem] = {}
    version = base
    while log_key(version + 1) in row_by_key:
        changed = _changed_items(row_by_key[log_key(version + 1)])
        if changed is None:
            break
        version += 1
        for key, document in changed:
            item_by_key[key] = ConfigurationItem(key, version, document)
    if version == base:
        return None
    return ConfigurationUpdate(base, version, tuple(item_by_key.values()))


def _changed_items(row: Row) -> list[tuple[str, str]] | None:
    try:
        return _Log.model_validate(row.document).items
    except ValidationError:
        return None
