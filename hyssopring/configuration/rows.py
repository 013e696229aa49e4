"""The configuration's rows in the table service.

``configuration/head`` holds the newest version. ``configuration/log/<V>``
holds what version V changed, zero-padded so that keys sort by version; the
newest ``LOG_LENGTH`` are kept. ``configuration/item/<key>`` holds the newest
document of each item, for a fresh start. A commit writes all three.
"""

from typing import Any, Final, Mapping, Sequence

from hyssopring.protocol.messages import ConfigurationItem, ConfigurationUpdate
from hyssopring.store import Row

__all__ = (
    'HEAD',
    'ITEMS',
    'LOG_LENGTH',
    'LOG_PAGE',
    'item_of',
    'log_document',
    'log_key',
    'log_page',
    'snapshot_of',
    'step_forward',
)

HEAD: Final = 'configuration/head'
ITEMS: Final = 'configuration/item/'
LOG_LENGTH: Final = 1000
# Log rows read at once: those whose keys differ in the last digit only.
LOG_PAGE: Final = 10
_LOG = 'configuration/log/'
_WIDTH = 12


def log_key(version: int) -> str:
    """Return the key of a version's log row."""
    return f'{_LOG}{version:0{_WIDTH}}'


def log_page(version: int) -> str:
    """Return the prefix of the log rows around a version."""
    return log_key(version)[:-1]


def log_document(items: Sequence[ConfigurationItem]) -> Mapping[str, Any]:
    """Return the log row of one version's changes."""
    return {'items': [[item.key, item.document] for item in items]}


def item_of(row: Row) -> ConfigurationItem:
    """Return the item in an item row."""
    return ConfigurationItem(
        row.key.removeprefix(ITEMS),
        row.document['version'],
        row.document['document'],
    )


def snapshot_of(rows: Sequence[Row]) -> ConfigurationUpdate:
    """Return the whole state from all item rows, read at one moment.

    The newest item's version is the state's: the item that a version changed
    stays until a later version changes it, and tombstones stay far longer
    than the newest version.
    """
    items = tuple(item_of(row) for row in rows)
    newest = max((item.version for item in items), default=0)
    return ConfigurationUpdate(0, newest, items)


def step_forward(base: int, rows: Sequence[Row]) -> ConfigurationUpdate | None:
    """Return the changes after ``base`` without a gap, None if there are none.

    A later change of the same item replaces an earlier one.
    """
    row_by_key = {row.key: row for row in rows}
    item_by_key: dict[str, ConfigurationItem] = {}
    version = base
    while log_key(version + 1) in row_by_key:
        version += 1
        for key, document in row_by_key[log_key(version)].document['items']:
            item_by_key[key] = ConfigurationItem(key, version, document)
    if version == base:
        return None
    return ConfigurationUpdate(base, version, tuple(item_by_key.values()))
