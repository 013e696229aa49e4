"""One worker's free capacity and interference during a planning round."""

from dataclasses import dataclass
from typing import Final

from hyssopring.jobs.fleet import Worker
from hyssopring.jobs.interference import MAX_HEADROOM
from hyssopring.jobs.model import Size, Step, TaskName
from hyssopring.jobs.step_impact import RoundEstimates
from hyssopring.jobs.worker_use import WorkerUse

__all__ = ('VERY_SLOW', 'PlacementOption')

# A best-effort task starts only where at least this share of the CPU that it
# asks for is idle; with less it would only slow the tasks that already run.
_MIN_IDLE_CPU_SHARE: Final = 0.7
# Scores are in thousandths of a core, like the idle CPU that they start from.
# Latency-critical tasks are packed together with tasks that do not interfere,
# which leaves workers without any to best-effort tasks. Beside a
# latency-critical task, a best-effort task interferes or is throttled.
_INTERFERENCE_PENALTY: Final = 20_000
_LATENCY_CRITICAL_PACKING_BONUS: Final = 20_000
_BEST_EFFORT_NEIGHBOR_PENALTY: Final = 4000
# For a task that alone takes a worker from all best-effort images.
_LOST_TOLERANCE_PENALTY: Final = 300_000
# For a best-effort task on a worker that tolerates all best-effort images. Such
# workers are left to images that few others tolerate.
_TOLERANT_WORKER_PENALTY: Final = 10_000
_RACK_MISMATCH_PENALTY: Final = 4000
# The headroom that each latency-critical task keeps once all best-effort tasks
# beside it run at full pace. Samples vary by 0.36 at random and by 0.3 as load
# changes.
_MIN_HEADROOM: Final = 1.2
# Interference at and above this scores the same.
_MAX_INTERFERENCE: Final = 1.0
# Below this relative speed, a worker gets urgent tasks only if no other worker
# has room.
VERY_SLOW: Final = 0.3


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
    estimates: RoundEstimates
    headrooms: list[float]
    is_refusing: bool = False
    slow_speed: float = 1
    _placed_count: int = -1
    _images: tuple[str, ...] = ()
    _image_set: frozenset[str] = frozenset()

    @classmethod
    def from_worker(
        cls,
        worker: Worker,
        estimates: RoundEstimates,
        is_refusing: bool = False,
        use: WorkerUse | None = None,
        slow_speed: float = 1,
    ) -> 'PlacementOption':
        """Build the option from a worker's latest report.

        Args:
            use: The worker's use, if it is known already.
            slow_speed: The worker's relative speed; 1 unless it is slow.
        """
        use = use or WorkerUse.from_worker(worker)
        return cls(
            worker,
            use.free,
            use.best_effort_cpu,
            use.throttled_cpu,
            use.unused_cpu,
            len(use.headroom_by_position),
            use.best_effort_count,
            use.is_interference_high,
            estimates,
            use.headrooms(estimates),
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
        if not self.has_free_resources(step):
            return False
        if not step.fills or is_starved:
            return True
        # The conditions that take least time come first.
        if not self.has_idle_cpu(step):
            return False
        if not self.latency_critical_count:
            return True
        if self.is_interference_high and not self.is_interference_negligible(
            step
        ):
            return False
        return self._leaves_headroom(step)

    def has_free_resources(self, step: Step) -> bool:
        """Return whether what a task of the step reserves is free."""
        free, size = self.free, step.size
        reserved_cpu = 0 if step.fills else size.cpu_millis
        return (
            size.memory_mb <= free.memory_mb
            and reserved_cpu <= free.cpu_millis
            and size.accelerators <= free.accelerators
        )

    def is_interference_negligible(self, step: Step) -> bool:
        """Return whether no latency-critical task suffers from the step."""
        if len(self._latency_critical_images()) < self.latency_critical_count:
            return False
        impact = self.estimates.impact_of(step)
        return impact.disturbed_images.isdisjoint(self._image_set)

    def max_interference(self, step: Step) -> float:
        """Return the most headroom that a task of the step may take."""
        images = self._latency_critical_images()
        if len(images) < self.latency_critical_count:
            # One was placed in this round, and nothing is known about it.
            return _MAX_INTERFERENCE
        upper_bound_by_image = self.estimates.impact_of(
            step
        ).upper_bound_by_image
        return max([upper_bound_by_image[image] for image in images], default=0)

    def _latency_critical_images(self) -> tuple[str, ...]:
        """Return the image of each latency-critical task here.

        They change during a round only if a task is placed here.
        """
        placed_count = len(self.worker.placed_by_task)
        if placed_count != self._placed_count:
            self._placed_count = placed_count
            self._images = tuple(
                placed.step.image
                for placed in self.worker.latency_critical_tasks()
            )
            self._image_set = frozenset(self._images)
            self.estimates.add_images(self._image_set)
        return self._images

    def _leaves_headroom(self, step: Step) -> bool:
        """Return whether all keep enough headroom beside one more task.

        Interference that is negligible for a single task adds up: ten such
        tasks put a latency-critical task over its target, and were all
        throttled.
        """
        lowest = min(self.headrooms, default=MAX_HEADROOM)
        if lowest <= _MIN_HEADROOM:
            return False
        images = self._latency_critical_images()
        impact = self.estimates.impact_of(step)
        if lowest - impact.max_mean > _MIN_HEADROOM:
            return True
        mean_by_image = impact.mean_by_image
        for headroom, image in zip(self.headrooms, images, strict=False):
            if headroom - mean_by_image[image] <= _MIN_HEADROOM:
                return False
        return True

    def has_idle_cpu(self, step: Step) -> bool:
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
            score -= _LOST_TOLERANCE_PENALTY * self._lost_tolerance(step)
        if step.fills:
            score -= _TOLERANT_WORKER_PENALTY * self._tolerated_share()
        if rack and rack != self.worker.rack:
            score -= _RACK_MISMATCH_PENALTY
        return score

    def _tolerated_share(self) -> float:
        """Return the share of best-effort images that run here unthrottled."""
        self._latency_critical_images()
        return self.estimates.tolerated_share(self._image_set)

    def _lost_tolerance(self, step: Step) -> float:
        """Return the share of best-effort images that no longer run here.

        It is divided among the tasks of the step that fit, as only the first
        one changes which images run here.
        """
        self._latency_critical_images()
        lost = self.estimates.lost_tolerance(self._image_set, step.image)
        cpu_millis = max(step.size.cpu_millis, 1)
        return lost / max(1, self.free.cpu_millis // cpu_millis)

    def reserve(self, step: Step) -> None:
        """Count one more task of the step."""
        self.free = self.free.minus(step.reserved_size)
        if step.fills:
            self.best_effort_cpu += step.size.cpu_millis
            self.best_effort_count += 1
            self.is_interference_high = self.is_interference_high or bool(
                self.latency_critical_count
            )
            images = self._latency_critical_images()
            mean_by_image = self.estimates.impact_of(step).mean_by_image
            self.headrooms = [
                headroom - mean_by_image[image]
                for headroom, image in zip(self.headrooms, images, strict=False)
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
