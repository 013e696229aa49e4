"""Whether an agent's own availability zone is evacuated."""

from typing import Callable

from hyssopring.clock import Clock
from hyssopring.jobs.evacuation_messages import EvacuationNotice
from hyssopring.jobs.evacuations import EvacuationChange, Evacuations
from hyssopring.logs import Event, log_event

__all__ = ('OwnZone',)


class OwnZone:
    """Keeps what the entries tell an agent of evacuated zones.

    Attributes:
        evacuations: The evacuated zones as far as this agent knows.
    """

    def __init__(
        self,
        clock: Clock,
        zone: str,
        send: Callable[[str, EvacuationNotice], None],
    ) -> None:
        """Start without any knowledge of evacuations.

        Args:
            send: Sends a message to the entry of the given ID.
        """
        self.evacuations = Evacuations(clock)
        self._zone = zone
        self._send = send

    @property
    def is_evacuated(self) -> bool:
        """Whether no task may start on the agent's worker."""
        return self._zone in self.evacuations.zones

    def announce_to(self, entry_id: str) -> None:
        """Tell an entry which zones are evacuated.

        An entry that knows better responds with a newer notice.
        """
        if self.evacuations.zones:
            self._send(entry_id, self.evacuations.notice())

    def handle_notice(self, notice: EvacuationNotice, entry_id: str) -> None:
        """Apply an entry's notice, or correct the entry."""
        self._log(self.evacuations.apply(notice), entry_id)
        if self.evacuations.supersedes(notice):
            self._send(entry_id, self.evacuations.notice())

    def _log(self, change: EvacuationChange, entry_id: str) -> None:
        """Log the beginning and the end of the own zone's evacuation."""
        begun_age_ms = change.age_ms_by_begun.get(self._zone)
        if begun_age_ms is not None:
            log_event(
                Event.EVACUATION_IN_FORCE,
                zone=self._zone,
                version=change.version,
                source=entry_id,
                age_ms=begun_age_ms,
            )
        ended_age_ms = change.age_ms_by_ended.get(self._zone)
        if ended_age_ms is not None:
            log_event(
                Event.EVACUATION_ENDED,
                zone=self._zone,
                version=change.version,
                source=entry_id,
                age_ms=ended_age_ms,
            )
