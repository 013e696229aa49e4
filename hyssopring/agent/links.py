"""The agent's connections to entries (Twisted shell).

The core's directory says whom to dial and when; this module owns the sockets.
"""

from functools import singledispatchmethod
from typing import Any

from twisted.internet.endpoints import HostnameEndpoint
from twisted.internet.protocol import Factory

from hyssopring.addresses import parse_address
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


class _Link(Factory):
    """One connection to one address, from dialling to its end."""

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
            self._opened,
            self._received,
            self._broken,
            self._closed,
            self.owner.traffic,
        )

    def dial(self) -> None:
        host, port = parse_address(self.address)
        endpoint = HostnameEndpoint(
            self.owner.reactor,
            host,
            port,
            timeout=_CONNECT_TIMEOUT_S,
        )
        endpoint.connect(self).addErrback(self._failed)

    def check_silence(self, now: float) -> None:
        if self.connection is None:
            return
        limit = self.owner.core.sessions.silence_timeout_ms(self.entry_id)
        if now - self.connection.last_received_at > limit:
            log_event(Event.CONNECTION_SILENT, entry=self.address)
            self.connection.abort()

    def _opened(self, connection: InnerConnection) -> None:
        self.connection = connection

    def _received(self, connection: InnerConnection, message: Message) -> None:
        self._take(message, connection)

    @singledispatchmethod
    def _take(self, message: Message, connection: InnerConnection) -> None:
        # What still arrives after a newer connection took this one's place
        # belongs to an older generation.
        if self.entry_id and self.owner.is_current(self):
            self.owner.core.on_message(message, self.entry_id)

    @_take.register
    def _take_challenge(
        self,
        message: Challenge,
        connection: InnerConnection,
    ) -> None:
        core = self.owner.core
        if not core.directory.greets(self.address, message.entry_id):
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

    @_take.register
    def _take_welcome(
        self,
        message: Welcome,
        connection: InnerConnection,
    ) -> None:
        self.entry_id = message.entry_id
        self.owner.welcomed(self)

    @_take.register
    def _take_refusal(
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

    def _broken(self, connection: InnerConnection, detail: str) -> None:
        log_event(Event.PEER_ERROR, entry=self.address, detail=detail)
        connection.abort()

    def _closed(self, connection: InnerConnection) -> None:
        self.owner.closed(self)

    def _failed(self, _reason: Any) -> None:
        self.owner.closed(self)


class EntryLinks:
    """Dials the entries that the directory wants, and carries messages."""

    def __init__(self, reactor: Any, clock: Clock, secret: str) -> None:
        """Attach the core before dialling."""
        self.reactor = reactor
        self.clock = clock
        self.secret = secret
        self.traffic = Traffic()
        self._core: AgentCore | None = None
        self._open_links: set[_Link] = set()
        self._link_by_entry: dict[str, _Link] = {}

    @property
    def core(self) -> AgentCore:
        """The core that takes the messages."""
        assert self._core is not None, 'attach the core first'
        return self._core

    @property
    def connected(self) -> int:
        """How many entries are connected."""
        return len(self._link_by_entry)

    def attach(self, core: AgentCore) -> None:
        """Give messages to this core."""
        self._core = core

    def dial(self) -> None:
        """Dial what is due, leave what is not needed; call often."""
        for address in self.core.directory.due():
            link = _Link(self, address)
            self._open_links.add(link)
            link.dial()
        for entry_id in self.core.to_leave():
            link = self._link_by_entry[entry_id]
            if link.connection is not None:
                link.connection.close()

    def send(self, entry_id: str, message: Message) -> bool:
        """Write a message; False if the entry is not connected."""
        link = self._link_by_entry.get(entry_id)
        if link is None or link.connection is None:
            return False
        link.connection.send(message)
        return True

    def broadcast(self, message: Message) -> None:
        """Write a message to every connected entry."""
        for entry_id in list(self._link_by_entry):
            self.send(entry_id, message)

    def check_silence(self) -> None:
        """Abort connections on which nothing was heard for too long."""
        now = self.clock.now()
        for link in list(self._open_links):
            link.check_silence(now)

    def is_current(self, link: _Link) -> bool:
        """Whether this is the newest connection to its entry."""
        return self._link_by_entry.get(link.entry_id) is link

    def welcomed(self, link: _Link) -> None:
        """An entry has accepted this agent."""
        older = self._link_by_entry.get(link.entry_id)
        self._link_by_entry[link.entry_id] = link
        if older is not None and older.connection is not None:
            older.connection.abort()
            self.core.on_disconnected(link.entry_id)
        self.core.directory.opened(link.address, link.entry_id)
        self.core.on_connected(link.entry_id)

    def closed(self, link: _Link) -> None:
        """A connection is gone, or could not be made."""
        if link not in self._open_links:
            return
        self._open_links.discard(link)
        directory = self.core.directory
        if link.is_skipped:
            directory.skipped(link.address)
        elif not link.entry_id:
            directory.closed(link.address, link.is_refused)
        elif self.is_current(link):
            self._link_by_entry.pop(link.entry_id)
            directory.lost(link.entry_id)
            self.core.on_disconnected(link.entry_id)
