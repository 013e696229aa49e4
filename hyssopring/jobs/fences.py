"""Fencing numbers, by which a worker rejects outdated requests."""

from typing import Callable, Final

from hyssopring.clock import Clock

__all__ = ('FenceCounter',)

# Above the fences of the release before, which were milliseconds since 1970,
# until August 2028. Little above them, so that a rollback can catch up.
_BASE: Final = 1_850_000_000_000
# A rejection does not contain the number that the worker has seen, so the step
# doubles. It is bounded because the next agent starts from the clock again.
_MAX_STEP: Final = 2**30


class FenceCounter:
    """Generates fences that increase over all agents and incarnations.

    They are based on the time since the boot of the VM, so that requests of a
    former agent or to a former incarnation have a lower one without any stored
    state. The time of day is not suitable: if it is set back while an agent
    restarts, the next one's fences are below that of a start in flight. If the
    worker has outlived a boot of the VM, it rejects them, and they are raised
    until it accepts one, first by the time of day.

    Attributes:
        current: The fence of each request sent now.
    """

    def __init__(self, clock: Clock, wall_ms: Callable[[], float]) -> None:
        """Begin at 0.

        Args:
            clock: Measures the time since the boot of the VM.
            wall_ms: Returns the milliseconds since 1970.
        """
        self._clock = clock
        self._wall_ms = wall_ms
        self.current = 0
        self._step = 1

    def advance(self) -> None:
        """Raise the fence."""
        self.current = max(self.current + 1, _BASE + int(self._clock.now()))

    def raise_above(self, fence: int) -> None:
        """Raise the fence after the worker rejected this one as too low."""
        if fence < self.current:
            return
        self.current = max(fence + self._step, _BASE + int(self._wall_ms()))
        self._step = min(2 * self._step, _MAX_STEP)

    def reset_step(self) -> None:
        """Reset the step after the worker accepted a request."""
        self._step = 1
