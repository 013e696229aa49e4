"""Throttling of best-effort tasks beside latency-critical ones on a worker.

Latency-critical tasks reserve most of the CPU and use half of it while
best-effort tasks wait. Best-effort tasks therefore run beside them, at a pace
that depends on the headroom they take: those that interfere are throttled at
once as far as needed, and the others go on at full pace.

A pace is the percentage that a task may use of the CPU that it asks for. The
headroom of a latency-critical task is the ratio of its latency target to its
tail latency: 1 is on target, more is better.
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
    LatencySample,
)
from hyssopring.jobs.shared_estimates import ReceivedEstimates
from hyssopring.jobs.target_misses import TargetMiss, TargetMissLog
from hyssopring.logs import Event, log_event

__all__ = ('Pacer',)

# Below the first headroom, tasks are throttled until the second one is reached;
# increases of a pace leave the second one as well. A sample covers the past
# half second: until a new pace acts, changes of load take up to 0.2 of
# headroom more. A second over the target costs the users of a latency-critical
# task as much as about twenty core-seconds of best-effort work are worth.
_THROTTLING_HEADROOM: Final = 1.2
_TARGET_HEADROOM: Final = 1.45
# The most that a pace increases per sample.
_MAX_INCREASE: Final = 34
# Smaller increases are not worth a call to the worker.
_MIN_INCREASE: Final = 5
# The assumed pace of tasks that a new agent finds running.
_INITIAL_PACE: Final = 50
# A task that takes less headroom per core than this is throttled only when all
# tasks are stopped.
_NEGLIGIBLE_PER_CORE: Final = 0.03
# If a task is over its target for longer than this, tasks that may interfere
# are throttled as well as those that are known to: the model is wrong, or has
# too few samples.
_UNCERTAIN_AFTER_MS: Final = 900.0
# After this time all best-effort tasks beside it are stopped. Users accept 4 s
# over the target at most, and the next sample and the call take up to 1.1 s.
_STOP_AFTER_MS: Final = 2000.0
# Samples cover half a second and arrive as often. Equal samples that are
# further apart than this, in ms, count as new.
_MIN_SAMPLE_INTERVAL_MS: Final = 450.0
_MILLIS_PER_CORE: Final = 1000


@dataclass(slots=True)
class _BestEffortTask:
    """A running best-effort task while its new pace is computed.

    Attributes:
        full_pace_cores: The cores that it uses at full pace.
        used_cores: The cores that it uses now, as far as known.
        pace: The new pace.
        throttled_for: The latency-critical task whose headroom the last
            reduction restores, None without one.
    """

    attempt: Attempt
    image: str
    full_pace_cores: float
    used_cores: float
    pace: float
    throttled_for: LatencySample | None = None

    def throttle(self, cores: float, sample: LatencySample) -> None:
        """Reduce the pace by this many cores, to restore a task's headroom."""
        self.pace *= 1 - cores / self.used_cores
        self.used_cores -= cores
        self.throttled_for = sample

    def allowed_increase(self, cores: float) -> float:
        """Return by how many percent the pace may increase.

        Args:
            cores: How many more cores the task may use.
        """
        missing = FULL_PACE - self.pace
        allowed = (
            cores / max(self.full_pace_cores, 1 / _MILLIS_PER_CORE) * FULL_PACE
        )
        percent = min(_MAX_INCREASE, missing, allowed)
        return 0 if percent < min(_MIN_INCREASE, missing) else percent

    def increase(self, percent: float) -> None:
        """Increase the pace by this many percent of full pace."""
        self.pace += percent
        self.used_cores += self.full_pace_cores * percent / FULL_PACE


@dataclass(slots=True)
class _LatencyCriticalTask:
    """A latency-critical task while the paces beside it are computed.

    Attributes:
        headroom: What is left once the last changes take effect.
        estimates: By how much a core of each best-effort task reduces its
            headroom, in the order of the best-effort tasks.
    """

    sample: LatencySample
    headroom: float
    estimates: list[InterferenceEstimate]

    def headroom_alone(self, best_effort: list[_BestEffortTask]) -> float:
        """Return the expected headroom without the best-effort tasks."""
        return self.headroom + sum(
            estimate.mean * task.used_cores
            for estimate, task in zip(self.estimates, best_effort, strict=True)
        )


