"""Values of the platform's table service: rows, checks and transactions."""

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
        version: Grows by one with each write; 0 means that there is no row.
        operation: Id of the transaction that wrote this version.
        document: The row's JSON object.
    """

    key: str
    version: int
    operation: str
    document: Document


@dataclass(frozen=True, slots=True)
class Check:
    """Commit only if the row still has this version (0: no row)."""

    key: str
    version: int


@dataclass(frozen=True, slots=True)
class Put:
    """Write a row; None deletes it."""

    key: str
    document: Document | None


def _new_operation() -> str:
    return uuid.uuid4().hex


@dataclass(frozen=True, slots=True)
class Transaction:
    """Checks and writes that take effect together or not at all.

    ``operation`` is written into each row. When the answer to a commit is
    lost, a retry conflicts with the client's own write; the row's operation
    tells that apart from a rival's.
    """

    checks: tuple[Check, ...]
    puts: tuple[Put, ...]
    operation: str = field(default_factory=_new_operation)


@dataclass(frozen=True, slots=True)
class Committed:
    """The transaction took effect; versions of the written rows by key."""

    version_by_key: Mapping[str, int]


@dataclass(frozen=True, slots=True)
class Conflict:
    """A check failed; the rows as they are now (version 0 if absent)."""

    rows: tuple[Row, ...]

    def row(self, key: str) -> Row | None:
        """Return the current row under ``key`` if it was in conflict."""
        for row in self.rows:
            if row.key == key:
                return row
        return None


CommitCallback = Callable[[Result[Committed | Conflict, Failure]], None]
ReadCallback = Callable[[Result[Sequence[Row], Failure]], None]


class Store(Protocol):
    """The table service as the cores see it; answers come by callback.

    A failure of a commit means that its effect is unknown.
    """

    def commit(self, transaction: Transaction, done: CommitCallback) -> None:
        """Commit, retrying lost answers until the client gives up."""

    def read(self, prefix: str, done: ReadCallback) -> None:
        """Read all rows whose key starts with ``prefix``, in key order."""
