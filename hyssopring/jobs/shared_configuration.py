"""Distribution of a new configuration between entries.

Covers two faults: the store ignores some entries while it serves the others;
and the store's response, which holds the whole configuration, takes seconds
on a narrow link. An entry that applies a new configuration announces its
version to all others. An entry that does not get it from the store in the
meantime requests it from one that has it, compressed and in parts. Each part
has its own timeout, so that no timeout depends on the configuration's length.
"""

from functools import singledispatchmethod
from typing import Any, Callable, Final

from hyssopring.jobs.configuration_messages import (
    WHOLE,
    ConfigurationNotice,
    ConfigurationPart,
    ConfigurationRequest,
    ConfigurationText,
)
from hyssopring.jobs.messages import JobsMessage
from hyssopring.jobs.relay import RelayPeers
from hyssopring.jobs.stored_configuration import (
    MalformedPartsError,
    PackedConfiguration,
    ReceivedParts,
    StoredConfiguration,
)
from hyssopring.logs import Event, log_event

__all__ = ('SharedConfiguration',)

# Time for the store's own response, which takes about 0.1 s on a wide link,
# so that only entries on narrow links ask their peers.
_STORE_GRACE_S: Final = 0.25
# A part takes about 0.13 s on a link of 5 Mbit/s that also carries the store's
# response.
_PART_TIMEOUT_S: Final = 0.4
# Lower than every version of a configuration.
_NO_VERSION: Final = -1


class SharedConfiguration:
    """Shares this entry's configuration and fetches newer ones from peers.

    Attributes:
        on_stored: Called with each configuration that a peer has sent.
    """

    def __init__(self, reactor: Any, peers: RelayPeers) -> None:
        """Start without a configuration; set ``on_stored`` next."""
        self._reactor = reactor
        self._peers = peers
        self.on_stored: Callable[[StoredConfiguration], None] = _ignore
        self._version = _NO_VERSION
        self._stored = StoredConfiguration('', 0)
        self._packed_configuration: PackedConfiguration | None = None
        self._wanted_version = _NO_VERSION
        self._untried_holders: list[str] = []
        self._current_holder = ''
        self._received_parts: ReceivedParts | None = None
        self._timer: Any = None

    def announce(self, version: int, stored: StoredConfiguration) -> None:
        """Announce a configuration that has come into force here."""
        if version <= self._version:
            return
        self._version = version
        self._stored = stored
        self._packed_configuration = None
        for entry_id in self._peers.connected_entries:
            self._peers.send_to_entry(entry_id, ConfigurationNotice(version))

    def announce_to(self, entry_id: str) -> None:
        """Announce the version to an entry that has opened a connection.

        The entry may have just started.
        """
        if self._version > _NO_VERSION:
            self._peers.send_response(
                entry_id, ConfigurationNotice(self._version)
            )

    @singledispatchmethod
    def handle_message(self, message: JobsMessage, entry_id: str) -> None:
        """Handle another entry's message about a configuration."""
        raise TypeError(type(message).__name__)

    @handle_message.register
    def _handle_notice(
        self,
        message: ConfigurationNotice,
        entry_id: str,
    ) -> None:
        if message.version <= max(self._version, self._wanted_version - 1):
            return
        if message.version > self._wanted_version:
            self._wanted_version = message.version
            self._untried_holders = []
        self._untried_holders.append(entry_id)
        if self._timer is None:
            self._start_timer(_STORE_GRACE_S)

    @handle_message.register
    def _handle_request(
        self,
        message: ConfigurationRequest,
        entry_id: str,
    ) -> None:
        if self._version < message.version:
            return
        if message.part == WHOLE:
            self._send(entry_id, ConfigurationText(self._stored.text))
            return
        part = self._pack_once().message(message.part)
        if part is not None:
            self._send(entry_id, part)

    @handle_message.register
    def _handle_text(self, message: ConfigurationText, entry_id: str) -> None:
        self.on_stored(StoredConfiguration(message.text, 0))

    @handle_message.register
    def _handle_part(self, message: ConfigurationPart, entry_id: str) -> None:
        if entry_id != self._current_holder or message.version <= self._version:
            return
        try:
            self._add_part(message)
        except MalformedPartsError as error:
            log_event(Event.PEER_ERROR, peer=entry_id, detail=str(error))
            self._request_from_next_holder()

    def _add_part(self, message: ConfigurationPart) -> None:
        """Store a part and request the next one of the same version."""
        received = self._received_parts
        if received is None or received.version != message.version:
            # The holder has a newer version now: start with its first part.
            received = ReceivedParts(message)
            self._received_parts = received
        elif message.part != received.next_number:
            return
        received.add(message)
        if not received.is_complete:
            self._request_part(received.version, received.next_number)
            return
        self._received_parts = None
        self.on_stored(received.stored())
        if received.version < self._wanted_version:
            self._request_from_next_holder()

    def _request_from_next_holder(self) -> None:
        """Request the configuration from the next holder, if still needed."""
        self._received_parts = None
        self._current_holder = ''
        self._stop_timer()
        if self._version >= self._wanted_version or not self._untried_holders:
            return
        self._current_holder = self._untried_holders.pop(0)
        log_event(
            Event.CONFIGURATION_ASKED,
            version=self._wanted_version,
            peer=self._current_holder,
        )
        self._request_part(self._wanted_version, 0)

    def _request_part(self, version: int, part: int) -> None:
        self._send(self._current_holder, ConfigurationRequest(version, part))
        self._start_timer(_PART_TIMEOUT_S)

    def _start_timer(self, timeout_s: float) -> None:
        self._stop_timer()
        self._timer = self._reactor.callLater(
            timeout_s, self._request_from_next_holder
        )

    def _stop_timer(self) -> None:
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._timer = None

    def _pack_once(self) -> PackedConfiguration:
        """Return the configuration in force; compress it once a version."""
        if self._packed_configuration is None:
            self._packed_configuration = PackedConfiguration.from_stored(
                self._version,
                self._stored,
            )
        return self._packed_configuration

    def _send(self, entry_id: str, message: JobsMessage) -> None:
        """Send on the peer's connection to this entry, or on this entry's."""
        if not self._peers.send_response(entry_id, message):
            self._peers.send_to_entry(entry_id, message)


def _ignore(_stored: StoredConfiguration) -> None:
    """Default of ``on_stored``."""
