"""Data types of the table service: rows, checks and transactions."""

import uuid
from dataclasses import dataclass, field
from typing import Any, Callable, Mapping, Protocol, Sequence

from result import Result

from hyssopring.errors import Failure

__all__ = (
    'Check',
    'CommitCallback',
    'Committed',
    'Conflict',
    'Document',
    'Put',
    'ReadCallback',
    'Row',
    'Store',
    'Transaction',
)

Document = Mapping[str, Any]


@dataclass(frozen=True, slots=True)
class Row:
    """One row as read.

    Attributes:
        key: Slash-separated path.
        version: Incremented by each write; 0 if the row does not exist.
        operation: Id of the transaction that wrote this version.
        document: The row's JSON object.
    """

    key: str
    version: int
    operation: str
    document: Document


@dataclass(frozen=True, slots=True)
class Check:
    """Precondition of a commit: the row has this version (0: no row)."""

    key: str
    version: int


@dataclass(frozen=True, slots=True)
class Put:
    """A write of a row; the document None deletes it."""

    key: str
    document: Document | None


def _new_operation_id() -> str:
    return uuid.uuid4().hex


@dataclass(frozen=True, slots=True)
class Transaction:
    """Checks and writes that are committed atomically.

    ``operation`` is written into each row. When the response to a commit is
    lost, a retry conflicts with the client's own write; the row's operation
    distinguishes it from the write of another client.
    """

    checks: tuple[Check, ...]
    puts: tuple[Put, ...]
    operation: str = field(default_factory=_new_operation_id)


@dataclass(frozen=True, slots=True)
class Committed:
    """The transaction was committed; versions of the written rows."""

    version_by_key: Mapping[str, int]


@dataclass(frozen=True, slots=True)
class Conflict:
    """A check failed; the current rows (version 0 if absent)."""

    rows: tuple[Row, ...]

    def row(self, key: str) -> Row | None:
        """Return the current row under ``key``, None if not in conflict."""
        for row in self.rows:
            if row.key == key:
                return row
        return None


CommitCallback = Callable[[Result[Committed | Conflict, Failure]], None]
ReadCallback = Callable[[Result[Sequence[Row], Failure]], None]


class Store(Protocol):
    """Interface of the table service; results are passed to callbacks.

    Callers take the outcome of a failed commit as unknown. ``StoreQueue`` also
    tells by the kind of failure whether it may have been committed.
    """

    def commit(self, transaction: Transaction, done: CommitCallback) -> None:
        """Commit a transaction; retry until a response or a timeout."""

    def read(self, prefix: str, done: ReadCallback) -> None:
        """Read all rows whose key starts with ``prefix``, in key order."""
