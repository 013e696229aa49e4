"""The platform's table service: values, port and client."""

from hyssopring.store.rows import (
    Check,
    Committed,
    Conflict,
    Put,
    Row,
    Store,
    Transaction,
)

__all__ = (
    'Check',
    'Committed',
    'Conflict',
    'Put',
    'Row',
    'Store',
    'Transaction',
)
