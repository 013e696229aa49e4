"""Which worker a waiting task is sent to."""

from dataclasses import dataclass
from typing import Final, Iterable

from hyssopring.jobs.fleet import Worker
from hyssopring.jobs.model import Size, Step, TaskName

__all__ = ('PlacementRound',)

# A filler starts where at least this part of its processor time is left:
# started earlier it would only take the time of those that run.
_FILL_PART: Final = 0.7
# In thousandths of a core, compared with free processor time: keepers with a
# target are kept together, with what does not disturb them, so that fillers
# find workers without any. A filler beside one is slowed or does harm.
_BESIDE_TARGET: Final = 20_000
_TARGETS_TOGETHER: Final = 20_000
_TARGET_BESIDE_FILLER: Final = 4000
_WRONG_RACK: Final = 4000


@dataclass(slots=True)
class _Option:
    """One worker and what is left of it while a round goes on."""

    worker: Worker
    free: Size
    filling: int
    targets: int
    fillers: int

    @classmethod
    def from_worker(cls, worker: Worker) -> '_Option':
        placed = worker.placed_by_task.values()
        return cls(
            worker,
            worker.free(),
            worker.filling(),
            worker.targets(),
            sum(each.step.fills for each in placed),
        )

    @property
    def idle(self) -> int:
        """Processor time that neither tasks nor fillers ask for."""
        return self.free.cpu_millis - self.filling

    def allows(self, step: Step, is_starved: bool) -> bool:
        """Whether one more task of the step may start here."""
        if not step.charge.fits_in(self.free):
            return False
        if step.fills and self.filling and not is_starved:
            return self.idle >= _FILL_PART * step.size.cpu_millis
        return True

    def score(self, step: Step) -> float:
        """The higher, the better for one more task of the step."""
        score = float(self.idle)
        if self.targets:
            score += -_BESIDE_TARGET if step.fills else _TARGETS_TOGETHER
        if step.target_ms:
            score -= _TARGET_BESIDE_FILLER * self.fillers
        if step.rack and step.rack != self.worker.rack:
            score -= _WRONG_RACK
        return score

    def take(self, step: Step) -> None:
        """Count one more task of the step."""
        self.free = self.free.minus(step.charge)
        if step.fills:
            self.filling += step.size.cpu_millis
            self.fillers += 1
        if step.target_ms:
            self.targets += 1

    def count(self, name: TaskName) -> int:
        """How many tasks of a step and occurrence are here."""
        return sum(
            each.name.job_id == name.job_id
            and each.name.occurrence == name.occurrence
            and each.name.step == name.step
            for each in self.worker.placed_by_task.values()
        )


class PlacementRound:
    """Chooses workers for all waiting tasks of one planning round."""

    def __init__(self, workers: Iterable[Worker]) -> None:
        """Look at these workers once; what is placed is counted here."""
        self._options_by_service: dict[str, list[_Option]] = {}
        for worker in workers:
            service = worker.report.service if worker.report else ''
            options = self._options_by_service.setdefault(service, [])
            options.append(_Option.from_worker(worker))

    def choose(
        self,
        service: str,
        step: Step,
        name: TaskName,
        is_starved: bool,
    ) -> Worker | None:
        """Return the best worker for a task, None if none has room.

        A starved job's task starts beside others that it slows down.

        The task counts there from now on; it is also to be put into the
        worker's table before the next call.
        """
        allowed = [
            option
            for option in self._options_by_service.get(service, ())
            if option.allows(step, is_starved)
            and self._permits(option, step, name)
        ]
        if not allowed:
            return None
        best = max(allowed, key=lambda option: option.score(step))
        best.take(step)
        return best.worker

    def _permits(
        self,
        option: _Option,
        step: Step,
        name: TaskName,
    ) -> bool:
        report = option.worker.report
        if step.label and (report is None or step.label not in report.labels):
            return False
        limit = step.max_per_worker
        return not limit or option.count(name) < limit
