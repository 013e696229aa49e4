"""Which worker a waiting task is sent to."""

from collections import Counter
from dataclasses import dataclass, replace
from typing import Container, Iterable

from hyssopring.jobs.fleet import Worker
from hyssopring.jobs.interference import InterferenceModel
from hyssopring.jobs.model import Size, Step, TaskName
from hyssopring.jobs.placement_option import PlacementOption

__all__ = ('PlacementRound',)


@dataclass(frozen=True, slots=True)
class _Kind:
    """Tasks of one kind need the same of a worker but for their size.

    Attributes:
        image: A filler's, as keepers mind some images and not others.
    """

    service: str
    label: str
    fills: bool
    image: str
    is_starved: bool


class PlacementRound:
    """Chooses workers for all waiting tasks of one planning round."""

    def __init__(
        self,
        workers: Iterable[Worker],
        harms: InterferenceModel | None = None,
        refusing: Container[str] = (),
    ) -> None:
        """Look at these workers once; what is placed is counted here.

        Args:
            workers: Those that may get tasks.
            harms: What is known of fillers beside keepers.
            refusing: Agents whose workers have refused starts: they come last.
        """
        harms = harms or InterferenceModel()
        self._unfit_by_kind: dict[_Kind, list[Size]] = {}
        self._options_by_service: dict[str, list[PlacementOption]] = {}
        for worker in workers:
            options = self._options_by_service.setdefault(worker.service, [])
            is_refusing = worker.agent_id in refusing
            options.append(
                PlacementOption.from_worker(worker, harms, is_refusing)
            )

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
        image = step.image if step.fills else ''
        kind = _Kind(service, step.label, step.fills, image, is_starved)
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
        allowed = [option for option in roomy if option.permits(step, name)]
        if not allowed:
            return None
        rack = step.rack
        if step.is_local and not rack:
            rack = self._rack_of(service, name)
        best = max(
            allowed,
            key=lambda option: (
                not option.is_refusing,
                option.score(step, rack),
            ),
        )
        best.reserve(step)
        return best.worker

    def choose_for_trial(
        self,
        service: str,
        step: Step,
        name: TaskName,
        avoided: Container[str],
        boots: Container[str] | None = None,
    ) -> Worker | None:
        """Return the worker on which a suspect would take the least along.

        It gets no other task in this round.

        Args:
            avoided: Agents that come last: a crash there proves nothing more.
        """
        allowed = [
            option
            for option in self._options(service, boots)
            if option.allows(step, is_starved=True)
            and option.has_label(step)
            and option.permits(step, name)
        ]
        if not allowed:
            return None
        best = min(
            allowed,
            key=lambda option: (
                option.is_refusing,
                option.worker.agent_id in avoided,
                option.worker.exposure(),
            ),
        )
        self.withdraw(best.worker)
        return best.worker

    def withdraw(self, worker: Worker) -> None:
        """Place nothing more on a worker in this round."""
        options = self._options_by_service[worker.service]
        self._options_by_service[worker.service] = [
            option for option in options if option.worker is not worker
        ]

    def _options(
        self,
        service: str,
        boots: Container[str] | None,
    ) -> list[PlacementOption]:
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
            by_rack: dict[str, list[PlacementOption]] = {}
            for option in options:
                by_rack.setdefault(option.worker.rack, []).append(option)
            groups = [*by_rack.values(), options]
        for group in groups:
            chosen = _fit_all(group, step, names)
            if chosen:
                for option in chosen:
                    option.reserve(step)
                return [option.worker for option in chosen]
        return []

    def take_quiet_room(
        self,
        service: str,
        step: Step,
        boots: Container[str] | None = None,
    ) -> bool:
        """Whether a filler fits beside none that minds it, and count it."""
        for option in self._options(service, boots):
            is_quiet = not option.targets or option.is_harmless(step)
            if not is_quiet or not option.has_label(step):
                continue
            if option.allows(step, is_starved=False):
                option.reserve(step)
                return True
        return False


def _fit_all(
    options: list[PlacementOption],
    step: Step,
    names: list[TaskName],
) -> list[PlacementOption]:
    """Fit a gang on copies of the options; return the originals, or none."""
    trials = [
        (option, replace(option))
        for option in options
        if option.has_label(step)
    ]
    used: Counter[str] = Counter()
    chosen: list[PlacementOption] = []
    limit = step.max_per_worker or len(names)
    while len(chosen) < len(names):
        allowed = [
            (not trial.is_refusing, trial.score(step), number)
            for number, (option, trial) in enumerate(trials)
            if trial.allows(step, is_starved=True)
            and used[option.worker.agent_id] < limit
        ]
        if not allowed:
            return []
        option, trial = trials[max(allowed)[-1]]
        trial.reserve(step)
        used[option.worker.agent_id] += 1
        chosen.append(option)
    return chosen
