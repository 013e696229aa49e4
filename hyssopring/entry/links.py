"""The entry's side of its connections with agents, on Twisted."""

import hmac
import uuid
from dataclasses import dataclass

from twisted.internet.protocol import Factory

from hyssopring.clock import Clock
from hyssopring.entry.core import EntryCore
from hyssopring.errors import ErrorKind
from hyssopring.logs import Event, log_event
from hyssopring.membership import AgentRecord
from hyssopring.protocol.connection import InnerConnection, Traffic, prove
from hyssopring.protocol.messages import (
    PROTOCOL_VERSION,
    Challenge,
    Hello,
    Message,
    Refusal,
)
from hyssopring.protocol.unknown_peers import MAX_UNKNOWN_PEERS, UnknownPeers

__all__ = ('AgentLinks',)

_HANDSHAKE_TIMEOUT_MS = 5000.0


@dataclass(slots=True)
class _Session:
    """State of a connection; ``record`` is None until authentication."""

    nonce: str
    opened_at: float
    record: AgentRecord | None = None


class AgentLinks(Factory):
    """Accepts and authenticates agents, and carries their messages.

    Only agents with the deployment's secret may connect: a peer that fails the
    challenge is refused before any other message is read.
    """

    noisy = False

    def __init__(
        self,
        clock: Clock,
        secret: str,
        max_unknown: int = MAX_UNKNOWN_PEERS,
    ) -> None:
        """Start without a core; attach one before listening.

        Args:
            clock: The clock for timeouts.
            secret: The secret of the deployment.
            max_unknown: Connections that may be open unauthenticated.
        """
        self._clock = clock
        self._secret = secret
        self._core: EntryCore | None = None
        self._session_by_connection: dict[InnerConnection, _Session] = {}
        self._connection_by_agent: dict[str, InnerConnection] = {}
        self._unknown = UnknownPeers(max_unknown)
        self.traffic = Traffic()

    @property
    def connections(self) -> tuple[InnerConnection, ...]:
        """All open connections."""
        return tuple(self._session_by_connection)

    @property
    def connected(self) -> int:
        """Number of connected agents."""
        return len(self._connection_by_agent)

    def attach(self, core: EntryCore) -> None:
        """Deliver messages to this core."""
        self._core = core

    def buildProtocol(self, addr: object) -> InnerConnection:
        """Return the protocol of one accepted connection."""
        return InnerConnection(
            self._clock,
            self._on_open,
            self._on_received,
            self._on_protocol_error,
            self._on_close,
            self.traffic,
        )

    def close_unauthenticated(self) -> None:
        """Abort connections that did not authenticate in time."""
        now_ms = self._clock.now()
        for connection, session in tuple(self._session_by_connection.items()):
            age_ms = now_ms - session.opened_at
            if session.record is None and age_ms > _HANDSHAKE_TIMEOUT_MS:
                connection.abort()

    def send(self, agent_id: str, message: Message) -> bool:
        """Write a message; False if the agent is not connected."""
        connection = self._connection_by_agent.get(agent_id)
        if connection is None:
            return False
        connection.send(message)
        return True

    def drop(self, agent_id: str) -> None:
        """Abort an agent's connection; the agent reconnects."""
        connection = self._connection_by_agent.get(agent_id)
        if connection is not None:
            connection.abort()

    def _on_open(self, connection: InnerConnection) -> None:
        self._unknown.add(connection)
        nonce = uuid.uuid4().hex
        self._session_by_connection[connection] = _Session(
            nonce, self._clock.now()
        )
        entry_id = self._core.identity.entry_id if self._core else ''
        connection.send(Challenge(PROTOCOL_VERSION, entry_id, nonce))

    def _on_received(
        self, connection: InnerConnection, message: Message
    ) -> None:
        session = self._session_by_connection.get(connection)
        if session is None or self._core is None:
            return
        if session.record is not None:
            if self._is_current(connection, session.record):
                self._core.on_message(message, session.record)
            return
        if isinstance(message, Hello):
            self._handle_hello(connection, session, message)
            return
        self._on_protocol_error(connection, 'a message before the greeting')

    def _is_current(
        self,
        connection: InnerConnection,
        record: AgentRecord,
    ) -> bool:
        """Whether this connection has not been replaced by a newer one."""
        return self._connection_by_agent.get(record.agent_id) is connection

    def _handle_hello(
        self,
        connection: InnerConnection,
        session: _Session,
        hello: Hello,
    ) -> None:
        expected_proof = prove(self._secret, session.nonce, hello.agent_id)
        given_proof = hello.proof.encode()
        if not hmac.compare_digest(expected_proof.encode(), given_proof):
            self._refuse(connection, ErrorKind.UNAUTHORIZED, 'wrong proof')
            return
        refusal = self._core.admission_failure(hello) if self._core else None
        if refusal is not None:
            self._refuse(connection, refusal.kind, refusal.detail)
            return
        older_connection = self._connection_by_agent.get(hello.agent_id)
        self._connection_by_agent[hello.agent_id] = connection
        if older_connection is not None:
            older_connection.abort()
        if self._core is not None:
            self._unknown.admit(connection)
            session.record = self._core.on_hello(hello)

    def _refuse(
        self,
        connection: InnerConnection,
        kind: ErrorKind,
        detail: str,
    ) -> None:
        log_event(Event.AGENT_REFUSED, kind=kind.value, detail=detail)
        connection.send(Refusal(kind.value, detail))
        connection.close()

    def _on_protocol_error(
        self, connection: InnerConnection, detail: str
    ) -> None:
        log_event(Event.PEER_ERROR, detail=detail)
        connection.send(Refusal(ErrorKind.PROTOCOL.value, detail))
        connection.close()

    def _on_close(self, connection: InnerConnection) -> None:
        self._unknown.remove(connection)
        session = self._session_by_connection.pop(connection, None)
        if session is None or session.record is None:
            return
        agent_id = session.record.agent_id
        if self._connection_by_agent.get(agent_id) is connection:
            self._connection_by_agent.pop(agent_id)
        if self._core is not None:
            self._core.on_disconnected(session.record)
