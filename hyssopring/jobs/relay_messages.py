"""Messages that carry store calls to a peer, and their outcomes back."""

from hyssopring.protocol.structs import struct

__all__ = (
    'RelayedResponse',
    'RelayedChanges',
    'RelayedCommit',
    'RelayedRead',
    'StoredRow',
)


@struct
class StoredRow:
    """A row, or where one lies and which version it must have."""

    table: str
    part: str
    key: str
    text: str
    version: int
    is_removed: bool


@struct
class RelayedCommit:
    """Asks a peer to commit a transaction for an entry."""

    number: int
    checks: list[StoredRow]
    puts: list[StoredRow]
    removals: list[StoredRow]


@struct
class RelayedRead:
    """Asks a peer to read a page of rows, or only the row ``first``."""

    number: int
    table: str
    part: str
    first: str
    is_single: bool


@struct
class RelayedChanges:
    """Asks a peer what has changed in a table."""

    number: int
    table: str
    after: int
    wait_ms: int


@struct
class RelayedResponse:
    """What the store has answered a peer; ``kind`` is a ``RelayedKind``."""

    number: int
    kind: str
    version: int
    rows: list[StoredRow]
    has_more: bool
