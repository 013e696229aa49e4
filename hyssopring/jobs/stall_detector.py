"""Detects stalls of this process, after which no timeout of a peer counts."""

from typing import Final

from hyssopring.clock import Clock

__all__ = ('StallDetector',)

# Ticks come at least every 200 ms. After a gap longer than this the process
# was suspended or overloaded, and messages from peers may be unread.
_MAX_GAP_MS: Final = 600.0
# Ticks on time after which all messages received during the stall are read.
_CATCH_UP_TICKS: Final = 3
# A process that stalls repeatedly applies timeouts again after this time.
# Otherwise it would never declare a VM lost.
_MAX_STALLED_MS: Final = 3000.0


class StallDetector:
    """Detects late calls of a periodic function.

    A process that has stalled has unread messages. If it applied its timeouts
    before reading them, it would close connections that hold unread reports,
    count tasks as lapsed whose ends were reported, and run them again.
    """

    def __init__(self, clock: Clock) -> None:
        """Expect ticks several times a second from now on."""
        self._clock = clock
        self._last_tick_at = clock.now()
        self._stalled_since: float | None = None
        self._catch_up_ticks_left = 0

    @property
    def is_timely(self) -> bool:
        """Whether timeouts of peers are meaningful now, between two ticks."""
        gap_ms = self._clock.now() - self._last_tick_at
        return self._stalled_since is None and gap_ms <= _MAX_GAP_MS

    def record_tick(self) -> bool:
        """Record a tick; return whether timeouts of peers are meaningful."""
        now_ms = self._clock.now()
        is_late = now_ms - self._last_tick_at > _MAX_GAP_MS
        if is_late:
            if self._stalled_since is None:
                self._stalled_since = now_ms
            self._catch_up_ticks_left = _CATCH_UP_TICKS
        self._last_tick_at = now_ms
        if self._stalled_since is None:
            return True
        if is_late:
            return False
        self._catch_up_ticks_left -= 1
        if (
            self._catch_up_ticks_left
            and now_ms - self._stalled_since < _MAX_STALLED_MS
        ):
            return False
        self._stalled_since = None
        self._catch_up_ticks_left = 0
        return True
