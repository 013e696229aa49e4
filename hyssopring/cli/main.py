"""The one binary's command line."""

import contextlib
import io
import sys
from typing import NoReturn, Sequence

import fire
from fire.decorators import SetParseFn
from pydantic import ValidationError

from hyssopring.cli.commands import Commands, Planned
from hyssopring.cli.documents import usage
from hyssopring.cli.help import command_help, command_names, program_help
from hyssopring.cli.output import fail, say

__all__ = ('main',)

_HELP = frozenset(('--help', '-h', 'help'))
# Flags without a value: the parser would take the next argument for it.
_SWITCHES = frozenset(('--wait', '--json', '--keepers', '--number'))
# The parser ends a command's arguments at a lone dash, which stands for
# standard input here; nobody types this character.
_SEPARATOR = '\x1f'
_HINT = 'try hyssopring --help'


def main(arguments: Sequence[str] | None = None) -> None:
    """Run the command named on the command line."""
    given = list(sys.argv[1:] if arguments is None else arguments)
    wants_help = bool(_HELP & set(given))
    words = [word for word in given if word not in _HELP]
    name = next((word for word in words if not word.startswith('-')), '')
    if name and name not in command_names():
        fail(usage(f'unknown command {name}; {_HINT}'))
    if wants_help:
        say(command_help(name) if name else program_help())
        return
    if not name:
        fail(usage(f'no command; {_HINT}'))
    planned = _parse(name, given)
    try:
        planned()
    except ValidationError as error:
        _fail_argument(name, error)


def _parse(name: str, given: Sequence[str]) -> Planned:
    if '--' in given:
        _fail_usage(name, 'unknown argument --')
    words = [f'{word}=True' if word in _SWITCHES else word for word in given]
    planned: list[Planned] = []
    collecting = type('Commands', (Commands,), {'_planned': planned})
    SetParseFn(str)(collecting)
    unseen = io.StringIO()
    try:
        # Nothing runs yet: the parser's own output is many lines long.
        with (
            contextlib.redirect_stdout(unseen),
            contextlib.redirect_stderr(unseen),
        ):
            fire.Fire(collecting, [*words, '--', f'--separator={_SEPARATOR}'])
    except fire.core.FireExit as stop:
        _fail_usage(name, _reason(stop))
    if len(planned) != 1:
        _fail_usage(name, 'cannot tell what is asked')
    return planned[0]


def _reason(stop: fire.core.FireExit) -> str:
    text = stop.trace.elements[-1].ErrorAsStr()
    unknown = text.removeprefix('Could not consume arg: ')
    if unknown != text:
        return f'unknown argument {unknown}'
    missing = text.rpartition('required argument: ')[2]
    return text if missing == text else f'{missing.upper()} is missing'


def _fail_argument(name: str, error: ValidationError) -> NoReturn:
    problem = error.errors()[0]
    argument = problem['loc'][-1]
    _fail_usage(
        name,
        f'{argument}: {problem["msg"]}, found {problem["input"]}',
    )


def _fail_usage(name: str, line: str) -> NoReturn:
    fail(usage(f'{name}: {line}; try hyssopring {name} --help'))
