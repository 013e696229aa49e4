"""Help as plain text.

The parser's own help opens a pager on a terminal, which is a process, and
lists the parser's inner names among the commands.
"""

import inspect
from typing import Iterator

from hyssopring.cli.commands import Commands

__all__ = ('command_help', 'command_names', 'program_help')

_INDENT = '  '


def command_names() -> tuple[str, ...]:
    """Return the names of all subcommands, in the order of their listing."""
    return tuple(
        name
        for name, member in Commands.__dict__.items()
        if inspect.isfunction(member) and not name.startswith('_')
    )


def program_help() -> str:
    """Return the help of the whole program."""
    names = command_names()
    width = max(len(name) for name in names)
    lines = ['usage: hyssopring COMMAND [ARGUMENTS] [FLAGS]', '', _doc()]
    lines.extend(('', 'commands:'))
    lines.extend(
        f'{_INDENT}{name.ljust(width)}{_INDENT}{_summary(name)}'
        for name in names
    )
    lines.extend(('', 'hyssopring COMMAND --help tells more of one.'))
    return '\n'.join(lines)


def command_help(name: str) -> str:
    """Return the help of one subcommand."""
    method = getattr(Commands, name)
    usage = ' '.join(('usage: hyssopring', name, *_arguments(name)))
    return f'{usage}\n\n{inspect.getdoc(method)}'


def _doc() -> str:
    return inspect.getdoc(Commands) or ''


def _summary(name: str) -> str:
    text = inspect.getdoc(getattr(Commands, name)) or ''
    return text.partition('\n')[0]


def _arguments(name: str) -> Iterator[str]:
    signature = inspect.signature(getattr(Commands, name))
    for argument in list(signature.parameters.values())[1:]:
        yield _shown(argument)


def _shown(argument: inspect.Parameter) -> str:
    placeholder = argument.name.upper()
    if argument.kind is inspect.Parameter.VAR_POSITIONAL:
        return f'{placeholder}...'
    if argument.default is inspect.Parameter.empty:
        return placeholder
    if argument.kind is inspect.Parameter.POSITIONAL_OR_KEYWORD:
        return f'[{placeholder}]'
    if argument.annotation is bool:
        return f'[--{argument.name}]'
    return f'[--{argument.name}={placeholder}]'
