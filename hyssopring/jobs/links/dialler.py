"""Keeps a connection to each known entry, on Twisted.

The side that connects sends first and then periodically: an agent its reports,
an entry its greeting. A connection without a response is closed and dialled
again, as a device between the two ends may have dropped its state.
"""

from dataclasses import replace
from typing import Any, Callable, Final, Iterable

from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.protocol import Factory

from hyssopring.addresses import is_address, parse_address
from hyssopring.clock import MILLIS_PER_SECOND, Clock
from hyssopring.jobs.links.timing import (
    DELAY_TIMEOUT_MS,
    LINK_CODEC,
    MAX_INTERVAL_MS,
    NEVER,
    SILENCE_TIMEOUT_MS,
    MessageHandler,
)
from hyssopring.jobs.messages import (
    SPACED_REPORTS_RELEASE,
    EntryGreeting,
    JobsMessage,
    WorkerReport,
)
from hyssopring.jobs.stall_detector import StallDetector
from hyssopring.jobs.times import REPORT_INTERVAL_MS, spaced_interval_ms
from hyssopring.logs import Event, log_event
from hyssopring.protocol.frames import FramedConnection, Traffic

__all__ = ('LINK_TICK_INTERVAL_S', 'LinkDialler')

_CONNECT_TIMEOUT_S: Final = 1
# Pings of entries announce no longer interval than this.
_MAX_PING_INTERVAL_MS: Final = 2000.0
_MIN_BACKOFF_MS: Final = 300.0
_MAX_BACKOFF_MS: Final = 1500.0

# Invalid addresses that are logged, once each.
_MAX_INVALID_ADDRESSES: Final = 100


class _DialledAddress(Factory):
    """An address to which a connection is kept, with backoff."""

    noisy = False

    def __init__(self, dialler: 'LinkDialler', address: str) -> None:
        self.dialler = dialler
        self.address = address
        self.entry_id = ''
        self.release = 0
        self.connection: FramedConnection | None = None
        self.is_dialling = False
        self.next_dial_at = NEVER
        self.backoff_ms = _MIN_BACKOFF_MS
        self.next_ping_at = NEVER
        # When the oldest message was sent whose response is still missing.
        self._awaits_since = NEVER

    def buildProtocol(self, addr: object) -> FramedConnection:
        return FramedConnection(
            LINK_CODEC,
            self.dialler.clock,
            self._opened,
            self._received,
            self._on_protocol_error,
            self._closed,
            self.dialler.traffic,
        )

    def tick(self, now_ms: float, can_check_silence: bool) -> None:
        if self.connection is not None:
            self._check_connection(self.connection, now_ms, can_check_silence)
        elif not self.is_dialling and now_ms >= self.next_dial_at:
            self.is_dialling = True
            host, port = parse_address(self.address)
            endpoint = TCP4ClientEndpoint(
                self.dialler.reactor,
                host,
                port,
                timeout=_CONNECT_TIMEOUT_S,
            )
            endpoint.connect(self).addErrback(self._on_connect_failed)

    def close(self) -> None:
        if self.connection is not None:
            self.connection.close()

    def send(self, message: JobsMessage) -> bool:
        connection = self.connection
        if connection is None:
            return False
        if isinstance(message, WorkerReport | EntryGreeting):
            if connection.last_received_at >= self._awaits_since:
                self._awaits_since = self.dialler.clock.now()
        connection.send(message)
        return True

    def _check_connection(
        self,
        connection: FramedConnection,
        now_ms: float,
        can_check_silence: bool,
    ) -> None:
        if can_check_silence and self._is_silent(connection, now_ms):
            log_event(Event.CONNECTION_SILENT, entry=self.address)
            connection.abort()
        elif now_ms >= self.next_ping_at:
            self._ping(self.dialler.greeting, now_ms)

    def _is_silent(self, connection: FramedConnection, now_ms: float) -> bool:
        """Whether a response is overdue.

        On a connection that a newer one to the same entry has replaced no
        response is due, as nothing is sent there.
        """
        received_at = connection.last_received_at
        silent_ms = now_ms - received_at
        if silent_ms <= SILENCE_TIMEOUT_MS:
            return False
        if not self.entry_id or silent_ms > MAX_INTERVAL_MS:
            return True
        return (
            received_at < self._awaits_since
            and now_ms - self._awaits_since > DELAY_TIMEOUT_MS
        )

    def _ping(self, greeting: JobsMessage, now_ms: float) -> None:
        """Repeat an entry's greeting; reports are an agent's pings."""
        if not isinstance(greeting, EntryGreeting):
            return
        interval_ms = REPORT_INTERVAL_MS
        if self.release >= SPACED_REPORTS_RELEASE:
            interval_ms = spaced_interval_ms(
                len(self.dialler.connected), _MAX_PING_INTERVAL_MS
            )
        self.next_ping_at = now_ms + interval_ms
        self.send(replace(greeting, next_ms=int(interval_ms)))

    def _opened(self, connection: FramedConnection) -> None:
        self.is_dialling = False
        self.connection = connection
        self.next_ping_at = self.dialler.clock.now() + REPORT_INTERVAL_MS
        connection.send(self.dialler.greeting)

    def _received(self, _connection: FramedConnection, message: Any) -> None:
        if isinstance(message, EntryGreeting):
            if not self.entry_id:
                self.entry_id = message.entry_id
                self.release = message.release
                self.backoff_ms = _MIN_BACKOFF_MS
                self.dialler.handle_greeting(self)
        elif self.dialler.is_current(self):
            self.dialler.on_message(self.entry_id, message)

    def _on_protocol_error(
        self, connection: FramedConnection, detail: str
    ) -> None:
        log_event(Event.PEER_ERROR, entry=self.address, detail=detail)
        connection.abort()

    def _closed(self, _connection: FramedConnection) -> None:
        self._on_connect_failed(None)

    def _on_connect_failed(self, _reason: Any) -> None:
        entry_id = self.entry_id
        self.is_dialling = False
        self.connection = None
        self.entry_id = ''
        self.release = 0
        self.next_dial_at = self.dialler.clock.now() + self.backoff_ms
        self.backoff_ms = min(2 * self.backoff_ms, _MAX_BACKOFF_MS)
        if entry_id:
            self.dialler.handle_close(self, entry_id)


