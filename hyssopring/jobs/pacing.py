"""Slows fillers down just so far that the keepers beside them do well.

Answers the pattern of keepers that reserve most of the workers and use half
of it, while fillers wait: fillers run beside keepers, and their pace is taken
back as far as the keepers' tails are over their targets, and no further.
"""

from typing import Callable, Final, Iterable

from hyssopring.clock import Clock
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
# A pace rises by this much a figure: some three seconds from nothing to full.
_RISE: Final = 15
# A new agent starts what it finds from here.
_FIRST: Final = 50
# A filler that starts beside a keeper works at this pace until a figure shows
# what it does there. At full pace 60 of 100 keeper seconds over the target
# were in the first 1.2 s of a filler.
_ENTRY_PACE: Final = 30
# Figures are for half a second and told as often; the same ones told later
# than this, in ms, are taken for new ones that are equal.
_FIGURE_MS: Final = 450.0


class Pacer:
    """Decides the fillers' paces on one worker, from its own lists."""

    def __init__(
        self,
        clock: Clock,
        set_pace: Callable[[Attempt, int], None],
    ) -> None:
        """Carry decisions out with ``set_pace``."""
        self._clock = clock
        self._set_pace = set_pace
        self._last_tail = float()
        self._load_by_task: dict[str, int] = {}
        self._figures_at = -_FIGURE_MS
        self._let_in: set[tuple[str, int]] = set()

    def turn(self, attempts: Iterable[Attempt]) -> None:
        """Look at the tails of one listing."""
        known = list(attempts)
        fillers = [attempt for attempt in known if _is_filler(attempt)]
        shown = [attempt for attempt in fillers if self._is_let_in(attempt)]
        if any(_has_target(attempt) for attempt in known):
            self._let_slowly_in(fillers)
        self._let_in = {(each.task, each.number) for each in fillers}
        if not self._are_new(known):
            return
        tail = _worst_tail(known)
        # The figures lag: after a cut they fall for some looks. A second cut
        # for the same peak would hold the fillers still for seconds.
        is_falling = tail < self._last_tail
        self._last_tail = tail
        for attempt in shown:
            self._pace(attempt, _wanted(attempt.pace, tail, is_falling), tail)

    def _let_slowly_in(self, fillers: list[Attempt]) -> None:
        """Hold what has just started back until its effect is seen."""
        for attempt in fillers:
            if not self._is_let_in(attempt) and attempt.pace > _ENTRY_PACE:
                self._pace(attempt, _ENTRY_PACE, self._last_tail)

    def _is_let_in(self, attempt: Attempt) -> bool:
        """Whether an earlier look knew the filler, or a former agent did."""
        is_known = (attempt.task, attempt.number) in self._let_in
        return is_known or attempt.pace == UNKNOWN_PACE

    def _are_new(self, known: list[Attempt]) -> bool:
        """Whether the figures are others than those of the last decision.

        A listing that comes early, as a task has ended or begun, repeats the
        figures of the last one. Paces that moved at each were cut again for
        one figure: 73 of 320 cuts were of paces that were below 10 already.
        """
        now = self._clock.now()
        loads = {each.task: each.load for each in known}
        both = loads.keys() & self._load_by_task.keys()
        is_same = all(loads[task] == self._load_by_task[task] for task in both)
        if is_same and now - self._figures_at < _FIGURE_MS:
            return False
        self._load_by_task = loads
        self._figures_at = now
        return True

    def _pace(self, attempt: Attempt, wanted: int, tail: float) -> None:
        if wanted == attempt.pace:
            return
        log_event(
            Event.TASK_PACED,
            task=attempt.task,
            pace=wanted,
            before=attempt.pace,
            tail_percent=round(tail * FULL_PACE),
        )
        self._set_pace(attempt, wanted)


def _wanted(pace: int, tail: float, is_falling: bool) -> int:
    """Return the pace that fits the worst tail."""
    if pace == UNKNOWN_PACE:
        return _FIRST
    if tail < _CALM:
        return min(FULL_PACE, pace + _RISE)
    if tail > _HIGH and not is_falling:
        return round(pace * max(_AIM / tail, _DEEPEST_CUT))
    return pace


def _is_filler(attempt: Attempt) -> bool:
    return (
        attempt.phase is Phase.RUNNING
        and attempt.facts is not None
        and attempt.facts.fills
    )


def _has_target(attempt: Attempt) -> bool:
    return attempt.facts is not None and attempt.facts.target_ms > 0


def _worst_tail(attempts: list[Attempt]) -> float:
    """Return the worst tail as a part of its target, 0 without any."""
    parts = [
        attempt.load / attempt.facts.target_ms
        for attempt in attempts
        if attempt.facts is not None and attempt.facts.target_ms
    ]
    return max(parts, default=0)
