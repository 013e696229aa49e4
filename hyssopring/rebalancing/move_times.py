"""When tasks were moved, for the shortest time between two moves."""

from hyssopring.jobs.owned_shards import OwnedShards
from hyssopring.rebalancing.moves import StepKeepers

__all__ = ('MoveTimes',)


class MoveTimes:
    """Remembers moves for the shortest time between two moves of a task.

    A new owner does not know what its predecessor has moved: tasks of jobs
    that were accepted before count as moved when it acquired their shard.
    """

    def __init__(self, interval_ms: float) -> None:
        """Start without moves."""
        self._interval_ms = interval_ms
        self._moved_at_by_task: dict[str, float] = {}
        self._owned_since_by_epoch: dict[tuple[int, int], float] = {}

    def update(self, shards: OwnedShards, now_ms: float) -> None:
        """Forget old moves, and note when shards were acquired."""
        self._moved_at_by_task = {
            task: moved_at_ms
            for task, moved_at_ms in self._moved_at_by_task.items()
            if now_ms - moved_at_ms < self._interval_ms
        }
        self._owned_since_by_epoch = {
            epoch: self._owned_since_by_epoch.get(epoch, now_ms)
            for owned in shards.by_shard.values()
            for epoch in ((owned.shard, owned.epoch),)
        }

    def record(self, task: str, now_ms: float) -> None:
        """Record that a task was moved."""
        self._moved_at_by_task[task] = now_ms

    def may_move(self, step: StepKeepers, task: str, now_ms: float) -> bool:
        """Return whether a task was certainly not moved recently."""
        if task in self._moved_at_by_task:
            return False
        if not step.record.is_inherited:
            return True
        epoch = (step.owned.shard, step.owned.epoch)
        owned_since_ms = self._owned_since_by_epoch.get(epoch, now_ms)
        return now_ms - owned_since_ms >= self._interval_ms
