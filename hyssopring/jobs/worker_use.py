"""What the tasks placed on a worker use, kept between planning rounds.

An owner plans after each report, and a report changes one worker. Computing
the use of all other workers again took most of a round with few waiting tasks.
"""

from dataclasses import dataclass
from typing import Final, Iterable

from hyssopring.jobs.fleet import PlacedAttempt, Worker
from hyssopring.jobs.interference import MAX_HEADROOM, ImageEstimates
from hyssopring.jobs.messages import WorkerReport
from hyssopring.jobs.model import Size

__all__ = ('WorkerUse', 'WorkerUses')

# Latency-critical tasks use about half of the CPU that they reserve.
# Best-effort tasks may use the rest, throttled by the agent if necessary.
_UNUSED_RESERVATION_SHARE: Final = 0.5
# No best-effort task is added beside latency-critical tasks while the running
# ones are throttled below this mean pace (in percent), while a tail latency is
# above this share of its target, or while the last one started has not been
# measured.
_LOW_PACE: Final = 60
_HIGH_TAIL_SHARE: Final = 0.55
# The assumed headroom of a task without a measured tail latency.
_NEW_TASK_HEADROOM: Final = 1.5
_MILLIS_PER_CORE: Final = 1000

# An attempt, with those of its fields that a report changes and that the use
# depends on.
_AttemptState = tuple[PlacedAttempt, int, int, bool]
_WorkerState = tuple[WorkerReport | None, list[_AttemptState]]


@dataclass(frozen=True, slots=True)
class WorkerUse:
    """What the tasks on a worker use and reserve.

    CPU quantities are in thousandths of a core.

    Attributes:
        free: Resources that no task reserves.
        best_effort_cpu: CPU that best-effort tasks use at their current pace.
        throttled_cpu: CPU that throttling keeps them from using.
        unused_cpu: CPU that latency-critical tasks reserve and do not use.
        best_effort_count: How many best-effort tasks are there.
        is_interference_high: Whether interference rules out one more
            best-effort task, unless its own is negligible.
        headroom_by_position: The image and the present headroom of each
            latency-critical task, in the order of the worker's table.
        throttled_cores: The image of each throttled best-effort task, and the
            cores that throttling keeps it from using.
    """

    free: Size
    best_effort_cpu: float
    throttled_cpu: float
    unused_cpu: float
    best_effort_count: int
    is_interference_high: bool
    headroom_by_position: tuple[tuple[str, float], ...]
    throttled_cores: tuple[tuple[str, float], ...]

    @classmethod
    def from_worker(cls, worker: Worker) -> 'WorkerUse':
        """Compute the use from a worker's latest report."""
        best_effort = worker.best_effort_tasks()
        latency_critical = worker.latency_critical_tasks()
        reserved_cpu = sum(
            placed.step.size.cpu_millis for placed in latency_critical
        )
        used_cpus = [placed.cpu_used_millis for placed in best_effort]
        full_cpus = [placed.cpu_at_full_pace for placed in best_effort]
        best_effort_cpu = sum(used_cpus)
        return cls(
            worker.free(),
            best_effort_cpu,
            sum(full_cpus) - best_effort_cpu,
            reserved_cpu * _UNUSED_RESERVATION_SHARE,
            len(best_effort),
            bool(latency_critical)
            and _is_interference_high(best_effort, latency_critical),
            tuple(
                (placed.step.image, _present_headroom(placed))
                for placed in latency_critical
            ),
            tuple(
                (placed.step.image, (full_cpu - used_cpu) / _MILLIS_PER_CORE)
                for placed, full_cpu, used_cpu in zip(
                    best_effort, full_cpus, used_cpus, strict=True
                )
                if full_cpu != used_cpu
            ),
        )

    def headrooms(self, estimates: ImageEstimates) -> list[float]:
        """Return each task's headroom once throttled tasks run at full pace."""
        if not self.throttled_cores:
            return [headroom for _image, headroom in self.headroom_by_position]
        return [
            headroom
            - sum(
                cores * estimates.per_core(image, throttled_image).mean
                for throttled_image, cores in self.throttled_cores
            )
            for image, headroom in self.headroom_by_position
        ]


class WorkerUses:
    """Compute the use of a worker only if it may have changed."""

    def __init__(self) -> None:
        """Start without workers."""
        self._known_by_agent: dict[str, tuple[_WorkerState, WorkerUse]] = {}

    def use_of(self, worker: Worker) -> WorkerUse:
        """Return a worker's use.

        The attempts are compared as well as the report: attempts are placed
        and given up between two reports.
        """
        attempts = [
            (placed, placed.load, placed.pace, placed.has_measured_usage)
            for placed in worker.placed_by_task.values()
        ]
        known = self._known_by_agent.get(worker.agent_id)
        if known is not None:
            (known_report, known_attempts), use = known
            if known_report is worker.report and known_attempts == attempts:
                return use
        use = WorkerUse.from_worker(worker)
        self._known_by_agent[worker.agent_id] = (worker.report, attempts), use
        return use

    def retain(self, workers: Iterable[Worker]) -> None:
        """Forget all other workers, such as those of replaced VMs."""
        agents = {worker.agent_id for worker in workers}
        for agent_id in self._known_by_agent.keys() - agents:
            self._known_by_agent.pop(agent_id)


def _present_headroom(latency_critical: PlacedAttempt) -> float:
    if not latency_critical.load:
        return _NEW_TASK_HEADROOM
    return min(
        MAX_HEADROOM,
        latency_critical.step.target_ms / latency_critical.load,
    )


def _is_interference_high(
    best_effort: list[PlacedAttempt], latency_critical: list[PlacedAttempt]
) -> bool:
    paces = [max(placed.pace, 0) for placed in best_effort]
    if any(not placed.has_measured_usage for placed in best_effort):
        return True
    if sum(paces) < _LOW_PACE * len(paces):
        return True
    tail_shares = [
        placed.load / placed.step.target_ms for placed in latency_critical
    ]
    return max(tail_shares) > _HIGH_TAIL_SHARE
