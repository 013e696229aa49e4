"""The progress of one attempt, from what its agent reports."""

from dataclasses import dataclass
from typing import Final

__all__ = ('REPORT_LAG_MS', 'Progress')

# A reported percentage may be this old: an agent polls its worker and reports
# to the owner each 500 ms.
REPORT_LAG_MS: Final = 1000.0
# Progress is measured over at least this time, so that the age of the
# percentages changes the result by half at most.
_WINDOW_MS: Final = 1000.0
# Without any progress for this long, the measurement begins with the attempt.
_STUCK_MS: Final = 2000.0
_ALL_PERCENT: Final = 100
# Percentages are whole numbers: no progress means less than one percent.
_HALF_PERCENT: Final = 0.5


@dataclass(slots=True)
class Progress:
    """How far an attempt has come, and how fast.

    Time at a reduced pace counts in proportion.

    Attributes:
        updated_at_ms: When it was last updated.
        run_ms: How long it has run, as far as this owner has seen.
        first_percent: The percentage in the first report; not 0 for an
            attempt that resumed from a checkpoint or was found running.
        percent: The percentage in the last report.
        reported_at_ms: When the last report arrived.
        reported_run_ms: ``run_ms`` at the last report.
        percent_per_ms: Speed over the last measured window; None if unknown.
    """

    updated_at_ms: float
    first_percent: int
    percent: int
    run_ms: float = 0
    reported_at_ms: float = 0
    reported_run_ms: float = 0
    percent_per_ms: float | None = None
    _window_run_ms: float | None = None
    _window_percent: int = 0

    def update(
        self,
        now_ms: float,
        reported_at_ms: float,
        percent: int,
        pace_share: float,
    ) -> None:
        """Apply the newest report.

        Args:
            reported_at_ms: When that report arrived.
            pace_share: The share of its processor time that it may use.
        """
        self.run_ms += (now_ms - self.updated_at_ms) * pace_share
        self.updated_at_ms = now_ms
        if reported_at_ms <= self.reported_at_ms:
            return
        age_ms = (now_ms - reported_at_ms) * pace_share
        self.reported_at_ms = reported_at_ms
        self.reported_run_ms = max(0, self.run_ms - age_ms)
        self.percent = percent
        self._measure()

    @property
    def shows_progress(self) -> bool:
        """Whether its percentage has ever increased."""
        return self.percent > self.first_percent

    @property
    def done_share(self) -> float:
        """The share of its own work, since the first report, that is done."""
        own_percent = _ALL_PERCENT - self.first_percent
        if own_percent <= 0:
            return 1
        return max(0, self.percent - self.first_percent) / own_percent

    @property
    def own_share(self) -> float:
        """The share of the whole task that is its own work."""
        return max(1, _ALL_PERCENT - self.first_percent) / _ALL_PERCENT

    @property
    def measured_at_ms(self) -> float | None:
        """Return ``run_ms`` at the end of the measured window, if any."""
        return None if self.percent_per_ms is None else self._window_run_ms

    @property
    def full_ms(self) -> float | None:
        """Return how long the whole task takes at its speed, None if unknown.

        Without progress in the last window it is a lower bound.
        """
        if self.percent_per_ms is None:
            return None
        return _ALL_PERCENT / self.percent_per_ms

    def full_ms_at_end(self, ended_at_ms: float) -> float:
        """Return how long the whole task takes, given when it was done."""
        after_ms = min(0, ended_at_ms - self.updated_at_ms)
        return max(1, self.run_ms + after_ms) / self.own_share

    def _measure(self) -> None:
        """Measure the speed since the window began, and begin the next one.

        The first window begins when progress is first seen: that percentage
        is as old as those of later reports are, unlike the 0 of the start.
        """
        if self._window_run_ms is None:
            if self.shows_progress:
                self._begin_window()
            elif self.reported_run_ms >= _STUCK_MS:
                self._window_run_ms = 0
                self._window_percent = self.percent
            return
        length_ms = self.reported_run_ms - self._window_run_ms
        if length_ms >= _WINDOW_MS:
            gained = self.percent - self._window_percent
            self.percent_per_ms = max(gained, _HALF_PERCENT) / length_ms
            self._begin_window()

    def _begin_window(self) -> None:
        self._window_run_ms = self.reported_run_ms
        self._window_percent = self.percent
