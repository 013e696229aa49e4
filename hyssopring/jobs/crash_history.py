"""Crashes of workers under starting tasks, as a job's row keeps them.

They stand in the row's table of failed attempts, under names of their own:
``crash/OCCURRENCE.STEP.INDEX/CAUSE/AGENT``. The release before keeps entries
of that table that it does not know, and would drop a field of its own.
"""

import enum
from dataclasses import dataclass
from types import MappingProxyType
from typing import Final

__all__ = ('Crash', 'CrashCause', 'CrashHistory')

_PREFIX: Final = 'crash/'
_SEPARATOR: Final = '/'
_PARTS: Final = 3


class CrashCause(enum.Enum):
    """What is known of a crash's cause.

    ISOLATED: The task was started in a trial, beside no other suspect.
    SHARED: It is one of those that were starting.
    COMMON: Other workers died at the same time.
    """

    ISOLATED = 'isolated'
    SHARED = 'shared'
    COMMON = 'common'


_CAUSE_BY_WORD: Final = MappingProxyType(
    {cause.value: cause for cause in CrashCause},
)


@dataclass(frozen=True, slots=True)
class Crash:
    """One crash of a worker that had just started an attempt."""

    agent_id: str
    attempt: int
    cause: CrashCause


class CrashHistory:
    """The crashes of one job by the task, or gang, that was starting."""

    def __init__(self, failed: dict[str, list[int]]) -> None:
        """Read ``failed``, and keep every change in it."""
        self._failed = failed
        self._by_suspect: dict[str, list[Crash]] = {}
        for entry, attempts in failed.items():
            if entry.startswith(_PREFIX):
                self._read(entry, attempts)

    @property
    def is_empty(self) -> bool:
        """Whether no worker has crashed under a task of the job."""
        return not self._by_suspect

    def of(self, suspect: str) -> tuple[Crash, ...]:
        """Return the crashes under a suspect, in no particular order."""
        return tuple(self._by_suspect.get(suspect, ()))

    def add(self, suspect: str, crash: Crash) -> bool:
        """Count a crash; False if this attempt's is known already."""
        known = self._by_suspect.setdefault(suspect, [])
        if any(each.attempt == crash.attempt for each in known):
            return False
        known.append(crash)
        entry = _entry(suspect, crash)
        self._failed.setdefault(entry, []).append(crash.attempt)
        return True

    def clear(self, suspect: str) -> None:
        """Forget a suspect that was started without a crash."""
        for crash in self._by_suspect.pop(suspect, ()):
            self._failed.pop(_entry(suspect, crash), None)

    def _read(self, entry: str, attempts: list[int]) -> None:
        parts = entry.removeprefix(_PREFIX).split(_SEPARATOR, _PARTS - 1)
        if len(parts) < _PARTS:
            return
        suspect, word, agent_id = parts
        cause = _CAUSE_BY_WORD.get(word)
        if cause is None:
            return
        crashes = self._by_suspect.setdefault(suspect, [])
        crashes.extend(Crash(agent_id, attempt, cause) for attempt in attempts)


def _entry(suspect: str, crash: Crash) -> str:
    parts = (suspect, crash.cause.value, crash.agent_id)
    return _PREFIX + _SEPARATOR.join(parts)
