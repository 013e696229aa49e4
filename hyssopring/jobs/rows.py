"""What jobs ask of the platform's store: rows in tables and parts."""

from dataclasses import dataclass
from typing import Any, Protocol

__all__ = (
    'Changes',
    'Committed',
    'Conflict',
    'HistoryLost',
    'Page',
    'Row',
    'RowCheck',
    'RowKey',
    'RowPut',
    'RowStore',
    'StoreRefused',
    'StoreUncertain',
    'Transaction',
)


class StoreRefused(Exception):
    """The call was surely not carried out."""


class StoreUncertain(Exception):
    """No answer came: the call may have been, or may yet be, carried out."""


class HistoryLost(Exception):
    """Changes since the asked version are not known any more."""


@dataclass(frozen=True, slots=True)
class RowKey:
    """Where a row lies; the rows of one transaction share a part."""

    table: str
    part: str
    key: str


@dataclass(frozen=True, slots=True)
class Row:
    """A row as it is; a removed one has no text."""

    row_key: RowKey
    text: str
    version: int
    is_removed: bool = False


@dataclass(frozen=True, slots=True)
class RowCheck:
    """The version that a row must have; 0 that it must not exist."""

    row_key: RowKey
    version: int


@dataclass(frozen=True, slots=True)
class RowPut:
    """A row to write."""

    row_key: RowKey
    text: str


@dataclass(frozen=True, slots=True)
class Transaction:
    """All of this or nothing."""

    checks: tuple[RowCheck, ...] = ()
    puts: tuple[RowPut, ...] = ()
    removals: tuple[RowKey, ...] = ()


@dataclass(frozen=True, slots=True)
class Committed:
    """The transaction's version: its rows have it now."""

    version: int


@dataclass(frozen=True, slots=True)
class Conflict:
    """Nothing was done; these are the checked rows that exist."""

    rows: tuple[Row, ...]


@dataclass(frozen=True, slots=True)
class Page:
    """Rows as of one moment; ``has_more`` if the range goes on.

    Attributes:
        read_ms: That moment by the store's steady clock, None if not told.
    """

    rows: tuple[Row, ...]
    has_more: bool
    version: int
    read_ms: float | None = None


@dataclass(frozen=True, slots=True)
class Changes:
    """What changed in a table up to ``version``; see ``Page``."""

    rows: tuple[Row, ...]
    version: int
    read_ms: float | None = None


class RowStore(Protocol):
    """The store; each call returns a Twisted ``Deferred``.

    They fail with ``StoreRefused`` or ``StoreUncertain``.
    """

    def commit(self, transaction: Transaction) -> Any:
        """Return a deferred ``Committed`` or ``Conflict``."""

    def read(self, table: str, part: str, first: str = '') -> Any:
        """Return a deferred ``Page`` of rows from key ``first`` on."""

    def read_one(self, place: RowKey) -> Any:
        """Return a deferred ``Row``, or None if there is none."""

    def changes(self, table: str, after: int, wait_ms: int) -> Any:
        """Return deferred ``Changes``; may fail with ``HistoryLost``."""
