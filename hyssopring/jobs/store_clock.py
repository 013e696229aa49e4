"""Bounds of the store's monotonic clock in terms of this process's clock."""

from typing import Final

from hyssopring.clock import Clock
from hyssopring.jobs.times import CLOCK_DRIFT

__all__ = ('StoreClock',)

_MAX_RATE: Final = 1 + CLOCK_DRIFT


class StoreClock:
    """Converts between the store's clock and this process's clock.

    The reading in an answer was taken at some time between the request and the
    arrival of the answer. Each bound assumes the time and the clock drift that
    make a wait longer.
    """

    def __init__(self, clock: Clock) -> None:
        """Begin without any reading."""
        self._clock = clock
        self._reading_ms: float | None = None
        self._sent_at = clock.now()
        self._received_at = clock.now()

    @property
    def is_known(self) -> bool:
        """Whether a reading was received."""
        return self._reading_ms is not None

    def update(self, reading_ms: float | None, sent_at: float) -> None:
        """Apply a reading received now; None if the answer had none."""
        if reading_ms is None:
            return
        self._reading_ms = reading_ms
        self._sent_at = sent_at
        self._received_at = self._clock.now()

    def latest_reading(self, time_ms: float) -> float:
        """Return an upper bound of the store's clock at ``time_ms``."""
        assert self._reading_ms is not None, 'a reading is known'
        return self._reading_ms + max(0, time_ms - self._sent_at) * _MAX_RATE

    def shown_at(self, reading_ms: float) -> float:
        """Return a time by which the store's clock showed a reading.

        It may be in the past, other than that of ``passed_at``.
        """
        assert self._reading_ms is not None, 'a reading is known'
        age_ms = self._reading_ms - reading_ms
        if age_ms < 0:
            return self.passed_at(reading_ms)
        return self._received_at - age_ms / _MAX_RATE

    def passed_at(self, reading_ms: float) -> float:
        """Return a time by which the store's clock has passed a reading."""
        assert self._reading_ms is not None, 'a reading is known'
        left_ms = max(0, reading_ms - self._reading_ms)
        return self._received_at + left_ms * _MAX_RATE