class LinkDialler:
    """Keeps a connection to each known entry."""

    def __init__(
        self,
        reactor: Any,
        clock: Clock,
        greeting: JobsMessage,
        on_open: Callable[[str], None],
        on_message: MessageHandler,
        on_close: Callable[[str], None],
    ) -> None:
        """Send ``greeting`` on each connection.

        An entry repeats its greeting periodically, as a ping.
        """
        self.reactor = reactor
        self.clock = clock
        self.greeting = greeting
        self.on_message = on_message
        self._on_open = on_open
        self._on_close = on_close
        self.traffic = Traffic()
        self._stall_detector = StallDetector(clock)
        self._by_address: dict[str, _DialledAddress] = {}
        self._invalid_addresses: set[str] = set()
        self._dialled_by_entry: dict[str, _DialledAddress] = {}

    @property
    def connected(self) -> list[str]:
        """Ids of the connected entries."""
        return list(self._dialled_by_entry)

    @property
    def is_complete(self) -> bool:
        """Whether each known address is connected."""
        return all(dialled.entry_id for dialled in self._by_address.values())

    def add_addresses(self, addresses: Iterable[str]) -> None:
        """Keep a connection to these addresses, too."""
        for address in addresses:
            if (
                address in self._by_address
                or address in self._invalid_addresses
            ):
                continue
            if is_address(address):
                self._by_address[address] = _DialledAddress(self, address)
            elif len(self._invalid_addresses) < _MAX_INVALID_ADDRESSES:
                self._invalid_addresses.add(address)
                detail = 'invalid address: not host:port'
                log_event(Event.PEER_ERROR, entry=address, detail=detail)

    def set_addresses(self, addresses: Iterable[str]) -> None:
        """Keep connections to these addresses only; close all others."""
        wanted = set(addresses)
        self.add_addresses(wanted)
        for address in self._by_address.keys() - wanted:
            self._by_address.pop(address).close()

    def tick(self) -> None:
        """Dial due addresses, abort silent connections; call periodically."""
        now_ms = self.clock.now()
        can_check_silence = self._stall_detector.record_tick()
        for dialled in list(self._by_address.values()):
            dialled.tick(now_ms, can_check_silence)

    def send(self, entry_id: str, message: JobsMessage) -> bool:
        """Send a message; return False if the entry is not connected."""
        dialled = self._dialled_by_entry.get(entry_id)
        return dialled is not None and dialled.send(message)

    def release_of(self, entry_id: str) -> int:
        """Return the release in a connected entry's greeting, else 0."""
        dialled = self._dialled_by_entry.get(entry_id)
        return dialled.release if dialled else 0

    def handle_greeting(self, dialled: _DialledAddress) -> None:
        """Register a connection whose entry has responded to the greeting."""
        self._dialled_by_entry[dialled.entry_id] = dialled
        self._on_open(dialled.entry_id)

    def is_current(self, dialled: _DialledAddress) -> bool:
        """Whether this is the newest connection to its entry.

        An entry may be known by two addresses, or return at another address
        while its old connection is still open.
        """
        return self._dialled_by_entry.get(dialled.entry_id) is dialled

    def handle_close(self, dialled: _DialledAddress, entry_id: str) -> None:
        """Remove a closed connection, unless a newer one has replaced it."""
        if self._dialled_by_entry.get(entry_id) is dialled:
            self._dialled_by_entry.pop(entry_id)
            self._on_close(entry_id)


LINK_TICK_INTERVAL_S: Final = 100 / MILLIS_PER_SECOND