class Pacer:
    """Set the paces of the best-effort tasks on one worker.

    Attributes:
        received: What owners have learned of interference.
    """

    def __init__(
        self,
        clock: Clock,
        set_pace: Callable[[Attempt, int], None],
    ) -> None:
        """Start without samples.

        Args:
            set_pace: Sets an attempt's pace in percent on the worker.
        """
        self._clock = clock
        self._set_pace = set_pace
        self._load_by_task: dict[str, int] = {}
        self._sampled_at_ms = -_MIN_SAMPLE_INTERVAL_MS
        self._over_target_since_ms: float | None = None
        self._interference = InterferenceModel()
        self.received = ReceivedEstimates()
        # Tasks whose pace changed so recently that no sample shows it.
        self._changed_tasks: set[str] = set()
        self._target_misses = TargetMissLog()

    def tick(self, attempts: Iterable[Attempt]) -> None:
        """Compute the paces from a listing of the worker's attempts."""
        listed = list(attempts)
        if not self._is_new_sample(listed):
            return
        running = [attempt for attempt in listed if _is_best_effort(attempt)]
        samples = _latency_samples(listed)
        self._interference.observe_worker(
            samples, _millicores_by_image(running), self._sampled_at_ms
        )
        best_effort = [self._best_effort_task(attempt) for attempt in running]
        self._update_paces(best_effort, samples)
        self._changed_tasks = {
            task.attempt.task
            for task in best_effort
            if self._apply(task, samples)
        }

    def _update_paces(
        self,
        best_effort: list[_BestEffortTask],
        samples: list[LatencySample],
    ) -> None:
        over_target_ms = self._over_target_ms(samples)
        latency_critical = [
            self._latency_critical_task(sample, best_effort)
            for sample in samples
        ]
        self._log_misses(samples, latency_critical, best_effort)
        if over_target_ms > _STOP_AFTER_MS:
            for task in best_effort:
                task.pace = 0
            return
        for affected in latency_critical:
            if affected.headroom < _THROTTLING_HEADROOM:
                _throttle(
                    affected,
                    latency_critical,
                    best_effort,
                    is_uncertain=over_target_ms > _UNCERTAIN_AFTER_MS,
                )
        _increase_paces(latency_critical, best_effort)

    def _log_misses(
        self,
        samples: list[LatencySample],
        latency_critical: list['_LatencyCriticalTask'],
        best_effort: list[_BestEffortTask],
    ) -> None:
        miss_by_task = {
            sample.task: TargetMiss(
                sample.headroom, affected.headroom_alone(best_effort) >= 1
            )
            for sample, affected in zip(samples, latency_critical, strict=True)
            if sample.headroom < 1
        }
        self._target_misses.observe(miss_by_task, self._sampled_at_ms)

    def _latency_critical_task(
        self,
        sample: LatencySample,
        best_effort: list[_BestEffortTask],
    ) -> '_LatencyCriticalTask':
        """Predict a task's headroom once the last changes take effect."""
        estimates = [
            self._per_core(sample.image, task.image) for task in best_effort
        ]
        unsampled = sum(
            estimate.mean
            * (task.used_cores - task.attempt.load / _MILLIS_PER_CORE)
            for estimate, task in zip(estimates, best_effort, strict=True)
        )
        return _LatencyCriticalTask(
            sample, sample.headroom - unsampled, estimates
        )

    def _per_core(
        self, latency_critical_image: str, best_effort_image: str
    ) -> InterferenceEstimate:
        """Return the best estimate of what a core of an image takes."""
        pair = (latency_critical_image, best_effort_image)
        return self.received.more_certain(
            pair, self._interference.per_core(*pair)
        )

    def _over_target_ms(self, samples: list[LatencySample]) -> float:
        """Return for how long a tail latency has been over its target."""
        if all(sample.headroom >= 1 for sample in samples):
            self._over_target_since_ms = None
            return 0
        if self._over_target_since_ms is None:
            self._over_target_since_ms = self._sampled_at_ms
        return self._sampled_at_ms - self._over_target_since_ms

    def _best_effort_task(self, attempt: Attempt) -> _BestEffortTask:
        """Return a task with its current pace and use.

        The sample contains the use, unless the task is new or its pace has
        just changed; then the use follows from the pace.
        """
        assert attempt.facts is not None, (
            'only attempts of known size are paced'
        )
        full_pace_cores = attempt.facts.cpu_millis / _MILLIS_PER_CORE
        pace = _INITIAL_PACE if attempt.pace == UNKNOWN_PACE else attempt.pace
        used_cores = attempt.load / _MILLIS_PER_CORE
        if attempt.task in self._changed_tasks or not attempt.load:
            used_cores = full_pace_cores * pace / FULL_PACE
        return _BestEffortTask(
            attempt, attempt.facts.image, full_pace_cores, used_cores, pace
        )

    def _apply(
        self, task: _BestEffortTask, samples: list[LatencySample]
    ) -> bool:
        """Set a task's pace; return False if it is unchanged."""
        attempt, new_pace = task.attempt, round(task.pace)
        if new_pace == attempt.pace:
            return False
        affected = task.throttled_for or min(
            samples, key=lambda sample: sample.headroom, default=None
        )
        affected_image = affected.image if affected else ''
        estimate = self._per_core(affected_image, task.image)
        log_event(
            Event.TASK_PACED,
            task=attempt.task,
            image=task.image,
            pace=new_pace,
            before=attempt.pace,
            keeper=affected.task if affected else '',
            keeper_image=affected_image,
            tail_percent=(
                round(FULL_PACE / affected.headroom) if affected else 0
            ),
            harm=round(estimate.mean, 3),
            deviation=round(estimate.deviation, 3),
        )
        self._set_pace(attempt, new_pace)
        return True

    def _is_new_sample(self, listed: list[Attempt]) -> bool:
        """Return whether a listing has other loads than the last sample.

        A load is a tail latency or a use of CPU; see ``Attempt.load``.

        A listing that arrives early because a task has started or ended repeats
        the last sample. Throttling on each listing acted twice on one sample:
        73 of 320 reductions were of paces already below 10.
        """
        now_ms = self._clock.now()
        load_by_task = {attempt.task: attempt.load for attempt in listed}
        common_tasks = load_by_task.keys() & self._load_by_task.keys()
        is_same = all(
            load_by_task[task] == self._load_by_task[task]
            for task in common_tasks
        )
        if is_same and now_ms - self._sampled_at_ms < _MIN_SAMPLE_INTERVAL_MS:
            return False
        self._load_by_task = load_by_task
        self._sampled_at_ms = now_ms
        return True


