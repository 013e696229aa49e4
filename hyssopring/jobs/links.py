"""Connections that carry the messages about jobs (Twisted shell).

Agents and entries dial entries. The side that dials speaks first and regularly;
the entry answers each time. A connection on which nothing came for a while is
dropped: between the two something may have lost track of it.
"""

from typing import Any, Callable, Final, Iterable

from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.protocol import Factory

from hyssopring.addresses import is_address, parse_address
from hyssopring.clock import MILLIS_PER_SECOND, Clock
from hyssopring.jobs.messages import (
    AgentGreeting,
    EntryGreeting,
    JobsMessage,
    pack,
    unpack,
)
from hyssopring.jobs.stall_detector import StallDetector
from hyssopring.logs import Event, log_event
from hyssopring.protocol.frames import Codec, FramedConnection, Traffic

__all__ = ('LINK_TICK_INTERVAL_S', 'LinkDialler', 'LinkListener')

_CODEC: Final = Codec(pack, unpack)
_CONNECT_TIMEOUT_S: Final = 1
# The dialler speaks each half second; four missed answers are a lost link.
_SILENCE_MS: Final = 2000.0
_REDIAL_MS: Final = 300.0
_REDIAL_MAX_MS: Final = 1500.0

# So many odd addresses are logged, once each.
_MAX_ODD: Final = 100
_NEVER: Final = float('-inf')

Taken = Callable[[str, JobsMessage], None]


class _Peer:
    """One connection on the entry's side, named by its greeting."""

    def __init__(self, owner: 'LinkListener') -> None:
        self.owner = owner
        self.peer_id = ''
        self.connection: FramedConnection | None = None

    def opened(self, connection: FramedConnection) -> None:
        self.connection = connection

    def received(self, connection: FramedConnection, message: Any) -> None:
        if isinstance(message, AgentGreeting):
            self.peer_id = message.agent_id
            connection.send(EntryGreeting(self.owner.entry_id))
            self.owner.greeted(self, message)
        elif isinstance(message, EntryGreeting):
            self.peer_id = message.entry_id
            connection.send(EntryGreeting(self.owner.entry_id))
            self.owner.greeted(self, message)
        elif self.peer_id and self.owner.is_current(self):
            self.owner.on_message(self.peer_id, message)

    def broken(self, connection: FramedConnection, detail: str) -> None:
        log_event(Event.PEER_ERROR, peer=self.peer_id, detail=detail)
        connection.abort()

    def closed(self, _connection: FramedConnection) -> None:
        self.owner.closed(self)


class LinkListener(Factory):
    """The connections that others have opened to this entry."""

    noisy = False

    def __init__(
        self,
        clock: Clock,
        entry_id: str,
        on_greeting: Callable[[str, JobsMessage], None],
        on_message: Taken,
        on_close: Callable[[str], None],
    ) -> None:
        """Tell the owner of greetings, messages and ends, by peer."""
        self._clock = clock
        self.entry_id = entry_id
        self.on_message = on_message
        self._on_greeting = on_greeting
        self._on_close = on_close
        self.traffic = Traffic()
        self._stalls = StallDetector(clock)
        self._open: set[_Peer] = set()
        self._by_id: dict[str, _Peer] = {}

    def buildProtocol(self, addr: object) -> FramedConnection:
        """Take a new connection; it is nobody's before its greeting."""
        peer = _Peer(self)
        self._open.add(peer)
        return FramedConnection(
            _CODEC,
            self._clock,
            peer.opened,
            peer.received,
            peer.broken,
            peer.closed,
            self.traffic,
        )

    def send(self, peer_id: str, message: JobsMessage) -> bool:
        """Write a message; False if the peer has no connection."""
        peer = self._by_id.get(peer_id)
        if peer is None or peer.connection is None:
            return False
        peer.connection.send(message)
        return True

    def close_silent_connections(self) -> None:
        """Drop connections on which nothing came; call regularly."""
        if not self._stalls.record_tick():
            return
        limit = self._clock.now() - _SILENCE_MS
        for peer in list(self._open):
            connection = peer.connection
            if connection is not None and connection.last_received_at < limit:
                log_event(Event.CONNECTION_SILENT, peer=peer.peer_id)
                connection.abort()

    def is_current(self, peer: _Peer) -> bool:
        """Whether this is the newest connection of its peer."""
        return self._by_id.get(peer.peer_id) is peer

    def greeted(self, peer: _Peer, greeting: JobsMessage) -> None:
        """A connection has said whose it is; repeated greetings are pings."""
        older = self._by_id.get(peer.peer_id)
        if older is peer:
            return
        self._by_id[peer.peer_id] = peer
        if older is not None and older.connection is not None:
            older.connection.abort()
        self._on_greeting(peer.peer_id, greeting)

    def closed(self, peer: _Peer) -> None:
        """A connection is gone."""
        self._open.discard(peer)
        if peer.peer_id and self.is_current(peer):
            self._by_id.pop(peer.peer_id)
            self._on_close(peer.peer_id)


