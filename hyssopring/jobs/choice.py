"""Which worker a waiting task is sent to."""

from collections import Counter
from dataclasses import dataclass, replace
from typing import Container, Final, Iterable

from hyssopring.jobs.fleet import Placed, Worker
from hyssopring.jobs.model import Size, Step, TaskName

__all__ = ('PlacementRound',)

# A filler starts where at least this part of its processor time is left:
# started earlier it would only take the time of those that run.
_FILL_PART: Final = 0.7
# Keepers with a target use about half of what they reserve; fillers may take
# the rest, at the pace that the agent finds bearable.
_KEEPER_UNUSED: Final = 0.25
# Beside keepers no filler is added while those that are there are slowed down
# to less than this pace, while a tail is above this part of its target, or
# while the effect of the last one does not show yet.
_LOW_PACE: Final = 60
_HIGH_TAIL: Final = 0.55
# In thousandths of a core, compared with free processor time: keepers with a
# target are kept together, with what does not disturb them, so that fillers
# find workers without any. A filler beside one is slowed or does harm.
_BESIDE_TARGET: Final = 20_000
_TARGETS_TOGETHER: Final = 20_000
_TARGET_BESIDE_FILLER: Final = 4000
_WRONG_RACK: Final = 4000
_FULL_PACE: Final = 100


@dataclass(frozen=True, slots=True)
class _Kind:
    """Tasks of one kind need the same of a worker but for their size."""

    service: str
    label: str
    fills: bool
    is_starved: bool


@dataclass(slots=True)
class _Option:
    """One worker and what is left of it while a round goes on.

    Attributes:
        filling: Thousandths of a core that fillers ask for at their pace.
        unused: Thousandths of a core that keepers reserve and do not use.
        is_strained: Whether fillers disturb the keepers enough already.
    """

    worker: Worker
    free: Size
    filling: float
    unused: float
    targets: int
    fillers: int
    is_strained: bool

    @classmethod
    def from_worker(cls, worker: Worker) -> '_Option':
        fillers = worker.fillers()
        keepers = worker.keepers()
        paces = [max(placed.pace, 0) for placed in fillers]
        reserved = sum(placed.step.size.cpu_millis for placed in keepers)
        asked = sum(
            placed.step.size.cpu_millis * pace
            for placed, pace in zip(fillers, paces, strict=True)
        )
        return cls(
            worker,
            worker.free(),
            asked / _FULL_PACE,
            reserved * _KEEPER_UNUSED,
            len(keepers),
            len(fillers),
            bool(keepers) and _is_strained(fillers, keepers),
        )

    @property
    def idle(self) -> float:
        """Processor time that neither tasks nor fillers ask for."""
        return self.free.cpu_millis + self.unused - self.filling

    def allows(self, step: Step, is_starved: bool) -> bool:
        """Whether one more task of the step may start here."""
        if not step.charge.fits_in(self.free):
            return False
        if not step.fills or is_starved:
            return True
        if self.is_strained:
            return False
        if not self.filling and not self.targets:
            return True
        return self.idle >= _FILL_PART * step.size.cpu_millis

    def score(self, step: Step, rack: str = '') -> float:
        """The higher, the better for one more task of the step."""
        score = self.idle
        if self.targets:
            score += -_BESIDE_TARGET if step.fills else _TARGETS_TOGETHER
        if step.target_ms:
            score -= _TARGET_BESIDE_FILLER * self.fillers
        if rack and rack != self.worker.rack:
            score -= _WRONG_RACK
        return score

    def take(self, step: Step) -> None:
        """Count one more task of the step."""
        self.free = self.free.minus(step.charge)
        if step.fills:
            self.filling += step.size.cpu_millis
            self.fillers += 1
            self.is_strained = bool(self.targets)
        if step.target_ms:
            self.targets += 1

    def has_label(self, step: Step) -> bool:
        """Whether the worker is of the kind that the step needs."""
        report = self.worker.report
        return not step.label or (
            report is not None and step.label in report.labels
        )

    def count(self, name: TaskName) -> int:
        """How many tasks of a step and occurrence are here."""
        return sum(
            each.name.job_id == name.job_id
            and each.name.occurrence == name.occurrence
            and each.name.step == name.step
            for each in self.worker.placed_by_task.values()
        )


def _is_strained(fillers: list[Placed], keepers: list[Placed]) -> bool:
    paces = [max(placed.pace, 0) for placed in fillers]
    if any(not placed.has_shown for placed in fillers):
        return True
    if sum(paces) < _LOW_PACE * len(paces):
        return True
    tails = [placed.load / placed.step.target_ms for placed in keepers]
    return max(tails) > _HIGH_TAIL


