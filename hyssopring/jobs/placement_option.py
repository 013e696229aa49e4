"""One worker's free capacity and interference during a planning round."""

from dataclasses import dataclass
from typing import Final

from hyssopring.jobs.fleet import PlacedAttempt, Worker
from hyssopring.jobs.interference import (
    MAX_HEADROOM,
    InterferenceEstimate,
    InterferenceModel,
)
from hyssopring.jobs.model import Size, Step, TaskName

__all__ = ('NEGLIGIBLE_INTERFERENCE', 'VERY_SLOW', 'PlacementOption')

# A best-effort task starts only where at least this share of the CPU that it
# asks for is idle; with less it would only slow the tasks that already run.
_MIN_IDLE_CPU_SHARE: Final = 0.7
# Latency-critical tasks use about half of the CPU that they reserve.
# Best-effort tasks may use the rest, throttled by the agent if necessary.
_UNUSED_RESERVATION_SHARE: Final = 0.5
# No best-effort task is added beside latency-critical tasks while the running
# ones are throttled below this mean pace (in percent), while a tail latency is
# above this share of its target, or while the last one started has not been
# measured.
_LOW_PACE: Final = 60
_HIGH_TAIL_SHARE: Final = 0.55
# Scores are in thousandths of a core, like the idle CPU that they start from.
# Latency-critical tasks are packed together with tasks that do not interfere,
# which leaves workers without any to best-effort tasks. Beside a
# latency-critical task, a best-effort task interferes or is throttled.
_INTERFERENCE_PENALTY: Final = 20_000
_LATENCY_CRITICAL_PACKING_BONUS: Final = 20_000
_BEST_EFFORT_NEIGHBOR_PENALTY: Final = 4000
_RACK_MISMATCH_PENALTY: Final = 4000
# Headroom is the ratio of a task's latency target to its tail latency. A
# best-effort task that takes less than this much of it, at the upper bound of
# the estimate, may start before the last one started has been measured.
NEGLIGIBLE_INTERFERENCE: Final = 0.35
# The headroom that each latency-critical task keeps once all best-effort tasks
# beside it run at full pace. Samples vary by 0.36 at random and by 0.3 as load
# changes.
_MIN_HEADROOM: Final = 1.2
# The assumed headroom of a task without a measured tail latency.
_NEW_TASK_HEADROOM: Final = 1.5
# Interference at and above this scores the same.
_MAX_INTERFERENCE: Final = 1.0
# Below this relative speed, a worker gets urgent tasks only if no other worker
# has room.
VERY_SLOW: Final = 0.3
_FULL_PACE: Final = 100
_MILLIS_PER_CORE: Final = 1000


