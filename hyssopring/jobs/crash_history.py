"""Crashes of workers under starting tasks, stored in a job's progress row.

They are entries of the row's table of failed attempts, with keys of the form
``crash/OCCURRENCE.STEP.INDEX/CAUSE/AGENT``. The previous release keeps unknown
entries of that table, but would drop an unknown field of the row.
"""

import enum
from dataclasses import dataclass
from types import MappingProxyType
from typing import Final

__all__ = ('Crash', 'CrashCause', 'CrashHistory')

_PREFIX: Final = 'crash/'
_SEPARATOR: Final = '/'
_PART_COUNT: Final = 3


class CrashCause(enum.Enum):
    """What is known about the cause of a crash.

    ISOLATED: The task was started in a trial, with no other suspect.
    SHARED: The task is one of those that were starting.
    COMMON: Other workers crashed at the same time.
    """

    ISOLATED = 'isolated'
    SHARED = 'shared'
    COMMON = 'common'


_CAUSE_BY_NAME: Final = MappingProxyType(
    {cause.value: cause for cause in CrashCause},
)


@dataclass(frozen=True, slots=True)
class Crash:
    """A crash of a worker that had just started an attempt."""

    agent_id: str
    attempt: int
    cause: CrashCause


class CrashHistory:
    """The crashes of one job, by the budget key of the task or gang."""

    def __init__(self, failed: dict[str, list[int]]) -> None:
        """Read the crashes from ``failed`` and write all changes back to it.

        Args:
            failed: Attempt numbers by key, as in a progress row.
        """
        self._failed = failed
        self._crashes_by_suspect: dict[str, list[Crash]] = {}
        for entry_key, attempts in failed.items():
            if entry_key.startswith(_PREFIX):
                self._read(entry_key, attempts)

    @property
    def is_empty(self) -> bool:
        """Return whether no worker has crashed under a task of the job."""
        return not self._crashes_by_suspect

    def crashes_of(self, suspect: str) -> tuple[Crash, ...]:
        """Return the crashes under a suspect, in no particular order."""
        return tuple(self._crashes_by_suspect.get(suspect, ()))

    def add(self, suspect: str, crash: Crash) -> bool:
        """Add a crash; return False if the attempt's crash is known."""
        known_crashes = self._crashes_by_suspect.setdefault(suspect, [])
        if any(known.attempt == crash.attempt for known in known_crashes):
            return False
        known_crashes.append(crash)
        entry_key = _entry_key(suspect, crash)
        self._failed.setdefault(entry_key, []).append(crash.attempt)
        return True

    def clear(self, suspect: str) -> None:
        """Remove the crashes of a suspect that has started without one."""
        for crash in self._crashes_by_suspect.pop(suspect, ()):
            self._failed.pop(_entry_key(suspect, crash), None)

    def _read(self, entry_key: str, attempts: list[int]) -> None:
        """Read an entry; skip one in a format of a later release."""
        parts = entry_key.removeprefix(_PREFIX).split(
            _SEPARATOR, _PART_COUNT - 1
        )
        if len(parts) < _PART_COUNT:
            return
        suspect, cause_name, agent_id = parts
        cause = _CAUSE_BY_NAME.get(cause_name)
        if cause is None:
            return
        crashes = self._crashes_by_suspect.setdefault(suspect, [])
        crashes.extend(Crash(agent_id, attempt, cause) for attempt in attempts)


def _entry_key(suspect: str, crash: Crash) -> str:
    parts = (suspect, crash.cause.value, crash.agent_id)
    return _PREFIX + _SEPARATOR.join(parts)
