"""Access to the platform's table service: data types, protocol and client."""

from hyssopring.store.rows import (
    Check,
    CommitCallback,
    Committed,
    Conflict,
    Document,
    Put,
    ReadCallback,
    Row,
    Store,
    Transaction,
)

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
