"""Store calls that a peer makes, and their outcomes, as messages."""

import enum
from typing import Final

from twisted.python.failure import Failure as TwistedFailure

from hyssopring.jobs.relay_messages import (
    RelayedResponse,
    RelayedCommit,
    StoredRow,
)
from hyssopring.jobs.relayed_pieces import first_changes, first_rows
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
    'IN_DOUBT',
    'REFUSED',
    'RelayedKind',
    'answer_of',
    'commit_message',
    'failed_answer',
    'is_in_doubt',
    'is_refused',
    'is_served',
    'only_row',
    'outcome_of',
    'transaction_of',
)

Outcome = Committed | Conflict | Page | Changes | Row | None


class RelayedKind(enum.Enum):
    """What became of a relayed call."""

    COMMITTED = 'committed'
    CONFLICT = 'conflict'
    PAGE = 'page'
    CHANGES = 'changes'
    HISTORY_LOST = 'history-lost'
    REFUSED = 'refused'
    UNCERTAIN = 'uncertain'


REFUSED: Final = RelayedResponse(0, RelayedKind.REFUSED.value, 0, [], False)
IN_DOUBT: Final = RelayedResponse(0, RelayedKind.UNCERTAIN.value, 0, [], False)


def commit_message(number: int, transaction: Transaction) -> RelayedCommit:
    """Return the message that asks a peer to commit a transaction."""
    return RelayedCommit(
        number,
        [
            _stored(Row(check.row_key, '', check.version))
            for check in transaction.checks
        ],
        [_stored(Row(put.row_key, put.text, 0)) for put in transaction.puts],
        [_stored(Row(place, '', 0)) for place in transaction.removals],
    )


def transaction_of(message: RelayedCommit) -> Transaction:
    """Return the transaction that a peer asks for."""
    return Transaction(
        tuple(RowCheck(_place(row), row.version) for row in message.checks),
        tuple(RowPut(_place(row), row.text) for row in message.puts),
        tuple(_place(row) for row in message.removals),
    )


def is_refused(answer: RelayedResponse) -> bool:
    """Whether the call was surely not carried out."""
    return answer.kind == RelayedKind.REFUSED.value


def is_in_doubt(answer: RelayedResponse) -> bool:
    """Whether the call may have been, or may yet be, carried out."""
    return answer.kind == RelayedKind.UNCERTAIN.value


def is_served(answer: RelayedResponse) -> bool:
    """Whether the store has answered the peer."""
    return not is_refused(answer) and not is_in_doubt(answer)


def answer_of(outcome: Outcome, number: int) -> RelayedResponse:
    """Return the message that tells what the store has answered."""
    match outcome:
        case Committed(version):
            return _answer(number, RelayedKind.COMMITTED, (), version)
        case Conflict(rows):
            return _answer(number, RelayedKind.CONFLICT, rows)
        case Page(rows, has_more, version, _):
            piece = first_rows(rows)
            page = _answer(number, RelayedKind.PAGE, piece, version)
            page.has_more = has_more or len(piece) < len(rows)
            return page
        case Changes():
            first = first_changes(outcome)
            return _answer(
                number,
                RelayedKind.CHANGES,
                first.rows,
                first.version,
            )
        case Row():
            return _answer(number, RelayedKind.PAGE, (outcome,))
    return _answer(number, RelayedKind.PAGE, ())


def failed_answer(failure: TwistedFailure, number: int) -> RelayedResponse:
    """Return the message that tells that the store has not answered."""
    reason = failure.trap(HistoryLost, StoreRefused, StoreUncertain)
    kind_by_error = {
        HistoryLost: RelayedKind.HISTORY_LOST,
        StoreRefused: RelayedKind.REFUSED,
        StoreUncertain: RelayedKind.UNCERTAIN,
    }
    return _answer(number, kind_by_error[reason], ())


def outcome_of(answer: RelayedResponse) -> Outcome:
    """Return what a served call has come to; raises HistoryLost."""
    rows = tuple(
        Row(_place(row), row.text, row.version, row.is_removed)
        for row in answer.rows
    )
    match RelayedKind(answer.kind):
        case RelayedKind.COMMITTED:
            return Committed(answer.version)
        case RelayedKind.CONFLICT:
            return Conflict(rows)
        case RelayedKind.PAGE:
            return Page(rows, answer.has_more, answer.version)
        case RelayedKind.CHANGES:
            return Changes(rows, answer.version)
    raise HistoryLost


def only_row(outcome: Row | Page | None) -> Row | None:
    """The direct way gives the row itself, a peer a page with it or none."""
    if isinstance(outcome, Page):
        return outcome.rows[0] if outcome.rows else None
    return outcome


def _answer(
    number: int,
    kind: RelayedKind,
    rows: tuple[Row, ...],
    version: int = 0,
) -> RelayedResponse:
    stored = [_stored(row) for row in rows]
    return RelayedResponse(number, kind.value, version, stored, False)


def _stored(row: Row) -> StoredRow:
    return StoredRow(
        row.row_key.table,
        row.row_key.part,
        row.row_key.key,
        row.text,
        row.version,
        row.is_removed,
    )


def _place(row: StoredRow) -> RowKey:
    return RowKey(row.table, row.part, row.key)
