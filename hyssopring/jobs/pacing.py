"""Slows fillers down just so far that the keepers beside them do well.

Answers the pattern of keepers that reserve most of the workers and use half
of it, while fillers wait: fillers run beside keepers, and their pace is taken
back as far as the keepers' tails are over their targets, and no further.
"""

from typing import Callable, Final, Iterable

from hyssopring.jobs.attempts import (
    FULL_PACE,
    UNKNOWN_PACE,
    Attempt,
    Phase,
)
from hyssopring.logs import Event, log_event

__all__ = ('Pacer',)

# Tails are parts of a keeper's target. Above the first paces are cut, below
# the second they rise; in between they stay.
_HIGH: Final = 1.0
_CALM: Final = 0.7
# A cut aims at this part of the target, and takes at most so much at once.
_AIM: Final = 0.5
_DEEPEST_CUT: Final = 0.15
# A pace rises by this much a look: some three seconds from nothing to full.
_RISE: Final = 15
# A new agent starts what it finds from here.
_FIRST: Final = 50


class Pacer:
    """Decides the fillers' paces on one worker, from its own lists."""

    def __init__(self, set_pace: Callable[[Attempt, int], None]) -> None:
        """Carry decisions out with ``set_pace``."""
        self._set_pace = set_pace
        self._last_tail = float()

    def turn(self, attempts: Iterable[Attempt]) -> None:
        """Look at the tails of one listing."""
        known = list(attempts)
        tail = _worst_tail(known)
        # The figures lag: after a cut they fall for some looks. A second cut
        # for the same peak would hold the fillers still for seconds.
        is_falling = tail < self._last_tail
        self._last_tail = tail
        for attempt in known:
            if attempt.facts is None or not attempt.facts.fills:
                continue
            if attempt.phase is Phase.RUNNING:
                self._turn_filler(attempt, tail, is_falling)

    def _turn_filler(
        self,
        attempt: Attempt,
        tail: float,
        is_falling: bool,
    ) -> None:
        pace = attempt.pace
        wanted = pace
        if pace == UNKNOWN_PACE:
            wanted = _FIRST
        elif tail < _CALM:
            wanted = min(FULL_PACE, pace + _RISE)
        elif tail > _HIGH and not is_falling:
            wanted = round(pace * max(_AIM / tail, _DEEPEST_CUT))
        if wanted != pace:
            log_event(
                Event.TASK_PACED,
                task=attempt.task,
                pace=wanted,
                before=pace,
                tail_percent=round(tail * FULL_PACE),
            )
            self._set_pace(attempt, wanted)


def _worst_tail(attempts: list[Attempt]) -> float:
    """Return the worst tail as a part of its target, 0 without any."""
    parts = [
        attempt.load / attempt.facts.target_ms
        for attempt in attempts
        if attempt.facts is not None and attempt.facts.target_ms
    ]
    return max(parts, default=0)
