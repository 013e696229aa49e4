"""Fencing numbers, by which a worker rejects outdated requests."""

from typing import Callable, Final

__all__ = ('FenceCounter',)

# A rejection does not contain the number that the worker has seen, so the step
# doubles. It is bounded because the next agent starts from the time of day
# again.
_MAX_STEP: Final = 2**30


class FenceCounter:
    """Generates fences that increase over all agents and incarnations.

    They are based on the time of day, so that requests of a former agent or to
    a former incarnation have a lower one without any stored state. If the time
    of day was set back, the worker rejects them, and they are raised until it
    accepts one.

    Attributes:
        current: The fence of each request sent now.
    """

    def __init__(self, wall_ms: Callable[[], float]) -> None:
        """Begin at 0; ``wall_ms`` returns the milliseconds since 1970."""
        self._wall_ms = wall_ms
        self.current = 0
        self._step = 1

    def advance(self) -> None:
        """Raise the fence."""
        self.current = max(self.current + 1, int(self._wall_ms()))

    def raise_above(self, fence: int) -> None:
        """Raise the fence after the worker rejected this one as too low."""
        if fence < self.current:
            return
        self.current = max(fence + self._step, int(self._wall_ms()))
        self._step = min(2 * self._step, _MAX_STEP)

    def reset_step(self) -> None:
        """Reset the step after the worker accepted a request."""
        self._step = 1
