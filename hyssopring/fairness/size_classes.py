"""Size classes of the jobs of a queue, by the work of its recent jobs."""

import enum
from bisect import bisect_left, insort
from collections import deque
from typing import Final

__all__ = ('RecentWork', 'SizeClass')

# Jobs of a queue that a new one is compared with: enough that the largest
# tenth is several jobs, and few enough that the classes follow a change of
# the load within minutes.
_WINDOW: Final = 200
# With fewer jobs, none can be told to be among the largest tenth.
_MIN_JOBS: Final = 10
_LARGEST_SHARE: Final = 0.1
_LARGE_SHARE: Final = 0.3


class SizeClass(enum.IntEnum):
    """How a job's work compares with that of its queue's recent jobs."""

    REST = 0
    LARGE = 1
    LARGEST = 2


class RecentWork:
    """The work of the last jobs of one queue."""

    def __init__(self) -> None:
        """Start without jobs."""
        self._in_order: deque[float] = deque()
        self._sorted: list[float] = []

    def classify(self, work: float) -> SizeClass:
        """Add a job and return its class.

        Jobs of equal work are of the same class, the smallest that fits them.
        """
        self._add(work)
        count = len(self._sorted)
        if count < _MIN_JOBS:
            return SizeClass.REST
        share = (count - bisect_left(self._sorted, work)) / count
        if share <= _LARGEST_SHARE:
            return SizeClass.LARGEST
        return SizeClass.LARGE if share <= _LARGE_SHARE else SizeClass.REST

    def _add(self, work: float) -> None:
        self._in_order.append(work)
        insort(self._sorted, work)
        if len(self._in_order) > _WINDOW:
            oldest = self._in_order.popleft()
            self._sorted.pop(bisect_left(self._sorted, oldest))
