"""Exit codes of the command line, and the failure that carries one."""

import enum
from dataclasses import dataclass
from types import MappingProxyType
from typing import Final, Mapping

__all__ = ('MEANING_BY_EXIT', 'CommandFailure', 'ExitCode')


class ExitCode(enum.IntEnum):
    """Exit codes of the process, for scripts."""

    SUCCESS = 0
    REFUSED = 1
    USAGE = 2
    UNREACHABLE = 3
    NOT_IN_FORCE = 4


MEANING_BY_EXIT: Final[Mapping[ExitCode, str]] = MappingProxyType(
    {
        ExitCode.SUCCESS: 'done',
        ExitCode.REFUSED: 'refused or failed; the line says why',
        ExitCode.USAGE: 'wrong usage, or wrong settings or file',
        ExitCode.UNREACHABLE: 'an entry gave no answer; what it did is unknown',
        ExitCode.NOT_IN_FORCE: 'accepted, but --wait ran out of time',
    }
)


@dataclass(frozen=True)
class CommandFailure:
    """The failure that ends a command.

    Attributes:
        exit_code: The exit code of the process.
        line: The cause, printed to standard error as one line.
    """

    exit_code: ExitCode
    line: str
