"""The choice of a worker for each pending task of a planning round."""

from collections import Counter
from dataclasses import replace
from typing import Container, Final, Iterable, Iterator, Mapping, NamedTuple

from hyssopring.jobs.fleet import Worker
from hyssopring.jobs.image_tolerance import ImageTolerance
from hyssopring.jobs.interference import (
    ImageEstimates,
    InterferenceModel,
)
from hyssopring.jobs.model import Size, Step, TaskName
from hyssopring.jobs.placement_obstacles import (
    PlacementObstacle,
    count_obstacles,
)
from hyssopring.jobs.placement_option import PlacementOption
from hyssopring.jobs.step_impact import RoundEstimates
from hyssopring.jobs.worker_use import WorkerUses

__all__ = ('PlacementRound',)

_MILLIS_PER_CORE: Final = 1000


class _Requirements(NamedTuple):
    """What tasks require of a worker, except for their size.

    Attributes:
        image: A best-effort task's image, else empty: interference with
            latency-critical tasks depends on it.
    """

    service: str
    label: str
    fills: bool
    image: str
    is_starved: bool


class PlacementRound:
    """Choose workers for all pending tasks of one planning round.

    Attributes:
        has_rejected: Whether a task or gang has found no worker.
        reserved_worker_by_task: Workers with room that is reserved for tasks
            that are being moved, by the names of the tasks.
    """

    def __init__(
        self,
        workers: Iterable[Worker],
        interference: ImageEstimates | None = None,
        refusing: Container[str] = (),
        uses: WorkerUses | None = None,
        slow_speed_by_boot: Mapping[str, float] | None = None,
        tolerance: ImageTolerance | None = None,
    ) -> None:
        """Take the free capacity of the workers once for the whole round.

        Args:
            workers: The workers that may get tasks.
            interference: How best-effort tasks affect latency-critical ones;
                None if nothing has been observed.
            refusing: IDs of agents whose workers have recently refused starts;
                they are chosen last.
            uses: What is known of the workers from former rounds; None if
                nothing is.
            slow_speed_by_boot: Relative speeds of slow workers, which are
                chosen last; None for none.
            tolerance: What latency-critical images tolerate; None to ignore
                it.
        """
        self.has_rejected = False
        self.reserved_worker_by_task: dict[str, Worker] = {}
        slow_speeds = slow_speed_by_boot or {}
        estimates = RoundEstimates(
            interference or InterferenceModel(), tolerance
        )
        uses = uses or WorkerUses()
        self._rejected_sizes: dict[_Requirements, list[Size]] = {}
        self._options_by_service: dict[str, list[PlacementOption]] = {}
        for worker in workers:
            options = self._options_by_service.setdefault(worker.service, [])
            is_refusing = worker.agent_id in refusing
            options.append(
                PlacementOption.from_worker(
                    worker,
                    estimates,
                    is_refusing,
                    uses.use_of(worker),
                    slow_speeds.get(worker.boot, 1),
                )
            )

    def choose(
        self,
        service: str,
        step: Step,
        task_name: TaskName,
        is_starved: bool,
        allowed_boots: Container[str] | None = None,
        is_urgent: bool = False,
    ) -> Worker | None:
        """Return the best worker for a task, None if none qualifies.

        The task's size is reserved on the worker. The caller also adds the
        task to the worker's table before the next call.

        Args:
            is_starved: Whether the task may start even where it interferes
                with others.
            allowed_boots: Incarnations of workers to choose from; None for
                all.
            is_urgent: Whether very slow workers come after all others.
        """
        eligible = self._eligible(
            service, step, task_name, is_starved, allowed_boots
        )
        if not eligible:
            self.has_rejected = True
            return None
        rack = step.rack
        if step.is_local and not rack:
            rack = self._rack_of(service, task_name)
        best = max(
            eligible,
            key=lambda option: (
                option.speed_rank(step, is_urgent),
                option.score(step, rack),
            ),
        )
        best.reserve(step)
        return best.worker

    def _eligible(
        self,
        service: str,
        step: Step,
        task_name: TaskName,
        is_starved: bool,
        allowed_boots: Container[str] | None,
    ) -> list[PlacementOption]:
        """Return the workers that can take a task."""
        image = step.image if step.fills else ''
        requirements = _Requirements(
            service, step.label, step.fills, image, is_starved
        )
        if self._is_rejected(requirements, step.size):
            return []
        with_capacity = [
            option
            for option in self._options(service, allowed_boots)
            if option.has_capacity(step, is_starved) and option.has_label(step)
        ]
        if not with_capacity:
            if allowed_boots is None:
                self._rejected_sizes.setdefault(requirements, []).append(
                    step.size
                )
        return [
            option
            for option in with_capacity
            if option.is_below_worker_limit(step, task_name)
        ]

    def choose_for_trial(
        self,
        service: str,
        step: Step,
        task_name: TaskName,
        avoided_agents: Container[str],
        allowed_boots: Container[str] | None = None,
    ) -> Worker | None:
        """Return the worker on which a suspect's crash would lose least.

        The worker gets no other task in this round.

        Args:
            avoided_agents: IDs of agents that are chosen last, because a
                further crash there would prove nothing new.
            allowed_boots: Incarnations of workers to choose from; None for
                all.
        """
        eligible = [
            option
            for option in self._options(service, allowed_boots)
            if option.has_capacity(step, is_starved=True)
            and option.has_label(step)
            and option.is_below_worker_limit(step, task_name)
        ]
        if not eligible:
            self.has_rejected = True
            return None
        best = min(
            eligible,
            key=lambda option: (
                option.is_refusing,
                option.worker.agent_id in avoided_agents,
                option.worker.task_counts(),
            ),
        )
        self.exclude(best.worker)
        return best.worker

    def is_short_of_room(
        self,
        service: str,
        step: Step,
        allowed_boots: Container[str] | None = None,
    ) -> bool:
        """Return whether only other tasks keep a step's task from starting.

        False if no worker could hold the task if it were idle, or if the
        step's limit for each worker is reached: waiting changes neither.
        """
        possible = [
            option
            for option in self._options(service, allowed_boots)
            if option.has_label(step)
            and step.size.fits_in(option.worker.capacity)
        ]
        return bool(possible) and not any(
            option.has_capacity(step, is_starved=False) for option in possible
        )

    def obstacles(
        self,
        service: str,
        step: Step,
        task_name: TaskName,
        allowed_boots: Container[str] | None = None,
    ) -> Counter[PlacementObstacle]:
        """Count the workers by what keeps a task of a step off them."""
        options = self._options(service, allowed_boots)
        return count_obstacles(options, step, task_name)

    def count_throttled(self) -> int:
        """Count the best-effort tasks that run far below their full pace."""
        return sum(
            placed.slow_since is not None
            for option in self._all_options()
            for placed in option.worker.best_effort_tasks()
        )

    def idle_cores(self) -> int:
        """Return the cores that best-effort tasks could still ask for."""
        idle_millis = sum(
            max(0, option.idle_cpu) for option in self._all_options()
        )
        return int(idle_millis) // _MILLIS_PER_CORE

    def exclude(self, worker: Worker) -> None:
        """Place no further tasks on a worker in this round."""
        options = self._options_by_service[worker.service]
        self._options_by_service[worker.service] = [
            option for option in options if option.worker is not worker
        ]

    def _all_options(self) -> Iterator[PlacementOption]:
        for options in self._options_by_service.values():
            yield from options

    def _options(
        self,
        service: str,
        allowed_boots: Container[str] | None,
    ) -> list[PlacementOption]:
        options = self._options_by_service.get(service, [])
        if allowed_boots is None:
            return options
        return [
            option for option in options if option.worker.boot in allowed_boots
        ]

    def _is_rejected(self, requirements: '_Requirements', size: Size) -> bool:
        """Return whether an equal or smaller task found no capacity before.

        Free capacity only shrinks during a round. Without this check, an owner
        with 0.5 cores and 340 jobs compared every pending step with 61 full
        workers on each report and sent nothing to its agents for 2 s.
        """
        return any(
            rejected_size.fits_in(size)
            for rejected_size in self._rejected_sizes.get(requirements, ())
        )

    def _rack_of(self, service: str, task_name: TaskName) -> str:
        """Return the rack with the most tasks of a step, empty if none."""
        count_by_rack: Counter[str] = Counter()
        for option in self._options_by_service.get(service, ()):
            count_by_rack[option.worker.rack] += option.count_tasks(task_name)
        rack, count = count_by_rack.most_common(1)[0]
        return rack if count else ''

    def choose_for_gang(
        self,
        service: str,
        step: Step,
        task_names: list[TaskName],
        allowed_boots: Container[str] | None = None,
    ) -> list[Worker]:
        """Return a worker for each member of a gang, empty if one has none.

        Members that are slower across racks are placed in a single rack if one
        has capacity for all of them.
        """
        options = self._options(service, allowed_boots)
        groups = [options]
        if step.is_local:
            options_by_rack: dict[str, list[PlacementOption]] = {}
            for option in options:
                options_by_rack.setdefault(option.worker.rack, []).append(
                    option
                )
            groups = [*options_by_rack.values(), options]
        for group in groups:
            chosen = _choose_group(group, step, task_names)
            if chosen:
                for option in chosen:
                    option.reserve(step)
                return [option.worker for option in chosen]
        self.has_rejected = True
        return []

    def reserve_without_interference(
        self,
        service: str,
        step: Step,
        allowed_boots: Container[str] | None = None,
    ) -> bool:
        """Reserve a place for a best-effort task, False if there is none.

        Only workers qualify on which the task's interference with
        latency-critical tasks is negligible.
        """
        for option in self._options(service, allowed_boots):
            is_undisturbed = (
                not option.latency_critical_count
                or option.is_interference_negligible(step)
            )
            if not is_undisturbed or not option.has_label(step):
                continue
            if option.has_capacity(step, is_starved=False):
                option.reserve(step)
                return True
        return False


def _choose_group(
    options: list[PlacementOption],
    step: Step,
    task_names: list[TaskName],
) -> list[PlacementOption]:
    """Return an option for each member of a gang, empty if one has none.

    Capacity is reserved on copies, so that a failure leaves no reservations.
    """
    copies = [
        (option, replace(option))
        for option in options
        if option.has_label(step)
    ]
    count_by_agent: Counter[str] = Counter()
    chosen: list[PlacementOption] = []
    limit = step.max_per_worker or len(task_names)
    while len(chosen) < len(task_names):
        candidates = [
            (copy.speed_rank(step, is_urgent=False), copy.score(step), position)
            for position, (option, copy) in enumerate(copies)
            if copy.has_capacity(step, is_starved=True)
            and count_by_agent[option.worker.agent_id] < limit
        ]
        if not candidates:
            return []
        option, copy = copies[max(candidates)[-1]]
        copy.reserve(step)
        count_by_agent[option.worker.agent_id] += 1
        chosen.append(option)
    return chosen
