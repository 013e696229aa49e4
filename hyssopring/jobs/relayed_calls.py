"""Converts relayed store calls and their outcomes to and from messages."""

import enum
from typing import Final

from twisted.python.failure import Failure as TwistedFailure

from hyssopring.jobs.relay_chunks import first_chunk, first_chunk_of_changes
from hyssopring.jobs.relay_messages import (
    RelayedCommit,
    RelayedResponse,
    StoredRow,
)
from hyssopring.jobs.rows import (
    Changes,
    Committed,
    Conflict,
    HistoryLost,
    Page,
    Row,
    RowCheck,
    RowKey,
    RowPut,
    StoreRefused,
    StoreUncertain,
    Transaction,
)

__all__ = (
    'REFUSED',
    'UNCERTAIN',
    'RelayedKind',
    'commit_request',
    'is_refused',
    'is_store_response',
    'is_uncertain',
    'outcome_from_response',
    'response_for_failure',
    'response_for_outcome',
    'single_row',
    'transaction_from_request',
)

Outcome = Committed | Conflict | Page | Changes | Row | None


class RelayedKind(enum.Enum):
    """Outcome of a relayed call."""

    COMMITTED = 'committed'
    CONFLICT = 'conflict'
    PAGE = 'page'
    CHANGES = 'changes'
    HISTORY_LOST = 'history-lost'
    REFUSED = 'refused'
    UNCERTAIN = 'uncertain'


REFUSED: Final = RelayedResponse(0, RelayedKind.REFUSED.value, 0, [], False)
UNCERTAIN: Final = RelayedResponse(0, RelayedKind.UNCERTAIN.value, 0, [], False)


def commit_request(number: int, transaction: Transaction) -> RelayedCommit:
    """Return the request to a peer to commit a transaction."""
    return RelayedCommit(
        number,
        [
            _stored_row(Row(check.row_key, '', check.version))
            for check in transaction.checks
        ],
        [
            _stored_row(Row(put.row_key, put.text, 0))
            for put in transaction.puts
        ],
        [_stored_row(Row(row_key, '', 0)) for row_key in transaction.removals],
    )


def transaction_from_request(request: RelayedCommit) -> Transaction:
    """Return the transaction in a peer's request."""
    return Transaction(
        tuple(RowCheck(_row_key(row), row.version) for row in request.checks),
        tuple(RowPut(_row_key(row), row.text) for row in request.puts),
        tuple(_row_key(row) for row in request.removals),
    )


def is_refused(response: RelayedResponse) -> bool:
    """Whether the call was certainly not carried out."""
    return response.kind == RelayedKind.REFUSED.value


def is_uncertain(response: RelayedResponse) -> bool:
    """Whether the call may have been, or may yet be, carried out."""
    return response.kind == RelayedKind.UNCERTAIN.value


def is_store_response(response: RelayedResponse) -> bool:
    """Whether the peer got a response from the store."""
    return not is_refused(response) and not is_uncertain(response)


def response_for_outcome(outcome: Outcome, number: int) -> RelayedResponse:
    """Return the response for an outcome of the store, cut if too long."""
    match outcome:
        case Committed(version):
            return _response(number, RelayedKind.COMMITTED, (), version)
        case Conflict(rows):
            return _response(number, RelayedKind.CONFLICT, rows)
        case Page(rows, has_more, version, _):
            chunk = first_chunk(rows)
            page = _response(number, RelayedKind.PAGE, chunk, version)
            page.has_more = has_more or len(chunk) < len(rows)
            return page
        case Changes():
            changes = first_chunk_of_changes(outcome)
            return _response(
                number,
                RelayedKind.CHANGES,
                changes.rows,
                changes.version,
            )
        case Row():
            return _response(number, RelayedKind.PAGE, (outcome,))
    return _response(number, RelayedKind.PAGE, ())


def response_for_failure(
    failure: TwistedFailure, number: int
) -> RelayedResponse:
    """Return the response for a failed call to the store."""
    reason = failure.trap(HistoryLost, StoreRefused, StoreUncertain)
    kind_by_error = {
        HistoryLost: RelayedKind.HISTORY_LOST,
        StoreRefused: RelayedKind.REFUSED,
        StoreUncertain: RelayedKind.UNCERTAIN,
    }
    return _response(number, kind_by_error[reason], ())


def outcome_from_response(response: RelayedResponse) -> Outcome:
    """Return the outcome in a response that the store gave.

    Raises:
        HistoryLost: The store no longer has the requested changes.
    """
    rows = tuple(
        Row(_row_key(row), row.text, row.version, row.is_removed)
        for row in response.rows
    )
    match RelayedKind(response.kind):
        case RelayedKind.COMMITTED:
            return Committed(response.version)
        case RelayedKind.CONFLICT:
            return Conflict(rows)
        case RelayedKind.PAGE:
            return Page(rows, response.has_more, response.version)
        case RelayedKind.CHANGES:
            return Changes(rows, response.version)
    raise HistoryLost


def single_row(outcome: Row | Page | None) -> Row | None:
    """Return the row of a single-row read.

    A direct call returns the row itself; a relayed one returns a page with
    at most one row.
    """
    if isinstance(outcome, Page):
        return outcome.rows[0] if outcome.rows else None
    return outcome


def _response(
    number: int,
    kind: RelayedKind,
    rows: tuple[Row, ...],
    version: int = 0,
) -> RelayedResponse:
    stored = [_stored_row(row) for row in rows]
    return RelayedResponse(number, kind.value, version, stored, False)


def _stored_row(row: Row) -> StoredRow:
    return StoredRow(
        row.row_key.table,
        row.row_key.part,
        row.row_key.key,
        row.text,
        row.version,
        row.is_removed,
    )


def _row_key(row: StoredRow) -> RowKey:
    return RowKey(row.table, row.part, row.key)
