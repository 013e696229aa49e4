"""Moving averages of the work that ends, by queue, and of its speed."""

import math
from dataclasses import dataclass
from typing import Final

from hyssopring.clock import MILLIS_PER_SECOND

__all__ = ('EndedWork',)

# Tasks of several seconds that were started together end together. A shorter
# average would fall by half between two such groups.
_AVERAGING_MS: Final = 8000.0
# Averages below this, in core-ms, are removed.
_NEGLIGIBLE_WORK: Final = 0.5
# Weight of the assumption that tasks take as long as expected, in core-ms.
_PRIOR_WORK: Final = 2000.0
_MIN_SPEED: Final = 0.05
_MAX_SPEED: Final = 20.0


@dataclass(slots=True)
class _DecayingSum:
    """A sum whose summands lose weight exponentially with their age."""

    amount: float = 0
    updated_at: float = 0

    def add(self, amount: float, now_ms: float) -> None:
        self.amount = self.at(now_ms) + amount
        self.updated_at = now_ms

    def at(self, now_ms: float) -> float:
        age_ms = max(0, now_ms - self.updated_at)
        return self.amount * math.exp(-age_ms / _AVERAGING_MS)


class EndedWork:
    """The work of tasks that have ended as done."""

    def __init__(self) -> None:
        """Start without ended work."""
        self._work_by_queue: dict[str, _DecayingSum] = {}
        self._expected_work = _DecayingSum()
        self._real_work = _DecayingSum()

    def record(
        self,
        queue: str,
        work: float,
        now_ms: float,
        run_ratio: float | None = None,
    ) -> None:
        """Record the end of a task.

        Args:
            work: The expected work of the task in core-ms.
            run_ratio: The real run time as a multiple of the expected one;
                None if unknown.
        """
        self._work_by_queue.setdefault(queue, _DecayingSum()).add(work, now_ms)
        if run_ratio is not None:
            self._expected_work.add(work, now_ms)
            self._real_work.add(work * run_ratio, now_ms)

    def rate_millis(self, queue: str, now_ms: float) -> float:
        """Return the work of a queue that ends, in core-ms a second."""
        ended = self._work_by_queue.get(queue)
        if ended is None:
            return 0
        return ended.at(now_ms) * MILLIS_PER_SECOND / _AVERAGING_MS

    def speed(self, now_ms: float) -> float:
        """Return the expected run time of tasks as a share of the real one.

        Estimates may be wrong, and best-effort tasks are throttled.
        """
        expected = self._expected_work.at(now_ms) + _PRIOR_WORK
        speed = expected / (self._real_work.at(now_ms) + _PRIOR_WORK)
        return min(max(speed, _MIN_SPEED), _MAX_SPEED)

    def prune(self, now_ms: float) -> None:
        """Remove queues without recent ends; call periodically."""
        self._work_by_queue = {
            queue: ended
            for queue, ended in self._work_by_queue.items()
            if ended.at(now_ms) > _NEGLIGIBLE_WORK
        }
