"""Output of commands: results, and failures as one line.

Results go to standard output, failures to standard error.
"""

import json
import sys
from typing import Any, Mapping, NoReturn, Sequence, TypeVar

from result import Result

from hyssopring.cli.exits import CommandFailure, ExitCode
from hyssopring.cli.fleet_pages import FleetPages
from hyssopring.cli.tables import render_table

__all__ = (
    'exit_with',
    'unwrap_or_exit',
    'write_json',
    'write_line',
    'write_rows',
)

_Success = TypeVar('_Success')


def write_line(text: str) -> None:
    """Write a line to standard output."""
    sys.stdout.write(f'{text}\n')


def write_json(document: Any) -> None:
    """Write one line of JSON to standard output."""
    write_line(json.dumps(document, sort_keys=True))


def write_rows(
    fleet: FleetPages,
    columns: Sequence[str],
    rows: Sequence[Mapping[str, Any]],
    *,
    as_json: bool,
) -> None:
    """Write rows, then the entries that could not be read.

    Unreadable entries are written to standard error and end the process with
    ``ExitCode.UNREACHABLE``.

    Args:
        fleet: The pages that the rows were made from.
        columns: The columns of the table.
        rows: The rows, by column.
        as_json: Whether to write one JSON object instead of a table.
    """
    if as_json:
        write_json({'rows': rows, 'silent': fleet.failure_by_entry})
    elif rows:
        write_line(render_table(columns, rows))
    else:
        write_line('none')
    for entry, failure in fleet.failure_by_entry.items():
        sys.stderr.write(f'{entry} gave no answer: {failure}\n')
    if fleet.failure_by_entry:
        sys.exit(ExitCode.UNREACHABLE)


def unwrap_or_exit(outcome: Result[_Success, CommandFailure]) -> _Success:
    """Return the value of a result, or end the process with its failure."""
    if outcome.is_err():
        exit_with(outcome.unwrap_err())
    return outcome.unwrap()


def exit_with(failure: CommandFailure) -> NoReturn:
    """End the process with a failure's line and exit code."""
    line = ' '.join(failure.line.split())
    sys.stderr.write(f'hyssopring: {line}\n')
    sys.exit(failure.exit_code)
