"""Slows fillers down just so far that the keepers beside them do well.

Answers the pattern of keepers that reserve most of the workers and use half
of it, while fillers wait: fillers run beside keepers, and paces are set from
what each filler takes of the keepers' headroom. Those that harm are cut, at
once as far as needed; those that do not go on at full pace.
"""

from collections import Counter
from dataclasses import dataclass
from typing import Callable, Final, Iterable

from hyssopring.clock import Clock
from hyssopring.jobs.attempts import (
    FULL_PACE,
    UNKNOWN_PACE,
    Attempt,
    Phase,
)
from hyssopring.jobs.interference import (
    InterferenceEstimate,
    InterferenceModel,
    KeeperFigure,
)
from hyssopring.logs import Event, log_event

__all__ = ('Pacer',)

# Headrooms: 1 is a keeper at its target. Below the first paces are cut, so far
# that the second is left; rises leave the second, too. A figure tells of half a
# second that has gone by: in the time until a pace acts, load that swings takes
# 0.2 of headroom more. A second over the target costs a keeper's users what
# some twenty core-seconds of fillers earn theirs.
_LOW: Final = 1.2
_AIM: Final = 1.45
# A pace rises by this much a figure at most.
_RISE: Final = 34
# Smaller changes are not worth a call.
_LEAST_RISE: Final = 5
# A new agent starts what it finds from here.
_FIRST: Final = 50
# A filler that takes less headroom a core than this is cut only when all stop.
_BLAMELESS: Final = 0.03
# A keeper that is over its target for longer than this has fillers cut that may
# harm it, not only those that are known to: the model is wrong, or too new.
_DOUBT_MS: Final = 900.0
# After this all fillers beside it stop: users bear 4 s on end at the most, and
# the next figure and the pace take up to 1.1 s.
_STILL_MS: Final = 2000.0
# Figures are for half a second and told as often; the same ones told later
# than this, in ms, are taken for new ones that are equal.
_FIGURE_MS: Final = 450.0
_MILLIS: Final = 1000


@dataclass(slots=True)
class _Filler:
    """A running filler while its pace is decided.

    Attributes:
        cores: What it uses at full pace.
        use: The cores that it uses now, as far as is known.
        pace: The pace that it is to have.
    """

    attempt: Attempt
    image: str
    cores: float
    use: float
    pace: float

    def cut(self, cores: float) -> None:
        """Let it use so many cores less."""
        self.pace *= 1 - cores / self.use
        self.use -= cores

    def risen_by(self, cores: float) -> float:
        """By how much its pace rises if it may use so many cores more."""
        left = FULL_PACE - self.pace
        allowed = cores / max(self.cores, 1 / _MILLIS) * FULL_PACE
        percent = min(_RISE, left, allowed)
        return 0 if percent < min(_LEAST_RISE, left) else percent

    def rise(self, percent: float) -> None:
        """Let it work at so much more of its full pace."""
        self.pace += percent
        self.use += self.cores * percent / FULL_PACE


