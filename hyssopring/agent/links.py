"""The agent's connections to entries (Twisted shell)."""

import random
from functools import singledispatchmethod
from typing import Any

from twisted.internet.protocol import Factory
from twisted.internet.endpoints import HostnameEndpoint

from hyssopring.addresses import parse_address
from hyssopring.agent.core import AgentCore
from hyssopring.clock import Clock
from hyssopring.logs import Event, log_event
from hyssopring.protocol.connection import InnerConnection, Traffic, prove
from hyssopring.protocol.messages import (
    Challenge,
    EntryList,
    Message,
    Refusal,
    Welcome,
)

__all__ = ('EntryLinks',)

_REDIAL_MIN_S = 0.2
_REDIAL_MAX_S = 3.0
_CONNECT_TIMEOUT_S = 2
# An entry answers each heartbeat; with nothing heard for this long the
# connection has gone silent, and a new one is dialled.
_SILENCE_MS = 2500.0


class _Dialler(Factory):
    """Keeps one connection to one entry address."""

    noisy = False

    def __init__(self, owner: 'EntryLinks', address: str) -> None:
        self.owner = owner
        self.address = address
        self.connection: InnerConnection | None = None
        self.entry_id = ''
        self.failures = 0
        self.is_wanted = True

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
        if not self.is_wanted:
            return
        host, port = parse_address(self.address)
        endpoint = HostnameEndpoint(
            self.owner.reactor,
            host,
            port,
            timeout=_CONNECT_TIMEOUT_S,
        )
        endpoint.connect(self).addErrback(self._failed)

    def check_silence(self, now: float) -> None:
        connection = self.connection
        if connection is None:
            return
        if now - connection.last_heard > _SILENCE_MS:
            log_event(Event.CONNECTION_SILENT, entry=self.address)
            connection.abort()

    def _opened(self, connection: InnerConnection) -> None:
        self.connection = connection

    def _received(self, connection: InnerConnection, message: Message) -> None:
        if connection is self.connection:
            self._take(message, connection)

    @singledispatchmethod
    def _take(self, message: Message, connection: InnerConnection) -> None:
        if self.entry_id:
            self.owner.core.on_message(message, self.entry_id)

    @_take.register
    def _take_challenge(
        self,
        message: Challenge,
        connection: InnerConnection,
    ) -> None:
        self._answer(connection, message)

    @_take.register
    def _take_welcome(
        self,
        message: Welcome,
        connection: InnerConnection,
    ) -> None:
        self.failures = 0
        self.entry_id = message.entry_id
        self.owner.welcomed(self, message)

    @_take.register
    def _take_list(
        self,
        message: EntryList,
        connection: InnerConnection,
    ) -> None:
        self.owner.listed(message.entries)

    @_take.register
    def _take_refusal(
        self,
        message: Refusal,
        connection: InnerConnection,
    ) -> None:
        log_event(
            Event.PEER_ERROR,
            entry=self.address,
            kind=message.kind,
            detail=message.detail,
        )

    def _answer(
        self,
        connection: InnerConnection,
        challenge: Challenge,
    ) -> None:
        core = self.owner.core
        proof = prove(
            self.owner.secret,
            challenge.nonce,
            core.identity.agent_id,
        )
        connection.send(
            core.identity.hello(proof, core.configuration.version),
        )

    def _broken(self, connection: InnerConnection, detail: str) -> None:
        log_event(Event.PEER_ERROR, entry=self.address, detail=detail)
        connection.abort()

    def _closed(self, connection: InnerConnection) -> None:
        if connection is not self.connection:
            return
        self.connection = None
        self.owner.closed(self)
        self.entry_id = ''
        self._redial()

    def _failed(self, _reason: Any) -> None:
        self._redial()

    def _redial(self) -> None:
        # Spread over time, so that agents do not return in step.
        self.failures += 1
        ceiling = min(_REDIAL_MIN_S * 2**self.failures, _REDIAL_MAX_S)
        delay = self.owner.rng.uniform(_REDIAL_MIN_S, ceiling)
        self.owner.reactor.callLater(delay, self.dial)


class EntryLinks:
    """Dials every known entry and carries messages."""

    def __init__(
        self,
        reactor: Any,
        clock: Clock,
        secret: str,
        seeds: tuple[str, ...],
        rng: random.Random,
    ) -> None:
        """Dial ``seeds`` first; each welcome names the other entries."""
        self.reactor = reactor
        self.clock = clock
        self.secret = secret
        self.rng = rng
        self.traffic = Traffic()
        self._seeds = seeds
        self._core: AgentCore | None = None
        self._dialler_by_address: dict[str, _Dialler] = {}
        self._dialler_by_entry: dict[str, _Dialler] = {}

    @property
    def core(self) -> AgentCore:
        """The core that takes the messages."""
        assert self._core is not None, 'attach the core first'
        return self._core

    @property
    def connected(self) -> int:
        """How many entries are connected."""
        return len(self._dialler_by_entry)

    def attach(self, core: AgentCore) -> None:
        """Give messages to this core."""
        self._core = core

    def start(self) -> None:
        """Dial the seeds."""
        for address in self._seeds:
            self._want(address)

    def send(self, entry_id: str, message: Message) -> bool:
        """Write a message; False if the entry is not connected."""
        dialler = self._dialler_by_entry.get(entry_id)
        if dialler is None or dialler.connection is None:
            return False
        dialler.connection.send(message)
        return True

    def broadcast(self, message: Message) -> None:
        """Write a message to every connected entry."""
        for entry_id in list(self._dialler_by_entry):
            self.send(entry_id, message)

    def check_silence(self) -> None:
        """Abort connections on which nothing was heard for too long."""
        now = self.clock.now()
        for dialler in list(self._dialler_by_address.values()):
            dialler.check_silence(now)

    def welcomed(self, dialler: _Dialler, welcome: Welcome) -> None:
        """An entry has accepted this agent."""
        self._dialler_by_entry[welcome.entry_id] = dialler
        self.core.on_connected(welcome.entry_id)
        self.listed(welcome.entries)

    def listed(self, addresses: tuple[str, ...]) -> None:
        """Dial the entries that the table lists, and the seeds."""
        for known in list(self._dialler_by_address.values()):
            is_listed = known.address in addresses + self._seeds
            if not is_listed and known.connection is None:
                known.is_wanted = False
                self._dialler_by_address.pop(known.address)
        for address in addresses:
            self._want(address)

    def closed(self, dialler: _Dialler) -> None:
        """A connection to an entry is gone."""
        if self._dialler_by_entry.get(dialler.entry_id) is dialler:
            self._dialler_by_entry.pop(dialler.entry_id)
            self.core.on_disconnected(dialler.entry_id)

    def _want(self, address: str) -> None:
        if address in self._dialler_by_address:
            return
        dialler = _Dialler(self, address)
        self._dialler_by_address[address] = dialler
        dialler.dial()
