"""The progress of all running batch tasks of the owned shards."""

from dataclasses import dataclass
from typing import Final, Iterator

from hyssopring.clock import Clock
from hyssopring.jobs.fleet import Fleet, PlacedAttempt, Worker
from hyssopring.jobs.job_record import JobRecord, StepRun
from hyssopring.jobs.owned_shards import OwnedShards
from hyssopring.learning.run_times import run_time_key
from hyssopring.stragglers.outliers import HIGH_SHARE, RunEvidence
from hyssopring.stragglers.progress import REPORT_LAG_MS, Progress
from hyssopring.stragglers.run_time_source import RunTimeSource
from hyssopring.stragglers.step_siblings import StepSiblings
from hyssopring.stragglers.worker_speeds import SpeedSample

__all__ = ('ProgressTable', 'TrackedAttempt')

_FULL_PACE: Final = 100
# A run that has lasted this many times as long as its siblings' shows the
# worker's speed before it ends.
_OVERDUE_FACTOR: Final = 1.5
# An overdue run that reports no progress gives a sample this often.
_OVERDUE_SAMPLE_MS: Final = 1000.0

_MEDIAN_SHARE: Final = 0.5

_AttemptKey = tuple[str, str, int]


@dataclass(slots=True)
class TrackedAttempt:
    """An attempt that may run, with its progress.

    Attributes:
        task: The name of its task.
        step_key: Names its step run among those of all jobs.
        key: The key of its run time.
        is_fresh: Whether it does the whole task, and has been seen from its
            start on.
        sampled_at_ms: Its run time at its last sample of the worker's speed.
    """

    task: str
    worker: Worker
    placed: PlacedAttempt
    record: JobRecord
    run: StepRun
    progress: Progress
    siblings: StepSiblings
    step_key: str
    key: str
    is_fresh: bool
    sampled_at_ms: float = 0