class PlacementRound:
    """Chooses workers for all waiting tasks of one planning round."""

    def __init__(self, workers: Iterable[Worker]) -> None:
        """Look at these workers once; what is placed is counted here."""
        self._unfit_by_kind: dict[_Kind, list[Size]] = {}
        self._options_by_service: dict[str, list[_Option]] = {}
        for worker in workers:
            options = self._options_by_service.setdefault(worker.service, [])
            options.append(_Option.from_worker(worker))

    def choose(
        self,
        service: str,
        step: Step,
        name: TaskName,
        is_starved: bool,
        boots: Container[str] | None = None,
    ) -> Worker | None:
        """Return the best worker for a task, None if none has room.

        A starved job's task starts beside others that it slows down. Where
        ``boots`` are given only these lives of workers are looked at.

        The task counts there from now on; it is also to be put into the
        worker's table before the next call.
        """
        kind = _Kind(service, step.label, step.fills, is_starved)
        if self._is_unfit(kind, step.size):
            return None
        roomy = [
            option
            for option in self._options(service, boots)
            if option.allows(step, is_starved) and option.has_label(step)
        ]
        if not roomy:
            if boots is None:
                self._unfit_by_kind.setdefault(kind, []).append(step.size)
            return None
        allowed = [option for option in roomy if _permits(option, step, name)]
        if not allowed:
            return None
        rack = step.rack
        if step.is_local and not rack:
            rack = self._rack_of(service, name)
        best = max(allowed, key=lambda option: option.score(step, rack))
        best.take(step)
        return best.worker

    def _options(
        self,
        service: str,
        boots: Container[str] | None,
    ) -> list[_Option]:
        options = self._options_by_service.get(service, [])
        if boots is None:
            return options
        return [option for option in options if option.worker.boot in boots]

    def _is_unfit(self, kind: '_Kind', size: Size) -> bool:
        """Whether a task that is no larger has found no room in this round.

        Room only shrinks during a round. An owner of 0.5 cores with 340 jobs
        compared each waiting step with each of 61 full workers at each report,
        and its agents heard nothing from it for 2 s.
        """
        return any(
            smaller.fits_in(size)
            for smaller in self._unfit_by_kind.get(kind, ())
        )

    def _rack_of(self, service: str, name: TaskName) -> str:
        """Return the rack that most tasks of a step are in."""
        counts: Counter[str] = Counter()
        for option in self._options_by_service.get(service, ()):
            counts[option.worker.rack] += option.count(name)
        rack, count = counts.most_common(1)[0]
        return rack if count else ''

    def choose_all(
        self,
        service: str,
        step: Step,
        names: list[TaskName],
        boots: Container[str] | None = None,
    ) -> list[Worker]:
        """Return a worker for each member of a gang, or none at all.

        Members that slow each other across racks go to one rack if one has
        room for all.
        """
        options = self._options(service, boots)
        groups = [options]
        if step.is_local:
            by_rack: dict[str, list[_Option]] = {}
            for option in options:
                by_rack.setdefault(option.worker.rack, []).append(option)
            groups = [*by_rack.values(), options]
        for group in groups:
            chosen = _fit_all(group, step, names)
            if chosen:
                for option in chosen:
                    option.take(step)
                return [option.worker for option in chosen]
        return []

    def take_quiet_room(
        self,
        service: str,
        step: Step,
        boots: Container[str] | None = None,
    ) -> bool:
        """Whether a filler fits beside no keeper; if so, it counts there."""
        for option in self._options(service, boots):
            if option.targets or not option.has_label(step):
                continue
            if option.allows(step, is_starved=False):
                option.take(step)
                return True
        return False


def _permits(option: _Option, step: Step, name: TaskName) -> bool:
    limit = step.max_per_worker
    return not limit or option.count(name) < limit


def _fit_all(
    options: list[_Option],
    step: Step,
    names: list[TaskName],
) -> list[_Option]:
    """Fit a gang on copies of the options; return the originals, or none."""
    trials = [
        (option, replace(option))
        for option in options
        if option.has_label(step)
    ]
    used: Counter[str] = Counter()
    chosen: list[_Option] = []
    limit = step.max_per_worker or len(names)
    while len(chosen) < len(names):
        allowed = [
            (trial.score(step), number)
            for number, (option, trial) in enumerate(trials)
            if trial.allows(step, is_starved=True)
            and used[option.worker.agent_id] < limit
        ]
        if not allowed:
            return []
        option, trial = trials[max(allowed)[1]]
        trial.take(step)
        used[option.worker.agent_id] += 1
        chosen.append(option)
    return chosen