@dataclass(slots=True)
class _Beside:
    """A keeper while the paces beside it are decided.

    Attributes:
        harms: What each filler, in their order, takes of it a core.
    """

    headroom: float
    harms: list[InterferenceEstimate]


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
        self._load_by_task: dict[str, int] = {}
        self._figures_at = -_FIGURE_MS
        self._over_since: float | None = None
        self._harms = InterferenceModel()
        # What is not in the figures yet: tasks whose pace has just changed.
        self._changed: set[str] = set()

    def tick(self, attempts: Iterable[Attempt]) -> None:
        """Look at the tails of one listing."""
        known = list(attempts)
        if not self._are_new(known):
            return
        running = [attempt for attempt in known if _is_filler(attempt)]
        keepers = _keepers(known)
        self._harms.observe_worker(keepers, _use(running), self._figures_at)
        fillers = [self._filler(attempt) for attempt in running]
        self._decide(fillers, keepers)
        self._changed = {
            each.attempt.task for each in fillers if self._apply(each, keepers)
        }

    def _decide(
        self,
        fillers: list[_Filler],
        keepers: list[KeeperFigure],
    ) -> None:
        over_ms = self._over_ms(keepers)
        if over_ms > _STILL_MS:
            for filler in fillers:
                filler.pace = 0
            return
        beside = [self._beside(each, fillers) for each in keepers]
        for keeper in beside:
            if keeper.headroom < _LOW:
                _cut(keeper, beside, fillers, is_in_doubt=over_ms > _DOUBT_MS)
        _raise(beside, fillers)

    def _beside(
        self,
        keeper: KeeperFigure,
        fillers: list[_Filler],
    ) -> '_Beside':
        """Take a keeper as it will do once the last changes show."""
        harms = [
            self._harms.per_core(keeper.image, each.image) for each in fillers
        ]
        unseen = sum(
            harm.mean * (filler.use - filler.attempt.load / _MILLIS)
            for harm, filler in zip(harms, fillers, strict=True)
        )
        return _Beside(keeper.headroom - unseen, harms)

    def _over_ms(self, keepers: list[KeeperFigure]) -> float:
        """For how long a tail has been over its target."""
        if all(each.headroom >= 1 for each in keepers):
            self._over_since = None
            return 0
        if self._over_since is None:
            self._over_since = self._figures_at
        return self._figures_at - self._over_since

    def _filler(self, attempt: Attempt) -> _Filler:
        """Take a filler as it works now.

        Its use stands in the figures, unless it is new or its pace has just
        changed; then it uses what its pace allows.
        """
        assert attempt.facts is not None, 'only sized ones are paced'
        cores = attempt.facts.cpu_millis / _MILLIS
        pace = _FIRST if attempt.pace == UNKNOWN_PACE else attempt.pace
        use = attempt.load / _MILLIS
        if attempt.task in self._changed or not attempt.load:
            use = cores * pace / FULL_PACE
        return _Filler(attempt, attempt.facts.image, cores, use, pace)

    def _apply(self, filler: _Filler, keepers: list[KeeperFigure]) -> bool:
        """Set a pace if it has changed; whether it has."""
        attempt, wanted = filler.attempt, round(filler.pace)
        if wanted == attempt.pace:
            return False
        worst = min(keepers, key=lambda each: each.headroom, default=None)
        harm = self._harms.per_core(worst.image if worst else '', filler.image)
        log_event(
            Event.TASK_PACED,
            task=attempt.task,
            pace=wanted,
            before=attempt.pace,
            keeper=worst.task if worst else '',
            tail_percent=round(FULL_PACE / worst.headroom) if worst else 0,
            harm=round(harm.mean, 3),
            deviation=round(harm.deviation, 3),
        )
        self._set_pace(attempt, wanted)
        return True

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


def _cut(
    keeper: _Beside,
    beside: list[_Beside],
    fillers: list[_Filler],
    is_in_doubt: bool,
) -> None:
    """Give a keeper headroom, from those that take most of it a core.

    If it would be over its target without all of them, too, none is to blame:
    its own load is.
    """
    most = sum(
        harm.upper_bound * filler.use
        for harm, filler in zip(keeper.harms, fillers, strict=True)
    )
    if keeper.headroom + most < 1:
        return
    blame = [
        harm.upper_bound if is_in_doubt else harm.mean for harm in keeper.harms
    ]
    order = sorted(range(len(fillers)), key=blame.__getitem__, reverse=True)
    for place in order:
        filler, harm = fillers[place], blame[place]
        missing = _AIM - keeper.headroom
        if missing > 0 and harm > _BLAMELESS and filler.use > 0:
            cores = min(filler.use, missing / harm)
            filler.cut(cores)
            for each in beside:
                each.headroom += cores * each.harms[place].mean


def _raise(beside: list[_Beside], fillers: list[_Filler]) -> None:
    """Give fillers the headroom that is left, the harmless ones first."""
    risks = [
        max((each.harms[place].upper_bound for each in beside), default=0)
        for place in range(len(fillers))
    ]
    for place in sorted(range(len(fillers)), key=risks.__getitem__):
        filler = fillers[place]
        cores = min(
            (
                (each.headroom - _AIM) / each.harms[place].upper_bound
                for each in beside
            ),
            default=filler.cores,
        )
        percent = filler.risen_by(cores)
        if percent > 0:
            filler.rise(percent)
            for each in beside:
                taken = each.harms[place].upper_bound * filler.cores
                each.headroom -= taken * percent / FULL_PACE


def _is_filler(attempt: Attempt) -> bool:
    return (
        attempt.phase is Phase.RUNNING
        and attempt.facts is not None
        and attempt.facts.fills
    )


def _keepers(attempts: list[Attempt]) -> list[KeeperFigure]:
    """Return the keepers that have a tail, which a new one has not."""
    return [
        KeeperFigure(
            each.task,
            each.facts.image,
            each.load,
            each.facts.target_ms,
        )
        for each in attempts
        if each.facts is not None and each.facts.target_ms and each.load
    ]


def _use(fillers: list[Attempt]) -> Counter[str]:
    """Return the thousandths of a core that each image's fillers use."""
    use: Counter[str] = Counter()
    for each in fillers:
        if each.facts is not None:
            use[each.facts.image] += each.load
    return use
