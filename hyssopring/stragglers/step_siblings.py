"""How long the tasks of one step take, as its siblings show."""

from collections import deque
from dataclasses import dataclass, field
from statistics import median
from typing import Final

__all__ = ('StepSiblings',)

# Fewer siblings than this show nothing.
_MIN_SIBLINGS: Final = 3
# The newest runs of a step that are compared with.
_MAX_RUNS: Final = 48


@dataclass(slots=True)
class StepSiblings:
    """Run times of the tasks of one step of one job.

    Attributes:
        shows_progress: Whether any of its tasks has reported progress.
    """

    shows_progress: bool = False
    _finished: deque[tuple[str, float]] = field(
        default_factory=lambda: deque(maxlen=_MAX_RUNS)
    )
    _running: list[tuple[str, float]] = field(default_factory=list)
    _median_by_boot: dict[str, float | None] = field(default_factory=dict)

    def begin_round(self) -> None:
        """Forget the speeds of running tasks, which are added anew."""
        self._running.clear()
        self._median_by_boot.clear()

    def add_running(self, boot: str, full_ms: float) -> None:
        """Add the projected run time of a running task."""
        if len(self._running) < _MAX_RUNS:
            self._running.append((boot, full_ms))

    def add_finished(self, boot: str, full_ms: float) -> None:
        """Add the run time of a task that is done."""
        self._finished.append((boot, full_ms))
        self._median_by_boot.clear()

    def median_ms(self, boot: str = '') -> float | None:
        """Return how long a task takes on workers other than ``boot``.

        Args:
            boot: An incarnation of a worker; empty for all workers.

        Returns:
            None if too few tasks of these workers are known.
        """
        if boot not in self._median_by_boot:
            times_ms = [
                full_ms
                for other, full_ms in (*self._finished, *self._running)
                if other != boot
            ]
            self._median_by_boot[boot] = (
                median(times_ms) if len(times_ms) >= _MIN_SIBLINGS else None
            )
        return self._median_by_boot[boot]
