"""Logs that jobs are accepted because the owner's outlook is stale."""

from typing import Final

from hyssopring.clock import Clock
from hyssopring.logs import Event, log_event

__all__ = ('StaleLog',)

_INTERVAL_MS: Final = 5000.0
_NEVER: Final = float('-inf')


class StaleLog:
    """Writes one line in each interval, with the number of jobs since."""

    def __init__(self, clock: Clock) -> None:
        """Start without accepted jobs."""
        self._clock = clock
        self._count = 0
        self._logged_at = _NEVER

    def record(self, age_ms: float) -> None:
        """Record that a job was accepted because of the outlook's age."""
        self._count += 1
        now_ms = self._clock.now()
        if now_ms - self._logged_at >= _INTERVAL_MS:
            log_event(
                Event.ADMISSION_STALE, age_ms=int(age_ms), jobs=self._count
            )
            self._logged_at = now_ms
            self._count = 0
