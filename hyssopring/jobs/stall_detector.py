"""Whether this process has kept up, and may judge others by their silence."""

from typing import Final

from hyssopring.clock import Clock

__all__ = ('StallDetector',)

# Turns come at least five times a second. One that comes this late means that
# the process was stopped or has more to do than it can: what others have sent
# lies unread.
_LATE_MS: Final = 600.0
# What lies unread is read between two turns, unless the second is late again.
_TURNS_TO_READ: Final = 3
# A process that is late again and again judges all the same after this time:
# its shards' lost VMs would never be given up.
_LONGEST_MS: Final = 3000.0


class StallDetector:
    """Notices late turns of a regular call.

    A process that was behind took its agents for silent, dropped their
    connections with the reports that lay unread in them, and counted tasks as
    lapsed whose ends it had been told: they ran again after they were done.
    """

    def __init__(self, clock: Clock) -> None:
        """Expect turns some times a second from now on."""
        self._clock = clock
        self._turned_at = clock.now()
        self._blind_since: float | None = None
        self._turns_left = 0

    def record_tick(self) -> bool:
        """Note a turn; False if silence says nothing about others now."""
        now = self._clock.now()
        is_late = now - self._turned_at > _LATE_MS
        if is_late:
            if self._blind_since is None:
                self._blind_since = now
            self._turns_left = _TURNS_TO_READ
        self._turned_at = now
        if self._blind_since is None:
            return True
        if is_late:
            return False
        self._turns_left -= 1
        if self._turns_left and now - self._blind_since < _LONGEST_MS:
            return False
        self._blind_since = None
        self._turns_left = 0
        return True
