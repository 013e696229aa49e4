"""The numbers by which a worker tells newer orders from older ones."""

from typing import Callable, Final

__all__ = ('FenceCounter',)

# A refusal says only that the number is too low: steps grow until one is
# enough, and no further, as a next agent begins at the time of day again.
_MAX_STEP: Final = 2**30


class FenceCounter:
    """Gives numbers that rise over all agents and incarnations of a worker.

    They are taken from the time of day: what an agent or an incarnation before
    was sent has a lower one, although neither left a word. Where the time of
    day was set back the worker refuses, and they are raised until it takes
    them.

    Attributes:
        current: What each order carries now.
    """

    def __init__(self, wall_ms: Callable[[], float]) -> None:
        """``wall_ms`` tells the milliseconds since 1970."""
        self._wall_ms = wall_ms
        self.current = 0
        self._step = 1

    def advance(self) -> None:
        """Give higher numbers from now on."""
        self.current = max(self.current + 1, int(self._wall_ms()))

    def refused(self, fence: int) -> None:
        """The worker has seen a higher number than this one."""
        if fence < self.current:
            return
        self.current = max(fence + self._step, int(self._wall_ms()))
        self._step = min(2 * self._step, _MAX_STEP)

    def taken(self) -> None:
        """The worker has taken an order."""
        self._step = 1