@dataclass(slots=True)
class PlacementOption:
    """A worker and what is left of it after the round's reservations.

    CPU quantities are in thousandths of a core.

    Attributes:
        best_effort_cpu: CPU that best-effort tasks use at their current pace.
        throttled_cpu: CPU that throttling keeps them from using.
        unused_cpu: CPU that latency-critical tasks reserve and do not use.
        latency_critical_count: How many latency-critical tasks are there.
        best_effort_count: How many best-effort tasks are there.
        is_interference_high: Whether interference rules out one more
            best-effort task, unless its own is negligible.
        headrooms: The headroom of each latency-critical task once all
            best-effort tasks run at full pace.
        is_refusing: Whether the worker has recently refused a start.
        slow_speed: The worker's relative speed if it counts as slow, else 1.
    """

    worker: Worker
    free: Size
    best_effort_cpu: float
    throttled_cpu: float
    unused_cpu: float
    latency_critical_count: int
    best_effort_count: int
    is_interference_high: bool
    interference: InterferenceModel
    headrooms: list[float]
    is_refusing: bool = False
    slow_speed: float = 1

    @classmethod
    def from_worker(
        cls,
        worker: Worker,
        interference: InterferenceModel,
        is_refusing: bool = False,
        slow_speed: float = 1,
    ) -> 'PlacementOption':
        """Build the option from a worker's latest report."""
        best_effort = worker.best_effort_tasks()
        latency_critical = worker.latency_critical_tasks()
        reserved_cpu = sum(
            placed.step.size.cpu_millis for placed in latency_critical
        )
        best_effort_cpu = sum(placed.cpu_used_millis for placed in best_effort)
        return cls(
            worker,
            worker.free(),
            best_effort_cpu,
            sum(placed.cpu_at_full_pace for placed in best_effort)
            - best_effort_cpu,
            reserved_cpu * _UNUSED_RESERVATION_SHARE,
            len(latency_critical),
            len(best_effort),
            bool(latency_critical)
            and _is_interference_high(best_effort, latency_critical),
            interference,
            [
                _headroom(interference, placed, best_effort)
                for placed in latency_critical
            ],
            is_refusing,
            slow_speed,
        )

    @property
    def idle_cpu(self) -> float:
        """Return the thousandths of a core that no task asks for."""
        return self.free.cpu_millis + self.unused_cpu - self.best_effort_cpu

    def has_capacity(self, step: Step, is_starved: bool) -> bool:
        """Return whether one more task of the step may start here.

        Args:
            is_starved: Whether the task may start even if it interferes with
                others.
        """
        if not step.reserved_size.fits_in(self.free):
            return False
        if not step.fills or is_starved:
            return True
        if not self.latency_critical_count:
            return self._has_idle_cpu(step)
        if not self._leaves_headroom(step):
            return False
        if self.is_interference_high and not self.is_interference_negligible(
            step
        ):
            return False
        return self._has_idle_cpu(step)

    def is_interference_negligible(self, step: Step) -> bool:
        """Return whether no latency-critical task suffers from the step."""
        return self.max_interference(step) < NEGLIGIBLE_INTERFERENCE

    def max_interference(self, step: Step) -> float:
        """Return the most headroom that a task of the step may take."""
        latency_critical = self.worker.latency_critical_tasks()
        if len(latency_critical) < self.latency_critical_count:
            # One was placed in this round, and nothing is known about it.
            return _MAX_INTERFERENCE
        return max(
            (
                _cores(step) * self._estimate(placed, step).upper_bound
                for placed in latency_critical
            ),
            default=0,
        )

    def _estimate(
        self, latency_critical: PlacedAttempt, step: Step
    ) -> InterferenceEstimate:
        return self.interference.per_core(
            latency_critical.step.image, step.image
        )

    def _leaves_headroom(self, step: Step) -> bool:
        """Return whether all keep enough headroom beside one more task.

        Interference that is negligible for a single task adds up: ten such
        tasks put a latency-critical task over its target, and were all
        throttled.
        """
        latency_critical = self.worker.latency_critical_tasks()
        return all(
            headroom - _cores(step) * self._estimate(placed, step).mean
            > _MIN_HEADROOM
            for headroom, placed in zip(
                self.headrooms, latency_critical, strict=False
            )
        )

    def _has_idle_cpu(self, step: Step) -> bool:
        """Return whether enough CPU is idle for a best-effort task."""
        if not self.best_effort_cpu and not self.latency_critical_count:
            return True
        return self.idle_cpu >= _MIN_IDLE_CPU_SHARE * step.size.cpu_millis

    def score(self, step: Step, rack: str = '') -> float:
        """Return how well a task of the step fits; higher is better."""
        score = self.idle_cpu
        if self.latency_critical_count and step.fills:
            interference = min(
                1, self.max_interference(step) / _MAX_INTERFERENCE
            )
            # Throttled tasks take up any headroom that becomes free. Counting
            # their unused CPU as idle attracted each job's first task: two of
            # eleven workers got a third of all best-effort tasks, which ran at
            # a quarter of their pace.
            score -= interference * (_INTERFERENCE_PENALTY + self.throttled_cpu)
        elif self.latency_critical_count:
            score += _LATENCY_CRITICAL_PACKING_BONUS
        if step.target_ms:
            score -= _BEST_EFFORT_NEIGHBOR_PENALTY * self.best_effort_count
        if rack and rack != self.worker.rack:
            score -= _RACK_MISMATCH_PENALTY
        return score

    def reserve(self, step: Step) -> None:
        """Count one more task of the step."""
        self.free = self.free.minus(step.reserved_size)
        if step.fills:
            self.best_effort_cpu += step.size.cpu_millis
            self.best_effort_count += 1
            self.is_interference_high = self.is_interference_high or bool(
                self.latency_critical_count
            )
            self.headrooms = [
                headroom - _cores(step) * self._estimate(placed, step).mean
                for headroom, placed in zip(
                    self.headrooms,
                    self.worker.latency_critical_tasks(),
                    strict=False,
                )
            ]
        if step.target_ms:
            self.latency_critical_count += 1

    def speed_rank(
        self, step: Step, is_urgent: bool
    ) -> tuple[bool, bool, bool]:
        """Return what comes before the score; higher is better.

        Args:
            is_urgent: Whether the task must not run on a very slow worker
                while another one has room.
        """
        is_slow = self.slow_speed < 1
        is_excluded = is_urgent and self.slow_speed < VERY_SLOW
        is_last = is_slow and (is_excluded or not self._may_probe(step))
        return not is_excluded, not self.is_refusing, not is_last

    def _may_probe(self, step: Step) -> bool:
        """Return whether a task of the step may show a slow worker's speed.

        A slow worker without a batch task gets one as any other does. Keepers
        show no speed, and the slowest member of a gang delays all.
        """
        return not (step.is_keeper or step.is_gang) and all(
            placed.step.is_keeper
            for placed in self.worker.placed_by_task.values()
        )

    def has_label(self, step: Step) -> bool:
        """Return whether the worker has the label that the step requires."""
        report = self.worker.report
        return not step.label or (
            report is not None and step.label in report.labels
        )

    def is_below_worker_limit(self, step: Step, task_name: TaskName) -> bool:
        """Return whether the step's limit per worker allows one more task."""
        limit = step.max_per_worker
        return not limit or self.count_tasks(task_name) < limit

    def count_tasks(self, task_name: TaskName) -> int:
        """Count the tasks here of the same step and occurrence."""
        return sum(
            placed.name.job_id == task_name.job_id
            and placed.name.occurrence == task_name.occurrence
            and placed.name.step == task_name.step
            for placed in self.worker.placed_by_task.values()
        )


def _cores(step: Step) -> float:
    return step.size.cpu_millis / _MILLIS_PER_CORE


def _headroom(
    interference: InterferenceModel,
    latency_critical: PlacedAttempt,
    best_effort: list[PlacedAttempt],
) -> float:
    """Return a task's headroom once best-effort tasks run at full pace."""
    current = _NEW_TASK_HEADROOM
    if latency_critical.load:
        current = min(
            MAX_HEADROOM,
            latency_critical.step.target_ms / latency_critical.load,
        )
    return current - sum(
        (placed.cpu_at_full_pace - placed.cpu_used_millis)
        / _MILLIS_PER_CORE
        * interference.per_core(
            latency_critical.step.image, placed.step.image
        ).mean
        for placed in best_effort
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
