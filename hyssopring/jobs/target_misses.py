"""Logs the times in which latency-critical tasks are over their targets."""

from collections import Counter
from dataclasses import dataclass, field
from typing import Final, Mapping

from hyssopring.logs import Event, log_event

__all__ = ('TargetMiss', 'TargetMissLog')

_FULL_PERCENT: Final = 100


@dataclass(frozen=True, slots=True)
class TargetMiss:
    """A sample of a task that is over its target.

    Attributes:
        headroom: The ratio of the latency target to the tail latency.
        is_by_neighbours: Whether the task would be on target without the
            best-effort tasks on its worker.
    """

    headroom: float
    is_by_neighbours: bool


@dataclass(slots=True)
class _Episode:
    """Consecutive samples of one task over its target."""

    since_ms: float
    headroom: float
    samples: Counter[bool] = field(default_factory=Counter)


class TargetMissLog:
    """Logs one event for each time in which a task was over its target."""

    def __init__(self) -> None:
        """Start without tasks over their targets."""
        self._episode_by_task: dict[str, _Episode] = {}

    def observe(
        self, miss_by_task: Mapping[str, TargetMiss], now_ms: float
    ) -> None:
        """Record a sample of all latency-critical tasks on a worker.

        Args:
            miss_by_task: The tasks that are over their targets.
            now_ms: When the sample was taken.
        """
        for task, miss in miss_by_task.items():
            episode = self._episode_by_task.setdefault(
                task, _Episode(now_ms, miss.headroom)
            )
            episode.headroom = min(episode.headroom, miss.headroom)
            episode.samples[miss.is_by_neighbours] += 1
        for ended in self._episode_by_task.keys() - miss_by_task.keys():
            self._log(ended, self._episode_by_task.pop(ended), now_ms)

    def _log(self, task: str, episode: _Episode, now_ms: float) -> None:
        is_by_neighbours = episode.samples[True] >= episode.samples[False]
        log_event(
            Event.TARGET_MISSED,
            task=task,
            lasted_ms=int(now_ms - episode.since_ms),
            tail_percent=round(_FULL_PERCENT / episode.headroom),
            by='neighbours' if is_by_neighbours else 'worker',
        )
