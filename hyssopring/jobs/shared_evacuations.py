"""Shares which availability zones are evacuated with entries and agents.

The store may reject an entry that owns shards while an operator evacuates a
zone. Each entry therefore tells all others, and all agents, of a change. An
agent refuses starts in its own evacuated zone, also those of an owner that
does not know of the evacuation yet.
"""

from typing import Callable, Final, Iterable

from hyssopring.clock import Clock
from hyssopring.jobs.evacuation_messages import EvacuationNotice
from hyssopring.jobs.evacuations import EvacuationChange, Evacuations
from hyssopring.jobs.relay import RelayPeers
from hyssopring.logs import Event, log_event

__all__ = ('SharedEvacuations',)

# Names the store as the source of a change in the log.
_STORE: Final = 'store'


class SharedEvacuations:
    """Keeps an entry's evacuated zones, and tells its peers of changes.

    Attributes:
        known: The evacuated zones as far as this entry knows.
    """

    def __init__(
        self,
        clock: Clock,
        peers: RelayPeers,
        connected_agents: Callable[[], list[str]],
    ) -> None:
        """Start without any knowledge of evacuations.

        Args:
            connected_agents: Returns the IDs of the connected agents.
        """
        self.known = Evacuations(clock)
        self._peers = peers
        self._connected_agents = connected_agents

    def apply_stored(self, version: int, zones: Iterable[str]) -> None:
        """Apply the zones that the store lists at a version."""
        change = self.known.update(version, dict.fromkeys(zones, 0))
        self._share(change, _STORE)

    def handle_notice(self, notice: EvacuationNotice, peer_id: str) -> None:
        """Apply the notice of an entry or agent, or correct its sender."""
        self._share(self.known.apply(notice), peer_id)
        if self.known.supersedes(notice):
            self._send(peer_id)

    def announce_to(self, peer_id: str) -> None:
        """Tell an entry or agent that has opened a connection.

        Nothing is sent if no zone is evacuated. A peer that believes otherwise
        says so and is corrected.
        """
        if self.known.zones:
            self._send(peer_id)

    def _share(self, change: EvacuationChange, source: str) -> None:
        if change.is_empty:
            return
        _log_change(change, source)
        notice = self.known.notice()
        for entry_id in self._peers.connected_entries:
            if entry_id != source:
                self._peers.send_to_entry(entry_id, notice)
        for agent_id in self._connected_agents():
            if agent_id != source:
                self._peers.send_response(agent_id, notice)

    def _send(self, peer_id: str) -> None:
        """Send on the peer's connection to this entry, or on this entry's."""
        notice = self.known.notice()
        if not self._peers.send_response(peer_id, notice):
            self._peers.send_to_entry(peer_id, notice)


def _log_change(change: EvacuationChange, source: str) -> None:
    for begun_zone, begun_age_ms in change.age_ms_by_begun.items():
        log_event(
            Event.EVACUATION_BEGUN,
            zone=begun_zone,
            version=change.version,
            source=source,
            age_ms=begun_age_ms,
        )
    for ended_zone, ended_age_ms in change.age_ms_by_ended.items():
        log_event(
            Event.EVACUATION_ENDED,
            zone=ended_zone,
            version=change.version,
            source=source,
            age_ms=ended_age_ms,
        )
