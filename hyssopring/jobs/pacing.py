"""Slows fillers down just so far that the keepers beside them do well.

Answers the pattern of keepers that reserve most of the workers and use half
of it, while fillers wait: fillers run beside keepers, and their pace is taken
back as far as the keepers' tails are over their targets, and no further.
Those that do most of the harm, as far as their images tell, are cut first.
"""

from collections import Counter
from typing import Callable, Final, Iterable

from hyssopring.clock import Clock
from hyssopring.jobs.attempts import (
    FULL_PACE,
    UNKNOWN_PACE,
    Attempt,
    Phase,
)
from hyssopring.jobs.harms import Harms, KeeperFigure
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
# A filler that surely takes less than this part of what the worst one takes of
# a keeper's room is spared while a cut of the others may help.
_SPARED_PART: Final = 0.35
_DEVIATIONS: Final = 0.7
# A tail over its target is the spared ones' matter too after this time, in ms.
_SPARE_MS: Final = 900.0
# A tail that falls is not cut again for so long, in ms: two figures.
_FALL_MS: Final = 1200.0
# After this, in ms, none works any more: 4 s on end are too long, and a figure
# and a pace take up to 1.1 s.
_STILL_MS: Final = 2000.0
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
        self._over_since: float | None = None
        self._harms = Harms()

    def turn(self, attempts: Iterable[Attempt]) -> None:
        """Look at the tails of one listing."""
        known = list(attempts)
        if not self._are_new(known):
            return
        fillers = [attempt for attempt in known if _is_filler(attempt)]
        keepers = _keepers(known)
        self._harms.look_beside(keepers, _use(fillers), self._figures_at)
        worst = max(keepers, key=_tail, default=None)
        self._turn_fillers(fillers, worst)

    def _turn_fillers(
        self,
        fillers: list[Attempt],
        worst: KeeperFigure | None,
    ) -> None:
        """Pace the fillers by the keeper that does worst."""
        tail = 0 if worst is None else _tail(worst)
        # The figures lag: after a cut they fall for some looks. A second cut
        # for the same peak would hold the fillers still for seconds.
        over_ms = self._over_ms(tail)
        is_falling = tail < self._last_tail and over_ms < _FALL_MS
        self._last_tail = tail
        spared = self._spared(worst, fillers, over_ms)
        for attempt in fillers:
            wanted = _wanted(attempt.pace, tail, is_falling)
            if over_ms > _STILL_MS:
                wanted = 0
            elif attempt.task in spared:
                wanted = max(wanted, attempt.pace)
            self._pace(attempt, wanted, tail)

    def _over_ms(self, tail: float) -> float:
        """For how long a tail has been over its target."""
        if tail <= _HIGH:
            self._over_since = None
            return 0
        if self._over_since is None:
            self._over_since = self._figures_at
        return self._figures_at - self._over_since

    def _spared(
        self,
        worst: KeeperFigure | None,
        fillers: list[Attempt],
        over_ms: float,
    ) -> set[str]:
        """Return the fillers that do little of what the worst one does."""
        if worst is None or over_ms > _SPARE_MS:
            return set()
        harms = {
            each.task: self._harms.per_core(worst.image, each.facts.image)
            for each in fillers
            if each.facts is not None
        }
        most = max((mean for mean, _ in harms.values()), default=0)
        return {
            task
            for task, (mean, deviation) in harms.items()
            if mean + _DEVIATIONS * deviation < _SPARED_PART * most
        }

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


def _keepers(attempts: list[Attempt]) -> list[KeeperFigure]:
    return [
        KeeperFigure(
            each.task,
            each.facts.image,
            each.load,
            each.facts.target_ms,
        )
        for each in attempts
        if each.facts is not None and each.facts.target_ms
    ]


def _use(fillers: list[Attempt]) -> Counter[str]:
    """Return the thousandths of a core that each image's fillers use."""
    use: Counter[str] = Counter()
    for each in fillers:
        if each.facts is not None:
            use[each.facts.image] += each.load
    return use


def _tail(keeper: KeeperFigure) -> float:
    """Return a tail as a part of its target."""
    return keeper.load / keeper.target_ms
