"""Clocks with monotonic milliseconds, and the time of day."""

import time
from typing import Protocol

__all__ = (
    'MILLIS_PER_SECOND',
    'Clock',
    'ManualClock',
    'MonotonicClock',
    'wall_ms',
)

MILLIS_PER_SECOND = 1000


class Clock(Protocol):
    """A clock that never steps back."""

    def now(self) -> float:
        """Return the milliseconds since an arbitrary origin."""


class MonotonicClock:
    """The system clock since boot, common to all processes of a VM.

    Unlike ``time.monotonic`` it includes the time that the VM is suspended: a
    holder that was suspended beyond its lease must find the lease expired.
    """

    def now(self) -> float:
        """Return the milliseconds since the boot of the VM."""
        return time.clock_gettime(time.CLOCK_BOOTTIME) * MILLIS_PER_SECOND


class ManualClock:
    """A clock that is advanced manually, for tests and simulations."""

    def __init__(self, start_ms: float = 0) -> None:
        """Initialize the clock at ``start_ms`` milliseconds."""
        self._now_ms = float(start_ms)

    def now(self) -> float:
        """Return the current virtual time in milliseconds."""
        return self._now_ms

    def advance(self, millis: float) -> None:
        """Advance the clock.

        Args:
            millis: Milliseconds to add.

        Raises:
            ValueError: ``millis`` is negative.
        """
        if millis < 0:
            raise ValueError('a clock cannot step back: millis is negative')
        self._now_ms += millis


def wall_ms() -> float:
    """Return the milliseconds since 1970, which may step back."""
    return time.time() * MILLIS_PER_SECOND
