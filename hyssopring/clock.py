"""The one clock type: monotonic milliseconds."""

import time
from typing import Protocol

__all__ = ('Clock', 'ManualClock', 'MonotonicClock')

_MILLIS_PER_SECOND = 1000.0


class Clock(Protocol):
    """Reads milliseconds that never step back."""

    def now(self) -> float:
        """Return the milliseconds since an arbitrary origin."""


class MonotonicClock:
    """The clock of a running process."""

    def now(self) -> float:
        """Return the milliseconds of the machine's monotonic clock."""
        return time.monotonic() * _MILLIS_PER_SECOND


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
