"""Entries tell each other of a newer configuration, and pass it on.

Answers two patterns. The store ignores some entries while it serves the
others; and the store's own answer, which holds the whole configuration, needs
seconds on a narrow link. Each entry that has a newer configuration says so to
all others. One that does not get it from the store meanwhile asks a holder
for it, packed, part by part: each part is waited for by itself, so that no
time limit depends on how long the configuration is.
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
    GatheredParts,
    PackedConfiguration,
    StoredConfiguration,
    MalformedPartsError,
)
from hyssopring.logs import Event, log_event

__all__ = ('SharedConfiguration',)

# The store's answer reaches an entry with a wide link within some 0.1 s: only
# the others ask their peers.
_LEAVE_TO_STORE_S: Final = 0.25
# A part is some 0.13 s under way on a link of 5 Mbit/s beside the store's
# answer. A holder that sends none for so long is passed over.
_SILENT_HOLDER_S: Final = 0.4
# Before the first one; the store's versions begin above it.
_NO_VERSION: Final = -1


class SharedConfiguration:
    """The newest configuration that this entry has, and who has a newer one."""

    def __init__(self, reactor: Any, peers: RelayPeers) -> None:
        """Set ``on_stored`` before any message is taken."""
        self._reactor = reactor
        self._peers = peers
        self.on_stored: Callable[[StoredConfiguration], None] = _ignore
        self._version = _NO_VERSION
        self._stored = StoredConfiguration('', 0)
        self._packed: PackedConfiguration | None = None
        self._wanted = _NO_VERSION
        self._holders: list[str] = []
        self._asked = ''
        self._gathered: GatheredParts | None = None
        self._timer: Any = None

    def applied(self, version: int, stored: StoredConfiguration) -> None:
        """A configuration is in force here: tell the other entries."""
        if version <= self._version:
            return
        self._version = version
        self._stored = stored
        self._packed = None
        for entry_id in self._peers.connected_entries:
            self._peers.to_entry(entry_id, ConfigurationNotice(version))

    def greeted(self, entry_id: str) -> None:
        """Another entry has opened a connection: it may have started now."""
        if self._version > _NO_VERSION:
            self._peers.answer(entry_id, ConfigurationNotice(self._version))

    @singledispatchmethod
    def handle_message(self, message: JobsMessage, entry_id: str) -> None:
        """Take another entry's message about a configuration."""
        raise TypeError(type(message).__name__)

    @handle_message.register
    def _take_notice(
        self,
        message: ConfigurationNotice,
        entry_id: str,
    ) -> None:
        if message.version <= max(self._version, self._wanted - 1):
            return
        if message.version > self._wanted:
            self._wanted = message.version
            self._holders = []
        self._holders.append(entry_id)
        if self._timer is None:
            self._wait(_LEAVE_TO_STORE_S)

    @handle_message.register
    def _take_question(
        self,
        message: ConfigurationRequest,
        entry_id: str,
    ) -> None:
        if self._version < message.version:
            return
        if message.part == WHOLE:
            self._send(entry_id, ConfigurationText(self._stored.text))
            return
        part = self._packed_now().message(message.part)
        if part is not None:
            self._send(entry_id, part)

    @handle_message.register
    def _take_text(self, message: ConfigurationText, entry_id: str) -> None:
        self.on_stored(StoredConfiguration(message.text, 0))

    @handle_message.register
    def _take_part(self, message: ConfigurationPart, entry_id: str) -> None:
        if entry_id != self._asked or message.version <= self._version:
            return
        try:
            self._gather(message)
        except MalformedPartsError as error:
            log_event(Event.PEER_ERROR, peer=entry_id, detail=str(error))
            self._ask_next()

    def _gather(self, message: ConfigurationPart) -> None:
        """Take a part, and ask for the next one of the same version."""
        gathered = self._gathered
        if gathered is None or gathered.version != message.version:
            # The holder has taken a newer version: its parts from the first.
            gathered = GatheredParts(message)
            self._gathered = gathered
        elif message.part != gathered.next_number:
            return
        gathered.add(message)
        if not gathered.is_whole:
            self._ask(gathered.version, gathered.next_number)
            return
        self._gathered = None
        self.on_stored(gathered.stored())
        if gathered.version < self._wanted:
            self._ask_next()

    def _ask_next(self) -> None:
        """Ask one holder after the other until the configuration is here."""
        self._gathered = None
        self._asked = ''
        self._stop_waiting()
        if self._version >= self._wanted or not self._holders:
            return
        self._asked = self._holders.pop(0)
        log_event(
            Event.CONFIGURATION_ASKED,
            version=self._wanted,
            peer=self._asked,
        )
        self._ask(self._wanted, 0)

    def _ask(self, version: int, part: int) -> None:
        self._send(self._asked, ConfigurationRequest(version, part))
        self._wait(_SILENT_HOLDER_S)

    def _wait(self, seconds: float) -> None:
        self._stop_waiting()
        self._timer = self._reactor.callLater(seconds, self._ask_next)

    def _stop_waiting(self) -> None:
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._timer = None

    def _packed_now(self) -> PackedConfiguration:
        """Return what is in force, packed once a version."""
        if self._packed is None:
            self._packed = PackedConfiguration.from_stored(
                self._version,
                self._stored,
            )
        return self._packed

    def _send(self, entry_id: str, message: JobsMessage) -> None:
        """Write on the connection that the peer has opened, or on the own."""
        if not self._peers.answer(entry_id, message):
            self._peers.to_entry(entry_id, message)


def _ignore(_stored: StoredConfiguration) -> None:
    """Nobody reads configurations yet."""
