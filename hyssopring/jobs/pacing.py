"""Slows fillers down while a keeper beside them misses its target."""

from dataclasses import dataclass
from typing import Callable, Final, Iterable

from hyssopring.jobs.attempts import (
    FULL_PACE,
    UNKNOWN_PACE,
    Attempt,
    Phase,
)

__all__ = ('Pacer',)

# Paces a filler is taken down through while a tail stays over its target:
# the figures are half a second old, and a keeper earns nothing above it.
_DOWN: Final = (100, 50, 20, 0)
# A pace rises by this much per look while every tail is below this part of
# its target, so that one noisy look does not undo it.
_RISE: Final = 10
_CALM_PART: Final = 0.7


@dataclass(frozen=True, slots=True)
class _Tails:
    """The worst of the keepers' tails, as a part of its target."""

    worst: float

    @classmethod
    def from_attempts(cls, attempts: Iterable[Attempt]) -> '_Tails':
        """Read the tails of the keepers that have a target."""
        parts = [
            attempt.load / attempt.facts.target_ms
            for attempt in attempts
            if attempt.facts is not None and attempt.facts.target_ms
        ]
        return cls(max(parts, default=0))


class Pacer:
    """Decides the fillers' pace on one worker, from its own lists."""

    def __init__(self, set_pace: Callable[[Attempt, int], None]) -> None:
        """Carry decisions out with ``set_pace``."""
        self._set_pace = set_pace

    def turn(self, attempts: Iterable[Attempt]) -> None:
        """Look at the tails of one listing."""
        known = list(attempts)
        worst = _Tails.from_attempts(known).worst
        for attempt in known:
            if attempt.facts is None or not attempt.facts.fills:
                continue
            if attempt.phase is Phase.RUNNING:
                self._turn_filler(attempt, worst)

    def _turn_filler(self, attempt: Attempt, worst: float) -> None:
        wanted = attempt.pace
        if wanted == UNKNOWN_PACE:
            wanted = FULL_PACE if worst < _CALM_PART else _DOWN[1]
        elif worst > 1:
            lower = [pace for pace in _DOWN if pace < attempt.pace]
            wanted = lower[0] if lower else 0
        elif worst < _CALM_PART:
            wanted = min(FULL_PACE, attempt.pace + _RISE)
        if wanted != attempt.pace:
            self._set_pace(attempt, wanted)
