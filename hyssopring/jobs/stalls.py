"""Whether this process has kept up, and may judge others by their silence."""

from typing import Final

from hyssopring.clock import Clock

__all__ = ('StallWatch',)

# Turns come at least five times a second. One that comes this late means that
# the process was stopped or has more to do than it can: what others have sent
# lies unread.
_LATE_MS: Final = 600.0
# What lies unread is read within this time, which is assumed.
_CATCH_UP_MS: Final = 1000.0


class StallWatch:
    """Notices late turns of a regular call.

    A process that was behind took its agents for silent, dropped their
    connections with the reports that lay unread in them, and counted tasks as
    lapsed whose ends it had been told: they ran again after they were done.
    """

    def __init__(self, clock: Clock) -> None:
        """Expect turns some times a second from now on."""
        self._clock = clock
        self._turned_at = clock.now()
        self._blind_until = clock.now()

    def has_kept_up(self) -> bool:
        """Note a turn; False if silence says nothing about others now."""
        now = self._clock.now()
        if now - self._turned_at > _LATE_MS:
            self._blind_until = now + _CATCH_UP_MS
        self._turned_at = now
        return now >= self._blind_until
