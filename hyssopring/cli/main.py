"""The one binary's command line."""

import os
import sys

import fire

from hyssopring.cli.commands import Commands

__all__ = ('main',)


def main() -> None:
    """Run the command named on the command line."""
    # Long help would otherwise be shown by a pager, which is a process of
    # its own; the system starts none.
    os.environ['PAGER'] = ''
    fire.core.Display = _print_lines
    fire.Fire(Commands, name='hyssopring')


def _print_lines(lines: list[str], out: object) -> None:
    print('\n'.join(lines), file=sys.stderr)  # noqa: WPS421
