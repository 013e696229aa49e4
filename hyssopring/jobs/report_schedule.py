"""When an agent sends its regular reports to the entries."""

from dataclasses import dataclass
from typing import Callable, Container, Final

from hyssopring.clock import Clock
from hyssopring.jobs.messages import SPACED_REPORTS_RELEASE
from hyssopring.jobs.times import REPORT_INTERVAL_MS, spaced_interval_ms

__all__ = ('ReportSchedule',)

# Reports to entries without a shard wait for each other this long at most.
_MAX_INTERVAL_MS: Final = 5000.0


@dataclass(slots=True)
class _LastReport:
    """When a report was sent, and the interval that it announced."""

    sent_at: float
    interval_ms: float


class ReportSchedule:
    """The times of the regular reports to each connected entry.

    Owners of shards need frequent reports. To the other entries a report only
    shows that the agent runs, so these intervals grow with the number of
    entries: the cost of an agent's reports would otherwise be in proportion to
    it, and that of all reports to the product of agents and entries.
    """

    def __init__(self, clock: Clock, release_of: Callable[[str], int]) -> None:
        """Start without entries.

        Args:
            clock: Times the reports.
            release_of: Returns the ``EntryGreeting.release`` of an entry.
        """
        self._clock = clock
        self._release_of = release_of
        self._last_by_entry: dict[str, _LastReport] = {}
        self._owners: Container[str] = ()
        self._is_settled = False

    @property
    def entries(self) -> list[str]:
        """The entries that get reports."""
        return list(self._last_by_entry)

    def remove(self, entry_id: str) -> None:
        """Stop the reports to an entry."""
        self._last_by_entry.pop(entry_id, None)

    def due_entries(
        self, owners: Container[str], *, is_settled: bool
    ) -> list[str]:
        """Return the entries whose regular report is due.

        Args:
            owners: The owners of shards, as far as known.
            is_settled: Whether an owner grants leases and the worker responds.
                Otherwise any entry may soon be an owner and need what this
                agent knows, and all reports are frequent.
        """
        self._owners = owners
        self._is_settled = is_settled
        now_ms = self._clock.now()
        return [
            entry_id
            for entry_id, last in self._last_by_entry.items()
            if now_ms - last.sent_at
            >= (
                REPORT_INTERVAL_MS
                if not is_settled or entry_id in owners
                else last.interval_ms
            )
        ]

    def record_report(self, entry_id: str) -> float:
        """Record a report that is sent now.

        Returns:
            The time in ms until the next regular one, which the report
            announces.
        """
        interval_ms = self._interval_ms(entry_id)
        self._last_by_entry[entry_id] = _LastReport(
            self._clock.now(), interval_ms
        )
        return interval_ms

    def _interval_ms(self, entry_id: str) -> float:
        if (
            not self._is_settled
            or entry_id in self._owners
            or self._release_of(entry_id) < SPACED_REPORTS_RELEASE
        ):
            return REPORT_INTERVAL_MS
        return spaced_interval_ms(len(self._last_by_entry), _MAX_INTERVAL_MS)
