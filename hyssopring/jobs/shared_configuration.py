"""Entries tell each other of a newer configuration.

Answers the pattern of a store that ignores some entries while it serves the
others: an entry notices that after two seconds, and the peer that it asks to
read for it may be ignored as well. Each entry that has a newer configuration
says so to all others, and one that does not get it from the store meanwhile
asks for the text.
"""

from functools import singledispatchmethod
from typing import Any, Callable, Final

from hyssopring.jobs.messages import (
    ConfigurationNotice,
    ConfigurationQuestion,
    ConfigurationText,
    JobsMessage,
)
from hyssopring.jobs.relay import RelayPeers
from hyssopring.logs import Event, log_event

__all__ = ('SharedConfiguration',)

# The store tells each entry that it serves within some 20 ms: texts are sent
# only where it does not, as a configuration of many routes takes 0.2 s of a
# link of 10 Mbit/s.
_LEAVE_TO_STORE_S: Final = 0.25
# A holder that has not answered by then is passed over for the next one.
_ASK_NEXT_S: Final = 0.4
# Before the first one; the store's versions begin above it.
_NO_VERSION: Final = -1


class SharedConfiguration:
    """The newest configuration that this entry has, and who has a newer one."""

    def __init__(self, reactor: Any, peers: RelayPeers) -> None:
        """Set ``on_text`` before any message is taken."""
        self._reactor = reactor
        self._peers = peers
        self.on_text: Callable[[str], None] = _ignore
        self._version = _NO_VERSION
        self._text = ''
        self._wanted = _NO_VERSION
        self._holders: list[str] = []
        self._is_asking = False

    def applied(self, version: int, text: str) -> None:
        """A configuration is in force here: tell the other entries."""
        if version <= self._version:
            return
        self._version = version
        self._text = text
        for entry_id in self._peers.connected_entries:
            self._peers.to_entry(entry_id, ConfigurationNotice(version))

    def greeted(self, entry_id: str) -> None:
        """Another entry has opened a connection: it may have started now."""
        if self._version > _NO_VERSION:
            self._peers.answer(entry_id, ConfigurationNotice(self._version))

    @singledispatchmethod
    def take(self, message: JobsMessage, entry_id: str) -> None:
        """Take another entry's message about a configuration."""
        raise TypeError(type(message).__name__)

    @take.register
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
        if not self._is_asking:
            self._is_asking = True
            self._reactor.callLater(_LEAVE_TO_STORE_S, self._ask)

    @take.register
    def _take_question(
        self,
        message: ConfigurationQuestion,
        entry_id: str,
    ) -> None:
        if self._version >= message.version:
            self._send(entry_id, ConfigurationText(self._text))

    @take.register
    def _take_text(self, message: ConfigurationText, entry_id: str) -> None:
        self.on_text(message.text)

    def _ask(self) -> None:
        """Ask one holder after the other until the configuration is here."""
        if self._version >= self._wanted or not self._holders:
            self._is_asking = False
            return
        holder = self._holders.pop(0)
        log_event(
            Event.CONFIGURATION_ASKED,
            version=self._wanted,
            peer=holder,
        )
        self._send(holder, ConfigurationQuestion(self._wanted))
        self._reactor.callLater(_ASK_NEXT_S, self._ask)

    def _send(self, entry_id: str, message: JobsMessage) -> None:
        """Write on the connection that the peer has opened, or on the own."""
        if not self._peers.answer(entry_id, message):
            self._peers.to_entry(entry_id, message)


def _ignore(_text: str) -> None:
    """Nobody reads configurations yet."""
