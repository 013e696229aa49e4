"""The one clock type: monotonic milliseconds; and the time of day."""

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
    """Reads milliseconds that never step back."""

    def now(self) -> float:
        """Return the milliseconds since an arbitrary origin."""


class MonotonicClock:
    """The clock of a running process, the same for all of one VM.

    It counts the time that a VM is suspended, which the plain monotonic
    clock does not: a holder that slept past its lease must find it lapsed.
    """

    def now(self) -> float:
        """Return the milliseconds since the VM was booted."""
        return time.clock_gettime(time.CLOCK_BOOTTIME) * MILLIS_PER_SECOND


class ManualClock:
    """A clock that moves only when told to, for tests and experiments."""

    def __init__(self, start: float = 0) -> None:
        """Start at ``start`` milliseconds."""
        self._now = float(start)

    def now(self) -> float:
        """Return the current virtual time in milliseconds."""
        return self._now

    def advance(self, millis: float) -> None:
        """Move forward by ``millis``; a clock never steps back."""
        if millis < 0:
            raise ValueError('a clock never steps back')
        self._now += millis


def wall_ms() -> float:
    """Return the milliseconds since 1970; the time of day may be set back."""
    return time.time() * MILLIS_PER_SECOND
