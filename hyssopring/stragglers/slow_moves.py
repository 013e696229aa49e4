"""Stops of tasks on slow workers that end earlier elsewhere."""

from typing import Callable, Final, Mapping

from hyssopring.clock import Clock
from hyssopring.jobs.fleet import Worker
from hyssopring.jobs.owned_shard import OwnedShard
from hyssopring.jobs.owned_shards import OwnedShards
from hyssopring.jobs.placement_option import VERY_SLOW
from hyssopring.jobs.planning import StepPlanner
from hyssopring.jobs.shards import shard_of
from hyssopring.jobs.stop_marks import mark_stopping
from hyssopring.stragglers.progress_table import ProgressTable, TrackedAttempt

__all__ = ('SlowMoves', 'ends_earlier_elsewhere')

# A task is stopped at most once in this time. A new owner does not know what
# its predecessor has stopped, and stops nothing for as long.
_MOVE_INTERVAL_MS: Final = 10_000.0
# A stop takes up to 0.9 s and a restore 0.25 s; up to two seconds of work have
# been done since the last checkpoint.
_MOVE_COST_MS: Final = 3200.0
# The end elsewhere must be this many times earlier, as speeds are estimates.
_MIN_BENEFIT: Final = 1.5

Stop = Callable[[OwnedShard, Worker, str, int], None]


def ends_earlier_elsewhere(left_ms: float, speed: float) -> bool:
    """Return whether a task ends clearly earlier if it is stopped.

    Args:
        left_ms: The work that is left, as time on a worker of usual speed.
        speed: The relative speed of its worker.
    """
    return left_ms / speed > _MIN_BENEFIT * (left_ms + _MOVE_COST_MS)


class SlowMoves:
    """Stop tasks on very slow workers, so that they start elsewhere."""

    def __init__(
        self,
        clock: Clock,
        shards: OwnedShards,
        planner: StepPlanner,
        stop: Stop,
    ) -> None:
        """Stop nothing yet.

        Args:
            stop: Sends the stop of an attempt of a task to its worker's agent.
        """
        self._clock = clock
        self._shards = shards
        self._planner = planner
        self._stop = stop
        self._moved_at_by_task: dict[str, float] = {}
        self._owned_since_by_epoch: dict[tuple[int, int], float] = {}

    def move(
        self, table: ProgressTable, speed_by_boot: Mapping[str, float]
    ) -> None:
        """Stop what ends clearly earlier on a worker with room.

        Args:
            speed_by_boot: The relative speeds of the slow workers.
        """
        self._note_times()
        very_slow = {
            boot: speed
            for boot, speed in speed_by_boot.items()
            if speed < VERY_SLOW
        }
        if not very_slow or self._planner.has_unplaced_tasks:
            return
        placement = self._planner.new_round()
        boots = {
            worker.boot
            for worker in self._planner.available_workers()
            if worker.boot not in speed_by_boot
        }
        for tracked in table:
            placed = tracked.placed
            speed = very_slow.get(placed.boot)
            if speed is None or not self._may_move(tracked, table, speed):
                continue
            # The room is only reserved for this round: the task is planned
            # as any other once its stop has been reported.
            if placement.choose(
                tracked.worker.service,
                placed.step,
                placed.name,
                is_starved=False,
                allowed_boots=boots,
            ):
                self._stop_attempt(tracked)

    def _note_times(self) -> None:
        now_ms = self._clock.now()
        self._moved_at_by_task = {
            task: moved_at_ms
            for task, moved_at_ms in self._moved_at_by_task.items()
            if now_ms - moved_at_ms < _MOVE_INTERVAL_MS
        }
        self._owned_since_by_epoch = {
            epoch: self._owned_since_by_epoch.get(epoch, now_ms)
            for owned in self._shards.by_shard.values()
            for epoch in ((owned.shard, owned.epoch),)
        }

    def _may_move(
        self, tracked: TrackedAttempt, table: ProgressTable, speed: float
    ) -> bool:
        placed, step = tracked.placed, tracked.run.step
        if not step.saves or step.is_copyable or step.is_gang:
            return False
        if placed.is_stopping or str(placed.name) in self._moved_at_by_task:
            return False
        owned = self._shards.by_shard[shard_of(placed.name.job_id)]
        owned_since_ms = self._owned_since_by_epoch[owned.shard, owned.epoch]
        if self._clock.now() - owned_since_ms < _MOVE_INTERVAL_MS:
            return False
        run = table.evidence_of(tracked)
        if run.siblings_ms is None or run.done_share is None:
            return False
        left_ms = run.siblings_ms * (1 - run.done_share)
        return ends_earlier_elsewhere(left_ms, speed)

    def _stop_attempt(self, tracked: TrackedAttempt) -> None:
        placed = tracked.placed
        task = str(placed.name)
        self._moved_at_by_task[task] = self._clock.now()
        mark_stopping(placed, tracked.worker, 'the worker is slow')
        owned = self._shards.by_shard[shard_of(placed.name.job_id)]
        self._stop(owned, tracked.worker, task, placed.attempt)
