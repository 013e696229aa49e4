"""The agent's connections to entries (Twisted shell).

The core's directory decides which entries to dial and when; this module owns
the sockets.
"""

from functools import singledispatchmethod
from typing import Any

from twisted.internet.endpoints import HostnameEndpoint
from twisted.internet.protocol import Factory

from hyssopring.addresses import is_address, parse_address
from hyssopring.agent.core import AgentCore
from hyssopring.clock import Clock
from hyssopring.logs import Event, log_event
from hyssopring.protocol.connection import InnerConnection, Traffic, prove
from hyssopring.protocol.messages import (
    Challenge,
    Message,
    Refusal,
    Welcome,
)

__all__ = ('EntryLinks',)

_CONNECT_TIMEOUT_S = 2
_MAX_LOGGED_ADDRESSES = 100


class _Link(Factory):
    """One connection to one address, from dialling to its close.

    Attributes:
        entry_id: The entry that accepted the agent; empty before that.
        is_refused: Whether the entry has refused the agent.
        is_skipped: Whether the agent closed it, as the directory needs no
            connection to that entry.
    """

    noisy = False

    def __init__(self, owner: 'EntryLinks', address: str) -> None:
        self.owner = owner
        self.address = address
        self.connection: InnerConnection | None = None
        self.entry_id = ''
        self.is_refused = False
        self.is_skipped = False

    def buildProtocol(self, addr: object) -> InnerConnection:
        return InnerConnection(
            self.owner.clock,
            self._on_opened,
            self._on_received,
            self._on_protocol_error,
            self._on_closed,
            self.owner.traffic,
        )

    def dial(self) -> None:
        if not is_address(self.address):
            # Entries list what their rows in the table service hold.
            self.owner.log_invalid_address(self.address)
            self._on_connect_failed(None)
            return
        host, port = parse_address(self.address)
        endpoint = HostnameEndpoint(
            self.owner.reactor,
            host,
            port,
            timeout=_CONNECT_TIMEOUT_S,
        )
        endpoint.connect(self).addErrback(self._on_connect_failed)

    def abort_if_silent(self, now_ms: float) -> None:
        if self.connection is None:
            return
        timeout_ms = self.owner.core.sessions.silence_timeout_ms(self.entry_id)
        if now_ms - self.connection.last_received_at > timeout_ms:
            log_event(Event.CONNECTION_SILENT, entry=self.address)
            self.connection.abort()

    def _on_opened(self, connection: InnerConnection) -> None:
        self.connection = connection

    def _on_received(
        self, connection: InnerConnection, message: Message
    ) -> None:
        self._on_message(message, connection)

    @singledispatchmethod
    def _on_message(
        self, message: Message, connection: InnerConnection
    ) -> None:
        # Messages that arrive on a connection after a newer one has replaced
        # it are outdated.
        if self.entry_id and self.owner.is_current(self):
            self.owner.core.on_message(message, self.entry_id)

    @_on_message.register
    def _on_challenge(
        self,
        message: Challenge,
        connection: InnerConnection,
    ) -> None:
        core = self.owner.core
        if not core.directory.should_connect(self.address, message.entry_id):
            self.is_skipped = True
            connection.close()
            return
        proof = prove(
            self.owner.secret,
            message.nonce,
            core.identity.agent_id,
        )
        connection.send(
            core.identity.hello(proof, core.configuration.version),
        )

    @_on_message.register
    def _on_welcome(
        self,
        message: Welcome,
        connection: InnerConnection,
    ) -> None:
        self.entry_id = message.entry_id
        self.owner.on_welcome(self)

    @_on_message.register
    def _on_refusal(
        self,
        message: Refusal,
        connection: InnerConnection,
    ) -> None:
        self.is_refused = True
        log_event(
            Event.PEER_ERROR,
            entry=self.address,
            kind=message.kind,
            detail=message.detail,
        )

    def _on_protocol_error(
        self, connection: InnerConnection, detail: str
    ) -> None:
        log_event(Event.PEER_ERROR, entry=self.address, detail=detail)
        connection.abort()

    def _on_closed(self, connection: InnerConnection) -> None:
        self.owner.on_closed(self)

    def _on_connect_failed(self, _reason: Any) -> None:
        self.owner.on_closed(self)


class EntryLinks:
    """Dials the entries that the directory selects, and passes messages."""

    def __init__(self, reactor: Any, clock: Clock, secret: str) -> None:
        """Start without connections; attach the core before dialling."""
        self.reactor = reactor
        self.clock = clock
        self.secret = secret
        self.traffic = Traffic()
        self._core: AgentCore | None = None
        self._open_links: set[_Link] = set()
        self._logged_addresses: set[str] = set()
        self._link_by_entry: dict[str, _Link] = {}

    @property
    def core(self) -> AgentCore:
        """The core that handles the messages."""
        assert self._core is not None, 'attach the core first'
        return self._core

    @property
    def connected(self) -> int:
        """The number of connected entries."""
        return len(self._link_by_entry)

    def attach(self, core: AgentCore) -> None:
        """Pass messages to this core."""
        self._core = core

    def dial(self) -> None:
        """Dial entries that are due, close unneeded connections; call often."""
        for address in self.core.directory.claim_due_addresses():
            link = _Link(self, address)
            self._open_links.add(link)
            link.dial()
        for entry_id in self.core.leave_surplus_entries():
            link = self._link_by_entry[entry_id]
            if link.connection is not None:
                link.connection.close()

    def send(self, entry_id: str, message: Message) -> bool:
        """Send a message; return False if the entry is not connected."""
        link = self._link_by_entry.get(entry_id)
        if link is None or link.connection is None:
            return False
        link.connection.send(message)
        return True

    def broadcast(self, message: Message) -> None:
        """Send a message to every connected entry."""
        for entry_id in list(self._link_by_entry):
            self.send(entry_id, message)

    def close_silent_connections(self) -> None:
        """Abort connections on which nothing was received for too long."""
        now_ms = self.clock.now()
        for link in list(self._open_links):
            link.abort_if_silent(now_ms)

    def is_current(self, link: _Link) -> bool:
        """Whether this is the newest connection to its entry."""
        return self._link_by_entry.get(link.entry_id) is link

    def on_welcome(self, link: _Link) -> None:
        """Use a connection whose entry has accepted this agent."""
        older = self._link_by_entry.get(link.entry_id)
        self._link_by_entry[link.entry_id] = link
        if older is not None and older.connection is not None:
            older.connection.abort()
            self.core.on_disconnected(link.entry_id)
        self.core.directory.opened(link.address, link.entry_id)
        self.core.on_connected(link.entry_id)

    def log_invalid_address(self, address: str) -> None:
        """Log an address that cannot be dialled, once."""
        logged = self._logged_addresses
        if address not in logged and len(logged) < _MAX_LOGGED_ADDRESSES:
            logged.add(address)
            detail = 'invalid address: not host:port'
            log_event(Event.PEER_ERROR, entry=address, detail=detail)

    def on_closed(self, link: _Link) -> None:
        """Remove a connection that was closed or could not be made."""
        if link not in self._open_links:
            return
        self._open_links.discard(link)
        directory = self.core.directory
        if link.is_skipped:
            directory.record_skipped(link.address)
        elif not link.entry_id:
            directory.closed(link.address, link.is_refused)
        elif self.is_current(link):
            self._link_by_entry.pop(link.entry_id)
            directory.record_lost(link.entry_id)
            self.core.on_disconnected(link.entry_id)
