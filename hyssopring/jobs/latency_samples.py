"""Samples of the tail latency of latency-critical tasks.

Headroom is the ratio of a task's latency target to its tail latency: 1 at the
target, more below it.
"""

from collections import Counter
from dataclasses import dataclass
from typing import Final

__all__ = ('MAX_HEADROOM', 'LatencyObservation', 'LatencySample')

# Higher headrooms count as equal: the task is nearly idle.
MAX_HEADROOM: Final = 6.0
# Smaller changes of the use of an image, in cores, are ignored.
_MIN_USE_CHANGE: Final = 0.1
_MILLIS_PER_CORE: Final = 1000


@dataclass(frozen=True, slots=True)
class LatencySample:
    """The tail latency and target of a latency-critical task, in ms."""

    task: str
    image: str
    tail_ms: int
    target_ms: int

    @property
    def headroom(self) -> float:
        """Return the ratio of target to tail, at most ``MAX_HEADROOM``.

        A tail of 0 means that none has been measured yet.
        """
        return min(MAX_HEADROOM, self.target_ms / max(self.tail_ms, 1))

    @property
    def step(self) -> str:
        """Return the name of the step, without the index of the task."""
        return self.task.rpartition('.')[0]


@dataclass(frozen=True, slots=True)
class LatencyObservation:
    """A sample, and what each best-effort image used beside the task.

    Attributes:
        millicores_by_image: Thousandths of a core.
    """

    observed_at_ms: float
    sample: LatencySample
    millicores_by_image: Counter[str]

    def core_changes_since(
        self, other: 'LatencyObservation'
    ) -> dict[str, float]:
        """Return by how many cores the use of images differs."""
        own, others = self.millicores_by_image, other.millicores_by_image
        return {
            image: cores
            for image in own.keys() | others.keys()
            if abs(cores := (own[image] - others[image]) / _MILLIS_PER_CORE)
            > _MIN_USE_CHANGE
        }