def _throttle(
    affected: _LatencyCriticalTask,
    latency_critical: list[_LatencyCriticalTask],
    best_effort: list[_BestEffortTask],
    is_uncertain: bool,
) -> None:
    """Restore a task's headroom by throttling those that take most per core.

    Do nothing if the task would be over its target even without all of them:
    then its own load is the cause.

    Args:
        is_uncertain: Whether tasks are throttled by the upper bound of their
            estimate instead of its mean.
    """
    recoverable_headroom = sum(
        interference.upper_bound * task.used_cores
        for interference, task in zip(
            affected.estimates, best_effort, strict=True
        )
    )
    if affected.headroom + recoverable_headroom < 1:
        return
    per_core = [
        interference.upper_bound if is_uncertain else interference.mean
        for interference in affected.estimates
    ]
    positions = sorted(
        range(len(best_effort)), key=per_core.__getitem__, reverse=True
    )
    for position in positions:
        task, interference = best_effort[position], per_core[position]
        missing = _TARGET_HEADROOM - affected.headroom
        if (
            missing > 0
            and interference > _NEGLIGIBLE_PER_CORE
            and task.used_cores > 0
        ):
            cores = min(task.used_cores, missing / interference)
            task.throttle(cores, affected.sample)
            for other in latency_critical:
                other.headroom += cores * other.estimates[position].mean


def _increase_paces(
    latency_critical: list[_LatencyCriticalTask],
    best_effort: list[_BestEffortTask],
) -> None:
    """Spend the remaining headroom, on the least interfering tasks first."""
    worst_per_core = [
        max(
            (task.estimates[position].upper_bound for task in latency_critical),
            default=0,
        )
        for position in range(len(best_effort))
    ]
    for position in sorted(
        range(len(best_effort)), key=worst_per_core.__getitem__
    ):
        candidate = best_effort[position]
        cores = min(
            (
                (task.headroom - _TARGET_HEADROOM)
                / task.estimates[position].upper_bound
                for task in latency_critical
            ),
            default=candidate.full_pace_cores,
        )
        percent = candidate.allowed_increase(cores)
        if percent > 0:
            candidate.increase(percent)
            for affected in latency_critical:
                reduction = (
                    affected.estimates[position].upper_bound
                    * candidate.full_pace_cores
                )
                affected.headroom -= reduction * percent / FULL_PACE


def _is_best_effort(attempt: Attempt) -> bool:
    return (
        attempt.phase is Phase.RUNNING
        and attempt.facts is not None
        and attempt.facts.fills
    )


def _latency_samples(attempts: list[Attempt]) -> list[LatencySample]:
    """Return the measured tail latencies; a new task has none."""
    return [
        LatencySample(
            attempt.task,
            attempt.facts.image,
            attempt.load,
            attempt.facts.target_ms,
        )
        for attempt in attempts
        if attempt.facts is not None
        and attempt.facts.target_ms
        and attempt.load
    ]


def _millicores_by_image(best_effort: list[Attempt]) -> Counter[str]:
    """Return the thousandths of a core that each image's tasks use."""
    millicores_by_image: Counter[str] = Counter()
    for attempt in best_effort:
        if attempt.facts is not None:
            millicores_by_image[attempt.facts.image] += attempt.load
    return millicores_by_image
