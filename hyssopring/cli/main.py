"""The entry point: parses the command line and runs one command."""

import contextlib
import io
import sys
from typing import NoReturn, Sequence

import fire
from fire.decorators import SetParseFn
from pydantic import ValidationError

from hyssopring.cli.commands import Commands, PlannedCall
from hyssopring.cli.documents import usage_failure
from hyssopring.cli.help import command_help, command_names, program_help
from hyssopring.cli.output import exit_with, write_line

__all__ = ('main',)

_HELP_WORDS = frozenset(('--help', '-h', 'help'))
# Flags without a value: the parser would take the next argument as the value.
_BOOLEAN_FLAGS = frozenset(('--wait', '--json', '--keepers', '--number'))
# By default the parser ends a command's arguments at a lone dash, which stands
# for standard input here; this character does not occur in arguments.
_ARGUMENT_SEPARATOR = '\x1f'
_HINT = 'try hyssopring --help'


def main(arguments: Sequence[str] | None = None) -> None:
    """Run one command.

    Args:
        arguments: The arguments, without the program's name; those of the
            process by default.

    Raises:
        SystemExit: The command failed; the code is an ``ExitCode``.
    """
    words = list(sys.argv[1:] if arguments is None else arguments)
    wants_help = bool(_HELP_WORDS & set(words))
    command_words = [word for word in words if word not in _HELP_WORDS]
    name = next(
        (word for word in command_words if not word.startswith('-')), ''
    )
    if name and name not in command_names():
        exit_with(usage_failure(f'unknown command {name}; {_HINT}'))
    if wants_help:
        write_line(command_help(name) if name else program_help())
        return
    if not name:
        exit_with(usage_failure(f'no command; {_HINT}'))
    call = _parse(name, words)
    try:
        call()
    except ValidationError as error:
        _exit_invalid_argument(name, error)


def _parse(name: str, words: Sequence[str]) -> PlannedCall:
    if '--' in words:
        _exit_usage(name, 'unknown argument --')
    parser_words = [
        f'{word}=True' if word in _BOOLEAN_FLAGS else word for word in words
    ]
    calls: list[PlannedCall] = []
    collecting = type('Commands', (Commands,), {'_planned': calls})
    SetParseFn(str)(collecting)
    discarded = io.StringIO()
    try:
        # The command does not run yet: only the parser writes here, and its
        # errors are many lines long.
        with (
            contextlib.redirect_stdout(discarded),
            contextlib.redirect_stderr(discarded),
        ):
            fire.Fire(
                collecting,
                [*parser_words, '--', f'--separator={_ARGUMENT_SEPARATOR}'],
            )
    except fire.core.FireExit as stop:
        _exit_usage(name, _describe_parse_error(stop))
    if len(calls) != 1:
        _exit_usage(name, 'cannot tell what is asked')
    return calls[0]


def _describe_parse_error(stop: fire.core.FireExit) -> str:
    text = stop.trace.elements[-1].ErrorAsStr()
    unknown = text.removeprefix('Could not consume arg: ')
    if unknown != text:
        return f'unknown argument {unknown}'
    missing = text.rpartition('required argument: ')[2]
    return text if missing == text else f'{missing.upper()} is missing'


def _exit_invalid_argument(name: str, error: ValidationError) -> NoReturn:
    first_error = error.errors()[0]
    argument = first_error['loc'][-1]
    _exit_usage(
        name,
        f'{argument}: {first_error["msg"]}, found {first_error["input"]}',
    )


def _exit_usage(name: str, problem: str) -> NoReturn:
    exit_with(usage_failure(f'{name}: {problem}; try hyssopring {name} --help'))