class _Dialled(Factory):
    """One address that is dialled again and again."""

    noisy = False

    def __init__(self, owner: 'LinkDialler', address: str) -> None:
        self.owner = owner
        self.address = address
        self.entry_id = ''
        self.connection: FramedConnection | None = None
        self.is_dialling = False
        self.next_at = _NEVER
        self.pause_ms = _REDIAL_MS
        self.greeted_at = _NEVER

    def buildProtocol(self, addr: object) -> FramedConnection:
        return FramedConnection(
            _CODEC,
            self.owner.clock,
            self._opened,
            self._received,
            self._broken,
            self._closed,
            self.owner.traffic,
        )

    def tick(self, now: float, may_judge: bool) -> None:
        if self.connection is not None:
            self._check(self.connection, now, may_judge)
        elif not self.is_dialling and now >= self.next_at:
            self.is_dialling = True
            host, port = parse_address(self.address)
            endpoint = TCP4ClientEndpoint(
                self.owner.reactor,
                host,
                port,
                timeout=_CONNECT_TIMEOUT_S,
            )
            endpoint.connect(self).addErrback(self._failed)

    def close(self) -> None:
        if self.connection is not None:
            self.connection.close()

    def _check(
        self,
        connection: FramedConnection,
        now: float,
        may_judge: bool,
    ) -> None:
        if may_judge and now - connection.last_received_at > _SILENCE_MS:
            log_event(Event.CONNECTION_SILENT, entry=self.address)
            connection.abort()
        elif self.owner.is_pinging and now - self.greeted_at >= _PING_MS:
            self.greeted_at = now
            connection.send(self.owner.greeting)

    def _opened(self, connection: FramedConnection) -> None:
        self.is_dialling = False
        self.connection = connection
        self.greeted_at = self.owner.clock.now()
        connection.send(self.owner.greeting)

    def _received(self, _connection: FramedConnection, message: Any) -> None:
        if isinstance(message, EntryGreeting):
            if not self.entry_id:
                self.entry_id = message.entry_id
                self.pause_ms = _REDIAL_MS
                self.owner.greeted(self)
        elif self.owner.is_current(self):
            self.owner.on_message(self.entry_id, message)

    def _broken(self, connection: FramedConnection, detail: str) -> None:
        log_event(Event.PEER_ERROR, entry=self.address, detail=detail)
        connection.abort()

    def _closed(self, _connection: FramedConnection) -> None:
        self._failed(None)

    def _failed(self, _reason: Any) -> None:
        entry_id = self.entry_id
        self.is_dialling = False
        self.connection = None
        self.entry_id = ''
        self.next_at = self.owner.clock.now() + self.pause_ms
        self.pause_ms = min(2 * self.pause_ms, _REDIAL_MAX_MS)
        if entry_id:
            self.owner.closed(self, entry_id)


_PING_MS: Final = _SILENCE_MS / 4


class LinkDialler:
    """Keeps a connection to each known entry."""

    def __init__(
        self,
        reactor: Any,
        clock: Clock,
        greeting: JobsMessage,
        on_open: Callable[[str], None],
        on_message: Taken,
        on_close: Callable[[str], None],
    ) -> None:
        """Greet each entry; one entry greets another again as a ping."""
        self.reactor = reactor
        self.clock = clock
        self.greeting = greeting
        self.is_pinging = isinstance(greeting, EntryGreeting)
        self.on_message = on_message
        self._on_open = on_open
        self._on_close = on_close
        self.traffic = Traffic()
        self._stalls = StallDetector(clock)
        self._by_address: dict[str, _Dialled] = {}
        self._odd: set[str] = set()
        self._by_entry: dict[str, _Dialled] = {}

    @property
    def connected(self) -> list[str]:
        """Ids of the connected entries."""
        return list(self._by_entry)

    def add_addresses(self, addresses: Iterable[str]) -> None:
        """Dial these addresses too from now on."""
        for address in addresses:
            if address in self._by_address or address in self._odd:
                continue
            if is_address(address):
                self._by_address[address] = _Dialled(self, address)
            elif len(self._odd) < _MAX_ODD:
                self._odd.add(address)
                detail = 'no address to dial'
                log_event(Event.PEER_ERROR, entry=address, detail=detail)

    def set_addresses(self, addresses: Iterable[str]) -> None:
        """Dial these addresses and drop all others."""
        wanted = set(addresses)
        self.add_addresses(wanted)
        for address in self._by_address.keys() - wanted:
            self._by_address.pop(address).close()

    def tick(self) -> None:
        """Dial what is due and drop what is silent; call regularly."""
        now = self.clock.now()
        may_judge = self._stalls.record_tick()
        for dialled in list(self._by_address.values()):
            dialled.tick(now, may_judge)

    def send(self, entry_id: str, message: JobsMessage) -> bool:
        """Write a message; False if the entry is not connected."""
        dialled = self._by_entry.get(entry_id)
        if dialled is None or dialled.connection is None:
            return False
        dialled.connection.send(message)
        return True

    def greeted(self, dialled: _Dialled) -> None:
        """An entry has answered the greeting."""
        self._by_entry[dialled.entry_id] = dialled
        self._on_open(dialled.entry_id)

    def is_current(self, dialled: _Dialled) -> bool:
        """Whether this is the newest connection to its entry.

        An entry may be known by two addresses, or be back at another one
        while its old connection hangs.
        """
        return self._by_entry.get(dialled.entry_id) is dialled

    def closed(self, dialled: _Dialled, entry_id: str) -> None:
        """A connection to an entry is gone; a newer one may be there."""
        if self._by_entry.get(entry_id) is dialled:
            self._by_entry.pop(entry_id)
            self._on_close(entry_id)


LINK_TICK_INTERVAL_S: Final = 100 / MILLIS_PER_SECOND
