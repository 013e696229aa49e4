"""The seconds at which rejected jobs are told to come back."""

import math
from collections import defaultdict
from typing import Final

from hyssopring.clock import MILLIS_PER_SECOND

__all__ = ('MAX_WAIT_MS', 'Reservations')

# How long after the first room a job is told to come back at the latest. Many
# callers do not return after a long wait, and their reservations are in vain.
_HORIZON_S: Final = 30
# The longest wait that is named; bounds the table.
_MAX_WAIT_S: Final = 600
MAX_WAIT_MS: Final = _MAX_WAIT_S * MILLIS_PER_SECOND

_WorkByPriority = defaultdict[int, float]


class Reservations:
    """Work of rejected jobs by the second at which they are to return.

    Seconds count from the origin of the entry's clock. Work is in core-ms.
    """

    def __init__(self) -> None:
        """Start without reservations."""
        self._work_by_priority_by_second: dict[int, _WorkByPriority] = {}

    def find(
        self,
        now_ms: float,
        excess_work: float,
        priority: int,
        work_per_second: float,
    ) -> int:
        """Return after how many seconds there is room for one more job.

        Args:
            excess_work: The work that must end first, without reservations.
            priority: Reservations of less urgent jobs do not count.
        """
        now_s = _second_of(now_ms)
        first_s = max(1, math.ceil(excess_work / work_per_second))
        first_s = min(first_s, _MAX_WAIT_S - _HORIZON_S)
        needed = excess_work + sum(
            self._reserved(second, priority)
            for second in range(_first_due(now_s), now_s + first_s)
        )
        for seconds in range(first_s, first_s + _HORIZON_S):
            needed += self._reserved(now_s + seconds, priority)
            if needed <= seconds * work_per_second:
                return seconds
        return first_s + _HORIZON_S

    def add(self, at_ms: float, priority: int, work: float) -> None:
        """Reserve room for a job that is to return at a time."""
        work_by_priority = self._work_by_priority_by_second.setdefault(
            _second_of(at_ms), defaultdict(float)
        )
        work_by_priority[priority] += work

    def due_work(self, now_ms: float, priority: int) -> float:
        """Return the reserved work of jobs that are about to return.

        Callers may return late in the second that was named for them.

        Args:
            priority: Only work of this or a more urgent priority counts.
        """
        return sum(
            self._reserved(second, priority) for second in _due_seconds(now_ms)
        )

    def release(self, now_ms: float, priority: int, work: float) -> None:
        """Release the room of a job that has returned."""
        for second in _due_seconds(now_ms):
            work_by_priority = self._work_by_priority_by_second.get(second)
            if work_by_priority is not None:
                released = min(work, work_by_priority[priority])
                work_by_priority[priority] -= released
                work -= released

    def prune(self, now_ms: float) -> None:
        """Remove the seconds that are over; call periodically."""
        first_due = _due_seconds(now_ms)[0]
        for second in list(self._work_by_priority_by_second):
            if second < first_due:
                self._work_by_priority_by_second.pop(second)

    def __len__(self) -> int:
        """Return the number of seconds with reservations."""
        return len(self._work_by_priority_by_second)

    def _reserved(self, second: int, priority: int) -> float:
        work_by_priority = self._work_by_priority_by_second.get(second)
        if work_by_priority is None:
            return 0
        return sum(
            work
            for each_priority, work in work_by_priority.items()
            if each_priority <= priority
        )


def _second_of(now_ms: float) -> int:
    return int(now_ms // MILLIS_PER_SECOND)


def _first_due(now_s: int) -> int:
    """Return the first second whose jobs may still return: the last one."""
    return now_s - 1


def _due_seconds(now_ms: float) -> range:
    """Return the last second, the present one and the next one."""
    now_s = _second_of(now_ms)
    return range(_first_due(now_s), now_s + 2)
