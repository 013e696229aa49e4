"""Help as plain text, from the doc comments of the commands.

The parser's own help is not used: on a terminal it starts a pager process, and
it lists inner names of the parser among the commands.
"""

import inspect
from typing import Iterator

from hyssopring.cli.commands import Commands

__all__ = ('command_help', 'command_names', 'program_help')

_INDENT = '  '


def command_names() -> tuple[str, ...]:
    """Return the names of all commands, in the order of definition."""
    return tuple(
        name
        for name, member in Commands.__dict__.items()
        if inspect.isfunction(member) and not name.startswith('_')
    )


def program_help() -> str:
    """Return the help of the whole program."""
    names = command_names()
    width = max(len(name) for name in names)
    lines = [
        'usage: hyssopring COMMAND [ARGUMENTS] [FLAGS]',
        '',
        _program_doc(),
    ]
    lines.extend(('', 'commands:'))
    lines.extend(
        f'{_INDENT}{name.ljust(width)}{_INDENT}{_summary(name)}'
        for name in names
    )
    lines.extend(('', 'hyssopring COMMAND --help tells more of one.'))
    return '\n'.join(lines)


def command_help(name: str) -> str:
    """Return the help of one command."""
    method = getattr(Commands, name)
    usage = ' '.join(('usage: hyssopring', name, *_format_parameters(name)))
    return f'{usage}\n\n{inspect.getdoc(method)}'


def _program_doc() -> str:
    return inspect.getdoc(Commands) or ''


def _summary(name: str) -> str:
    text = inspect.getdoc(getattr(Commands, name)) or ''
    return text.partition('\n')[0]


def _format_parameters(name: str) -> Iterator[str]:
    signature = inspect.signature(getattr(Commands, name))
    for parameter in list(signature.parameters.values())[1:]:
        yield _format_parameter(parameter)


def _format_parameter(parameter: inspect.Parameter) -> str:
    placeholder = parameter.name.upper()
    if parameter.kind is inspect.Parameter.VAR_POSITIONAL:
        return f'{placeholder}...'
    if parameter.default is inspect.Parameter.empty:
        return placeholder
    if parameter.kind is inspect.Parameter.POSITIONAL_OR_KEYWORD:
        return f'[{placeholder}]'
    if parameter.annotation is bool:
        return f'[--{parameter.name}]'
    return f'[--{parameter.name}={placeholder}]'
