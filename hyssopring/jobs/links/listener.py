"""Accepts the connections of agents and other entries, on Twisted.

The connecting side sends first and then periodically; this side responds each
time. A connection on which nothing was received for a while is closed, as a
device between the two ends may have dropped its state.
"""

from typing import Any, Callable, Final

from twisted.internet.protocol import Factory

from hyssopring.clock import Clock
from hyssopring.connection_limit import ConnectionLimit
from hyssopring.jobs.links.timing import (
    DELAY_TIMEOUT_MS,
    LINK_CODEC,
    MAX_INTERVAL_MS,
    NEVER,
    SILENCE_TIMEOUT_MS,
    MessageHandler,
)
from hyssopring.jobs.messages import (
    PROTOCOL_RELEASE,
    AgentGreeting,
    EntryGreeting,
    JobsMessage,
    ReportRequest,
    WorkerReport,
)
from hyssopring.jobs.stall_detector import StallDetector
from hyssopring.jobs.times import REPORT_INTERVAL_MS
from hyssopring.logs import Event, log_event
from hyssopring.protocol.frames import (
    MAX_FRAME_BYTES,
    FramedConnection,
    Traffic,
)

__all__ = ('LinkListener',)

# A greeting has the names of a process and of its zone.
_MAX_GREETING_BYTES: Final = 16 * 1024
_MAX_UNIDENTIFIED: Final = 256


class _Peer:
    """An accepted connection; its greeting identifies the peer.

    Attributes:
        is_serving: Whether it was identified.
    """

    def __init__(self, listener: 'LinkListener') -> None:
        self.listener = listener
        self.peer_id = ''
        self.is_serving = False
        self.connection: FramedConnection | None = None
        self._silence_timeout_ms = SILENCE_TIMEOUT_MS
        self._requested_at = NEVER

    def on_open(self, connection: FramedConnection) -> None:
        self.connection = connection
        connection.MAX_LENGTH = _MAX_GREETING_BYTES
        self.listener.unidentified.add(self)

    def abort(self) -> None:
        """See ``OpenConnection``."""
        if self.connection is not None:
            self.connection.abort()

    def on_receive(self, connection: FramedConnection, message: Any) -> None:
        if isinstance(message, EntryGreeting | WorkerReport):
            next_ms = min(message.next_ms, MAX_INTERVAL_MS)
            self._silence_timeout_ms = DELAY_TIMEOUT_MS + max(
                next_ms, REPORT_INTERVAL_MS
            )
        if isinstance(message, AgentGreeting | EntryGreeting):
            connection.MAX_LENGTH = MAX_FRAME_BYTES
            self.is_serving = True
            self.listener.unidentified.remove(self)
        if isinstance(message, AgentGreeting):
            self.peer_id = message.agent_id
            connection.send(self.listener.greeting)
            self.listener.handle_greeting(self, message)
        elif isinstance(message, EntryGreeting):
            self.peer_id = message.entry_id
            connection.send(self.listener.greeting)
            self.listener.handle_greeting(self, message)
        elif self.peer_id and self.listener.is_current(self):
            self.listener.on_message(self.peer_id, message)

    def send(self, message: JobsMessage, now_ms: float) -> bool:
        """Send a message; return False if the connection is not open."""
        connection = self.connection
        if connection is None:
            return False
        if isinstance(message, ReportRequest):
            if connection.last_received_at >= self._requested_at:
                self._requested_at = now_ms
        connection.send(message)
        return True

    def is_silent(self, now_ms: float) -> bool:
        """Whether an announced message or a requested report is overdue."""
        if self.connection is None:
            return False
        received_at = self.connection.last_received_at
        if now_ms - received_at > self._silence_timeout_ms:
            return True
        return (
            received_at < self._requested_at
            and now_ms - self._requested_at > SILENCE_TIMEOUT_MS
        )

    def on_protocol_error(
        self,
        connection: FramedConnection,
        detail: str,
    ) -> None:
        log_event(Event.PEER_ERROR, peer=self.peer_id, detail=detail)
        connection.abort()

    def on_close(self, _connection: FramedConnection) -> None:
        self.listener.handle_close(self)


class LinkListener(Factory):
    """Accepts connections of agents and other entries.

    Attributes:
        greeting: The response to a greeting.
        on_message: Called with the messages of identified peers.
        traffic: Of all connections.
        unidentified: The connections without a greeting.
    """

    noisy = False

    def __init__(
        self,
        clock: Clock,
        entry_id: str,
        on_greeting: Callable[[str, JobsMessage], None],
        on_message: MessageHandler,
        on_close: Callable[[str], None],
    ) -> None:
        """Call back with the peer's id on a greeting, message or close."""
        self._clock = clock
        self.greeting = EntryGreeting(entry_id, PROTOCOL_RELEASE)
        self.on_message = on_message
        self._on_greeting = on_greeting
        self._on_close = on_close
        self.traffic = Traffic()
        self._stall_detector = StallDetector(clock)
        self.unidentified = ConnectionLimit(_MAX_UNIDENTIFIED)
        self._peers: set[_Peer] = set()
        self._peer_by_id: dict[str, _Peer] = {}

    def buildProtocol(self, addr: object) -> FramedConnection:
        """Accept a connection; its greeting identifies the peer later."""
        peer = _Peer(self)
        self._peers.add(peer)
        return FramedConnection(
            LINK_CODEC,
            self._clock,
            peer.on_open,
            peer.on_receive,
            peer.on_protocol_error,
            peer.on_close,
            self.traffic,
        )

    def send(self, peer_id: str, message: JobsMessage) -> bool:
        """Send a message; return False if the peer is not connected."""
        peer = self._peer_by_id.get(peer_id)
        return peer is not None and peer.send(message, self._clock.now())

    def close_silent_connections(self) -> None:
        """Abort connections that timed out; call periodically."""
        if not self._stall_detector.record_tick():
            return
        now_ms = self._clock.now()
        for peer in list(self._peers):
            if peer.connection is not None and peer.is_silent(now_ms):
                log_event(Event.CONNECTION_SILENT, peer=peer.peer_id)
                peer.connection.abort()

    def is_current(self, peer: _Peer) -> bool:
        """Whether this is the peer's newest connection."""
        return self._peer_by_id.get(peer.peer_id) is peer

    def handle_greeting(self, peer: _Peer, greeting: JobsMessage) -> None:
        """Register a connection under its peer's id.

        Repeated greetings serve as pings.
        """
        older = self._peer_by_id.get(peer.peer_id)
        if older is peer:
            return
        self._peer_by_id[peer.peer_id] = peer
        if older is not None and older.connection is not None:
            older.connection.abort()
        self._on_greeting(peer.peer_id, greeting)

    def handle_close(self, peer: _Peer) -> None:
        """Remove a closed connection."""
        self._peers.discard(peer)
        self.unidentified.remove(peer)
        if peer.peer_id and self.is_current(peer):
            self._peer_by_id.pop(peer.peer_id)
            self._on_close(peer.peer_id)
