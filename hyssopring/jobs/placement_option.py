"""One worker during a planning round, and what fits beside its keepers."""

from dataclasses import dataclass
from typing import Final

from hyssopring.jobs.fleet import PlacedAttempt, Worker
from hyssopring.jobs.interference import (
    MAX_HEADROOM,
    InterferenceEstimate,
    InterferenceModel,
)
from hyssopring.jobs.model import Size, Step, TaskName

__all__ = ('NEGLIGIBLE_INTERFERENCE', 'PlacementOption')

# A filler starts where at least this part of its processor time is left:
# started earlier it would only take the time of those that run.
_FILL_PART: Final = 0.7
# Keepers with a target use about half of what they reserve; fillers may take
# the rest, at the pace that the agent finds bearable.
_KEEPER_UNUSED: Final = 0.5
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
# Headroom is a keeper's target as a part of its tail. A filler that surely
# takes less than this of it may start without waiting for the last one to show.
NEGLIGIBLE_INTERFERENCE: Final = 0.35
# So much is left to each keeper once all fillers beside it work at full pace:
# figures move by 0.36 by chance, and by 0.3 as load swings.
_LEAST_HEADROOM: Final = 1.2
# A keeper that lists no tail yet is taken to be this far from its target.
_NEW_HEADROOM: Final = 1.5
# From here on one worker is as bad as another.
_FULL_HARM: Final = 1.0
_FULL_PACE: Final = 100
_MILLIS: Final = 1000


