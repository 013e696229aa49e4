"""Crashes of workers under starting tasks, as a job's row keeps them.

They stand in the row's table of failed attempts, under names of their own:
``crash/OCCURRENCE.STEP.INDEX/KIND/AGENT``. The release before keeps the entries
of that table that it does not know, and would drop a field of its own.
"""

from dataclasses import dataclass
from typing import Final

__all__ = ('Crash', 'CrashHistory')

_PREFIX: Final = 'crash/'
_SEPARATOR: Final = '/'
_SHARED: Final = 'shared'
_ISOLATED: Final = 'isolated'
_PARTS: Final = 3


@dataclass(frozen=True, slots=True)
class Crash:
    """One crash of a worker that had just started an attempt.

    Attributes:
        is_isolated: No other suspect was there, and nothing else is known
            that would explain the crash.
    """

    agent_id: str
    attempt: int
    is_isolated: bool


class CrashHistory:
    """The crashes of one job by the task, or gang, that was starting."""

    def __init__(self, failed: dict[str, list[int]]) -> None:
        """Read ``failed``, and keep every change in it."""
        self._failed = failed
        self._by_suspect: dict[str, list[Crash]] = {}
        for entry, attempts in failed.items():
            if entry.startswith(_PREFIX):
                self._read(entry, attempts)

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
        suspect, kind, agent_id = parts
        crashes = self._by_suspect.setdefault(suspect, [])
        crashes.extend(
            Crash(agent_id, attempt, kind == _ISOLATED) for attempt in attempts
        )


def _entry(suspect: str, crash: Crash) -> str:
    kind = _ISOLATED if crash.is_isolated else _SHARED
    return _PREFIX + _SEPARATOR.join((suspect, kind, crash.agent_id))
