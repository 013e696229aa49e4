"""What commands write: results on standard output, failures in one line."""

import json
import sys
from typing import Any, Mapping, NoReturn, Sequence, TypeVar

from result import Result

from hyssopring.cli.exits import CommandFailure, ExitCode
from hyssopring.cli.fleet import Fleet
from hyssopring.cli.tables import render_table

__all__ = ('fail', 'good', 'say', 'say_json', 'say_rows')

_Kept = TypeVar('_Kept')


def say(text: str) -> None:
    """Write a line to standard output."""
    sys.stdout.write(f'{text}\n')


def say_json(document: Any) -> None:
    """Write one line of JSON to standard output."""
    say(json.dumps(document, sort_keys=True))


def say_rows(
    fleet: Fleet,
    columns: Sequence[str],
    rows: Sequence[Mapping[str, Any]],
    *,
    as_json: bool,
) -> None:
    """Write rows for people or scripts, then name the silent entries."""
    if as_json:
        say_json({'rows': rows, 'silent': fleet.silent_by_entry})
    elif rows:
        say(render_table(columns, rows))
    else:
        say('none')
    for entry, line in fleet.silent_by_entry.items():
        sys.stderr.write(f'{entry} gave no answer: {line}\n')
    if fleet.silent_by_entry:
        sys.exit(ExitCode.UNREACHABLE)


def good(outcome: Result[_Kept, CommandFailure]) -> _Kept:
    """Return a result's value, or end the process with its failure."""
    if outcome.is_err():
        fail(outcome.unwrap_err())
    return outcome.unwrap()


def fail(failure: CommandFailure) -> NoReturn:
    """End the process with one line on standard error."""
    line = ' '.join(failure.line.split())
    sys.stderr.write(f'hyssopring: {line}\n')
    sys.exit(failure.exit_code)
