"""Messages that carry store calls to a peer and the outcomes back."""

from hyssopring.protocol.structs import struct

__all__ = (
    'RelayedChanges',
    'RelayedCommit',
    'RelayedRead',
    'RelayedResponse',
    'StoredRow',
)


@struct
class StoredRow:
    """A row, or the key of a row with the version that it must have."""

    table: str
    part: str
    key: str
    text: str
    version: int
    is_removed: bool


@struct
class RelayedCommit:
    """Requests that a peer commit a transaction."""

    number: int
    checks: list[StoredRow]
    puts: list[StoredRow]
    removals: list[StoredRow]


@struct
class RelayedRead:
    """Requests that a peer read rows.

    Attributes:
        first: Key of the first row.
        is_single: Read only the row ``first``, not a page.
    """

    number: int
    table: str
    part: str
    first: str
    is_single: bool


@struct
class RelayedChanges:
    """Requests that a peer read the changes of a table.

    Attributes:
        after: Version after which changes are read.
        wait_ms: How long the store waits for a change.
    """

    number: int
    table: str
    after: int
    wait_ms: int


@struct
class RelayedResponse:
    """Outcome of a relayed call.

    Attributes:
        number: The number in the request.
        kind: Value of a ``RelayedKind``.
    """

    number: int
    kind: str
    version: int
    rows: list[StoredRow]
    has_more: bool
