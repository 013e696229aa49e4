"""Bounds of the store's steady clock, by this process's own clock."""

from typing import Final

from hyssopring.clock import Clock
from hyssopring.jobs.times import CLOCK_DRIFT

__all__ = ('StoreClock',)

_FASTEST: Final = 1 + CLOCK_DRIFT


class StoreClock:
    """Translates between the store's clock and this process's.

    An answer's reading was taken at some moment between the call and its
    arrival. Each bound takes the moment and the drift that make a wait longer.
    """

    def __init__(self, clock: Clock) -> None:
        """Know no reading."""
        self._clock = clock
        self._reading_ms: float | None = None
        self._sent_at = clock.now()
        self._received_at = clock.now()

    @property
    def is_known(self) -> bool:
        """Whether a reading has come."""
        return self._reading_ms is not None

    def update(self, reading_ms: float | None, sent_at: float) -> None:
        """Take a reading that has arrived now; None if an answer had none."""
        if reading_ms is None:
            return
        self._reading_ms = reading_ms
        self._sent_at = sent_at
        self._received_at = self._clock.now()

    def latest_reading(self, at: float) -> float:
        """Return a reading that the store's clock has not passed at ``at``."""
        assert self._reading_ms is not None, 'a reading is known'
        return self._reading_ms + max(0, at - self._sent_at) * _FASTEST

    def passed_at(self, reading_ms: float) -> float:
        """Return a time by which the store's clock has passed a reading."""
        assert self._reading_ms is not None, 'a reading is known'
        left_ms = max(0, reading_ms - self._reading_ms)
        return self._received_at + left_ms * _FASTEST
