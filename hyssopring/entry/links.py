"""The entry's connections from agents (Twisted shell)."""

import hmac
import uuid
from dataclasses import dataclass

from twisted.internet.protocol import Factory

from hyssopring.clock import Clock
from hyssopring.entry.core import EntryCore
from hyssopring.errors import ErrorKind
from hyssopring.logs import Event, log_event
from hyssopring.membership import AgentRecord
from hyssopring.protocol.codec import MAX_FRAME_BYTES
from hyssopring.protocol.connection import InnerConnection, Traffic, prove
from hyssopring.protocol.messages import (
    PROTOCOL_VERSION,
    Challenge,
    Hello,
    Message,
    Refusal,
)

__all__ = ('AgentLinks',)

_MAX_GREETING_BYTES = 65_536
_GREETING_MS = 5000.0


@dataclass(slots=True)
class _Session:
    nonce: str
    opened_at: float
    record: AgentRecord | None = None


class AgentLinks(Factory):
    """Accepts agents, proves who they are and carries messages.

    Outsiders are kept from the inner port by the deployment's secret: a peer
    that cannot answer the challenge is refused before anything else is read.
    """

    noisy = False

    def __init__(self, clock: Clock, secret: str) -> None:
        """Attach the core before listening."""
        self._clock = clock
        self._secret = secret
        self._core: EntryCore | None = None
        self._session_by_connection: dict[InnerConnection, _Session] = {}
        self._connection_by_agent: dict[str, InnerConnection] = {}
        self.traffic = Traffic()

    @property
    def connections(self) -> tuple[InnerConnection, ...]:
        """All open connections."""
        return tuple(self._session_by_connection)

    @property
    def connected(self) -> int:
        """How many agents are connected."""
        return len(self._connection_by_agent)

    def attach(self, core: EntryCore) -> None:
        """Give messages to this core."""
        self._core = core

    def buildProtocol(self, addr: object) -> InnerConnection:
        """Make the protocol of one accepted connection."""
        connection = InnerConnection(
            self._clock,
            self._opened,
            self._received,
            self._broken,
            self._closed,
            self.traffic,
        )
        # A peer that has not shown the secret could fill the memory.
        connection.MAX_LENGTH = _MAX_GREETING_BYTES
        return connection

    def drop_ungreeted(self) -> None:
        """Abort connections that opened and did not greet in time."""
        now = self._clock.now()
        for connection, session in tuple(self._session_by_connection.items()):
            age = now - session.opened_at
            if session.record is None and age > _GREETING_MS:
                connection.abort()

    def send(self, agent_id: str, message: Message) -> bool:
        """Write a message; False if the agent is not connected."""
        connection = self._connection_by_agent.get(agent_id)
        if connection is None:
            return False
        connection.send(message)
        return True

    def drop(self, agent_id: str) -> None:
        """Abort an agent's connection; it will dial again."""
        connection = self._connection_by_agent.get(agent_id)
        if connection is not None:
            connection.abort()

    def _opened(self, connection: InnerConnection) -> None:
        nonce = uuid.uuid4().hex
        self._session_by_connection[connection] = _Session(
            nonce, self._clock.now()
        )
        entry_id = self._core.identity.entry_id if self._core else ''
        connection.send(Challenge(PROTOCOL_VERSION, entry_id, nonce))

    def _received(self, connection: InnerConnection, message: Message) -> None:
        session = self._session_by_connection.get(connection)
        if session is None or self._core is None:
            return
        if session.record is not None:
            if self._is_current(connection, session.record):
                self._core.on_message(message, session.record)
            return
        if isinstance(message, Hello):
            self._greet(connection, session, message)
            return
        self._broken(connection, 'a message before the greeting')

    def _is_current(
        self,
        connection: InnerConnection,
        record: AgentRecord,
    ) -> bool:
        """Drop what still arrives on a connection that was replaced."""
        return self._connection_by_agent.get(record.agent_id) is connection

    def _greet(
        self,
        connection: InnerConnection,
        session: _Session,
        hello: Hello,
    ) -> None:
        expected = prove(self._secret, session.nonce, hello.agent_id)
        given = hello.proof.encode()
        if not hmac.compare_digest(expected.encode(), given):
            self._refuse(connection, ErrorKind.UNAUTHORIZED, 'wrong proof')
            return
        refusal = self._core.refusal(hello) if self._core else None
        if refusal is not None:
            self._refuse(connection, refusal.kind, refusal.detail)
            return
        older = self._connection_by_agent.get(hello.agent_id)
        self._connection_by_agent[hello.agent_id] = connection
        if older is not None:
            older.abort()
        if self._core is not None:
            connection.MAX_LENGTH = MAX_FRAME_BYTES
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

    def _broken(self, connection: InnerConnection, detail: str) -> None:
        log_event(Event.PEER_ERROR, detail=detail)
        connection.send(Refusal(ErrorKind.PROTOCOL.value, detail))
        connection.close()

    def _closed(self, connection: InnerConnection) -> None:
        session = self._session_by_connection.pop(connection, None)
        if session is None or session.record is None:
            return
        agent_id = session.record.agent_id
        if self._connection_by_agent.get(agent_id) is connection:
            self._connection_by_agent.pop(agent_id)
        if self._core is not None:
            self._core.on_disconnected(session.record)