class ProgressTable:
    """Track all attempts of batch tasks that agents have reported.

    Attributes:
        samples: Samples of workers' speeds from the last update.
    """

    def __init__(
        self,
        clock: Clock,
        fleet: Fleet,
        shards: OwnedShards,
        run_times: RunTimeSource,
    ) -> None:
        """Start without attempts."""
        self._clock = clock
        self._fleet = fleet
        self._shards = shards
        self._run_times = run_times
        self._by_attempt: dict[_AttemptKey, TrackedAttempt] = {}
        self._siblings_by_step: dict[str, StepSiblings] = {}
        self.samples: list[SpeedSample] = []

    def __iter__(self) -> Iterator[TrackedAttempt]:
        """Iterate over the tracked attempts."""
        return iter(self._by_attempt.values())

    def update(self) -> None:
        """Apply the newest reports; takes time in proportion to the tasks."""
        now_ms = self._clock.now()
        self.samples = []
        former = self._by_attempt
        self._by_attempt = {}
        for task, worker, placed in self._reported_attempts():
            key = (worker.agent_id, task, placed.attempt)
            tracked = former.pop(key, None)
            if tracked is None or tracked.placed is not placed:
                # Unknown, or of a shard that was lost and taken again.
                tracked = self._track(task, worker, placed, now_ms)
            if tracked is not None:
                self._by_attempt[key] = tracked
        for ended in former.values():
            self._record_ended(ended, now_ms)
        self._siblings_by_step = {
            tracked.step_key: tracked.siblings
            for tracked in self._by_attempt.values()
        }
        self._update_siblings(now_ms)
        for tracked in self._by_attempt.values():
            self._sample(tracked)

    def evidence_of(self, tracked: TrackedAttempt) -> RunEvidence:
        """Return what is known of an attempt's run."""
        progress, step = tracked.progress, tracked.run.step
        siblings = tracked.siblings
        siblings_ms = self._siblings_ms(tracked)
        estimate_ms = step.estimate_ms
        return RunEvidence(
            progress.run_ms,
            max(0, progress.reported_run_ms - REPORT_LAG_MS),
            progress.done_share if siblings.shows_progress else None,
            None if siblings_ms is None else siblings_ms * progress.own_share,
            self._run_times.quantile_ms(tracked.key, estimate_ms, HIGH_SHARE),
            self._run_times.expected_ms(tracked.key, estimate_ms),
        )

    def _reported_attempts(
        self,
    ) -> Iterator[tuple[str, Worker, PlacedAttempt]]:
        """Iterate over the batch tasks that agents have reported."""
        for worker in self._fleet.by_agent.values():
            for task, placed in worker.placed_by_task.items():
                is_reported = placed.observed_since is not None
                if is_reported and not placed.step.is_keeper:
                    yield task, worker, placed

    def _track(
        self,
        task: str,
        worker: Worker,
        placed: PlacedAttempt,
        now_ms: float,
    ) -> TrackedAttempt | None:
        record = self._shards.record_of(placed.name.job_id)
        run = record.step_run_of(placed.name) if record else None
        if record is None or run is None:
            return None
        step_key = f'{placed.name.job_id}.{run.name}'
        siblings = self._siblings_by_step.setdefault(step_key, StepSiblings())
        is_fresh = placed.start_index > 0 and not placed.checkpoint
        began_ms = placed.observed_since if is_fresh else now_ms
        assert began_ms is not None, 'checked by the caller'
        percent = 0 if is_fresh else placed.percent
        return TrackedAttempt(
            task,
            worker,
            placed,
            record,
            run,
            Progress(began_ms, percent, percent),
            siblings,
            step_key,
            run_time_key(record.job, run.step_index),
            is_fresh,
        )

    def _record_ended(self, ended: TrackedAttempt, now_ms: float) -> None:
        """Count the run of an attempt that is gone, if it was done."""
        placed = ended.placed
        is_done = ended.run.is_done_task(placed.name.index)
        if not is_done or placed.is_stopping or not ended.is_fresh:
            return
        ended_at_ms = min(now_ms, ended.worker.reported_at)
        ended.progress.update(
            now_ms, ended.progress.reported_at_ms, 0, _pace_share(placed)
        )
        full_ms = ended.progress.full_ms_at_end(ended_at_ms)
        self._add_sample(ended, full_ms)
        ended.siblings.add_finished(placed.boot, full_ms)

    def _update_siblings(self, now_ms: float) -> None:
        for tracked in self._by_attempt.values():
            placed, progress = tracked.placed, tracked.progress
            tracked.siblings.begin_round()
            reported_at_ms = tracked.worker.reported_at
            if tracked.worker.has_silent_worker:
                # The report repeats what the worker last answered.
                reported_at_ms = progress.reported_at_ms
            progress.update(
                now_ms, reported_at_ms, placed.percent, _pace_share(placed)
            )
            if progress.shows_progress:
                tracked.siblings.shows_progress = True
        for tracked in self._by_attempt.values():
            full_ms = tracked.progress.full_ms
            if full_ms is not None and tracked.progress.shows_progress:
                tracked.siblings.add_running(tracked.placed.boot, full_ms)

    def _sample(self, tracked: TrackedAttempt) -> None:
        """Sample the speed of a worker by a running attempt."""
        progress = tracked.progress
        measured_at_ms = progress.measured_at_ms
        if measured_at_ms is not None and tracked.siblings.shows_progress:
            if measured_at_ms > tracked.sampled_at_ms:
                tracked.sampled_at_ms = measured_at_ms
                self._add_sample(tracked, progress.full_ms)
        elif progress.run_ms - tracked.sampled_at_ms >= _OVERDUE_SAMPLE_MS:
            median_ms = self._reference_ms(tracked)
            if median_ms and progress.run_ms > _OVERDUE_FACTOR * median_ms:
                tracked.sampled_at_ms = progress.run_ms
                self._add_sample(tracked, progress.run_ms)

    def _add_sample(
        self, tracked: TrackedAttempt, full_ms: float | None
    ) -> None:
        reference_ms = self._reference_ms(tracked)
        if reference_ms and full_ms:
            self.samples.append(
                SpeedSample(
                    tracked.placed.boot, tracked.key, reference_ms / full_ms
                )
            )

    def _siblings_ms(self, tracked: TrackedAttempt) -> float | None:
        """Return how long the task takes its siblings, None if unknown.

        If too few are on other workers, those on the same worker count as
        well, and earlier runs of the key: the worker may slow all of them.
        """
        median_ms = tracked.siblings.median_ms(tracked.placed.boot)
        if median_ms is not None:
            return median_ms
        known = (tracked.siblings.median_ms(), self._key_median_ms(tracked))
        return min((each for each in known if each is not None), default=None)

    def _reference_ms(self, tracked: TrackedAttempt) -> float | None:
        """Return how long the task takes on other workers, None if unknown.

        A step with few tasks there is compared with earlier runs of its key.
        """
        median_ms = tracked.siblings.median_ms(tracked.placed.boot)
        return self._key_median_ms(tracked) if median_ms is None else median_ms

    def _key_median_ms(self, tracked: TrackedAttempt) -> float | None:
        return self._run_times.quantile_ms(
            tracked.key, tracked.run.step.estimate_ms, _MEDIAN_SHARE
        )


def _pace_share(placed: PlacedAttempt) -> float:
    """Return the share of its processor time that an attempt may use.

    Only best-effort tasks are throttled. The unknown pace of one that a new
    agent has found counts as none.
    """
    if not placed.step.fills:
        return 1
    return max(0, placed.pace) / _FULL_PACE