@dataclass(slots=True)
class PlacementOption:
    """One worker and what is left of it while a round goes on.

    Attributes:
        filling: Thousandths of a core that fillers use at their pace.
        held_back: Thousandths of a core that they are kept from using.
        unused: Thousandths of a core that keepers reserve and do not use.
        is_strained: Whether fillers disturb the keepers enough already.
        headrooms: Of each keeper, once all fillers work at full pace.
        is_refusing: The worker has refused a start a short while ago.
    """

    worker: Worker
    free: Size
    filling: float
    held_back: float
    unused: float
    targets: int
    fillers: int
    is_strained: bool
    harms: InterferenceModel
    headrooms: list[float]
    is_refusing: bool = False

    @classmethod
    def from_worker(
        cls,
        worker: Worker,
        harms: InterferenceModel,
        is_refusing: bool = False,
    ) -> 'PlacementOption':
        fillers = worker.best_effort_tasks()
        keepers = worker.latency_critical_tasks()
        reserved = sum(placed.step.size.cpu_millis for placed in keepers)
        filling = sum(placed.cpu_in_use for placed in fillers)
        return cls(
            worker,
            worker.free(),
            filling,
            sum(placed.cpu_at_full_pace for placed in fillers) - filling,
            reserved * _KEEPER_UNUSED,
            len(keepers),
            len(fillers),
            bool(keepers) and _is_strained(fillers, keepers),
            harms,
            [_headroom(harms, each, fillers) for each in keepers],
            is_refusing,
        )

    @property
    def idle(self) -> float:
        """Processor time that neither tasks nor fillers ask for."""
        return self.free.cpu_millis + self.unused - self.filling

    def allows(self, step: Step, is_starved: bool) -> bool:
        """Whether one more task of the step may start here."""
        if not step.reserved_size.fits_in(self.free):
            return False
        if not step.fills or is_starved:
            return True
        if not self.targets:
            return self._has_time_for(step)
        if not self._leaves_headroom(step):
            return False
        if self.is_strained and not self.is_harmless(step):
            return False
        return self._has_time_for(step)

    def is_harmless(self, step: Step) -> bool:
        """Whether it is known that no keeper here minds a filler."""
        return self.worst_harm(step) < NEGLIGIBLE_INTERFERENCE

    def worst_harm(self, step: Step) -> float:
        """Return the headroom that a filler may take of the keepers here."""
        keepers = self.worker.latency_critical_tasks()
        if len(keepers) < self.targets:
            # One came in this round, of which nothing is known.
            return _FULL_HARM
        return max(
            (
                _cores(step) * self._harm(each, step).upper_bound
                for each in keepers
            ),
            default=0,
        )

    def _harm(self, keeper: PlacedAttempt, step: Step) -> InterferenceEstimate:
        return self.harms.per_core(keeper.step.image, step.image)

    def _leaves_headroom(self, step: Step) -> bool:
        """Whether every keeper here does well beside one more filler.

        Each that is harmless by itself takes a little: ten of them beside a
        keeper put it over its target, and were all slowed down.
        """
        keepers = self.worker.latency_critical_tasks()
        return all(
            left - _cores(step) * self._harm(keeper, step).mean
            > _LEAST_HEADROOM
            for left, keeper in zip(self.headrooms, keepers, strict=False)
        )

    def _has_time_for(self, step: Step) -> bool:
        """Whether a filler finds processor time here."""
        if not self.filling and not self.targets:
            return True
        return self.idle >= _FILL_PART * step.size.cpu_millis

    def score(self, step: Step, rack: str = '') -> float:
        """The higher, the better for one more task of the step."""
        score = self.idle
        if self.targets and step.fills:
            harm = min(1, self.worst_harm(step) / _FULL_HARM)
            # Those that are held back need all the headroom that comes. Counted
            # as idle, their cores drew each job's first task: two of eleven
            # workers had a third of all fillers, at a quarter of their pace.
            score -= harm * (_BESIDE_TARGET + self.held_back)
        elif self.targets:
            score += _TARGETS_TOGETHER
        if step.target_ms:
            score -= _TARGET_BESIDE_FILLER * self.fillers
        if rack and rack != self.worker.rack:
            score -= _WRONG_RACK
        return score

    def reserve(self, step: Step) -> None:
        """Count one more task of the step."""
        self.free = self.free.minus(step.reserved_size)
        if step.fills:
            self.filling += step.size.cpu_millis
            self.fillers += 1
            self.is_strained = self.is_strained or bool(self.targets)
            self.headrooms = [
                left - _cores(step) * self._harm(keeper, step).mean
                for left, keeper in zip(
                    self.headrooms,
                    self.worker.latency_critical_tasks(),
                    strict=False,
                )
            ]
        if step.target_ms:
            self.targets += 1

    def has_label(self, step: Step) -> bool:
        """Whether the worker is of the kind that the step needs."""
        report = self.worker.report
        return not step.label or (
            report is not None and step.label in report.labels
        )

    def permits(self, step: Step, name: TaskName) -> bool:
        """Whether one more task of a step and occurrence may be here."""
        limit = step.max_per_worker
        return not limit or self.count(name) < limit

    def count(self, name: TaskName) -> int:
        """How many tasks of a step and occurrence are here."""
        return sum(
            each.name.job_id == name.job_id
            and each.name.occurrence == name.occurrence
            and each.name.step == name.step
            for each in self.worker.placed_by_task.values()
        )


def _cores(step: Step) -> float:
    return step.size.cpu_millis / _MILLIS


def _headroom(
    harms: InterferenceModel,
    keeper: PlacedAttempt,
    fillers: list[PlacedAttempt],
) -> float:
    """Return a keeper's headroom once all fillers work at full pace."""
    now = _NEW_HEADROOM
    if keeper.load:
        now = min(MAX_HEADROOM, keeper.step.target_ms / keeper.load)
    return now - sum(
        (each.cpu_at_full_pace - each.cpu_in_use)
        / _MILLIS
        * harms.per_core(keeper.step.image, each.step.image).mean
        for each in fillers
    )


def _is_strained(
    fillers: list[PlacedAttempt], keepers: list[PlacedAttempt]
) -> bool:
    paces = [max(placed.pace, 0) for placed in fillers]
    if any(not placed.has_measured_usage for placed in fillers):
        return True
    if sum(paces) < _LOW_PACE * len(paces):
        return True
    tails = [placed.load / placed.step.target_ms for placed in keepers]
    return max(tails) > _HIGH_TAIL
