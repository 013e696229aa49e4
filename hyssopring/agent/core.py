"""The agent's logic without sockets: typed messages in and out."""

import random
from dataclasses import dataclass
from functools import singledispatchmethod
from typing import Callable, Protocol

from hyssopring.agent.backend_sizes import BackendSizes
from hyssopring.agent.backends import Backends
from hyssopring.agent.calls import BackendCaller, CallExecutor
from hyssopring.agent.ledger import Ledger
from hyssopring.agent.sessions import HEARTBEAT_MS, EntrySessions, News
from hyssopring.agent.tasks import TaskSupervisor
from hyssopring.agent.worker import Worker
from hyssopring.clock import Clock
from hyssopring.configuration import ConfigurationState
from hyssopring.invariants import Invariants
from hyssopring.leases import ShardLeases
from hyssopring.logs import Event, log_event
from hyssopring.membership import EntryDirectory
from hyssopring.metrics import Metrics
from hyssopring.protocol.messages import (
    PROTOCOL_VERSION,
    CallRequest,
    CancelCall,
    ConfigurationQuery,
    ConfigurationUpdate,
    EntryList,
    Heartbeat,
    HeartbeatAck,
    Hello,
    Message,
    OutcomeQuery,
    Ping,
    Pong,
    Resources,
    StartTask,
    StopTask,
    TaskReportAck,
    ThrottleTask,
)

__all__ = ('HEARTBEAT_MS', 'AgentCore', 'AgentIdentity', 'AgentLinks')


@dataclass(frozen=True, slots=True)
class AgentIdentity:
    """Who this agent is, from its settings and this run.

    Attributes:
        incarnation: Differs in each run: an agent keeps nothing.
    """

    agent_id: str
    incarnation: str
    zone: str
    rack: str
    capacity: Resources

    def hello(self, proof: str, configuration_version: int) -> Hello:
        """Return the first message on a connection."""
        return Hello(
            PROTOCOL_VERSION,
            self.agent_id,
            self.incarnation,
            self.zone,
            self.rack,
            proof,
            self.capacity,
            configuration_version,
        )


def _nothing() -> None:
    """Nobody asked to be told of new work."""


class AgentLinks(Protocol):
    """Sends messages to connected entries."""

    def send(self, entry_id: str, message: Message) -> bool:
        """Write a message; False if the entry is not connected."""

    def broadcast(self, message: Message) -> None:
        """Write a message to every connected entry."""


class AgentCore:
    """One agent: its ledger, calls, tasks and configuration."""

    def __init__(
        self,
        clock: Clock,
        identity: AgentIdentity,
        links: AgentLinks,
        caller: BackendCaller,
        worker: Worker,
        metrics: Metrics,
        directory: EntryDirectory | None = None,
    ) -> None:
        """Take the ports to entries, backend servers and the worker."""
        invariants = Invariants(metrics)
        self._clock = clock
        self._links = links
        self.on_work: Callable[[], None] = _nothing
        self._sequence = 0
        self._is_stopping = False
        self.sessions = EntrySessions(clock)
        self.identity = identity
        self.metrics = metrics
        self.configuration = ConfigurationState()
        self.directory = directory or EntryDirectory(
            clock,
            identity.agent_id,
            (),
            random.Random(),
        )
        self.ledger = Ledger(identity.capacity, invariants, metrics)
        self.backends = Backends(clock, invariants)
        self.backend_sizes = BackendSizes(
            self.ledger,
            self.backends,
            self.configuration,
        )
        self.calls = CallExecutor(clock, self.backends, links, caller, metrics)
        self.tasks = TaskSupervisor(
            clock,
            self.ledger,
            ShardLeases(),
            worker,
            links.broadcast,
        )

    @property
    def is_idle(self) -> bool:
        """Whether a planned stop may end the process now."""
        return not self.calls.unfinished and not self.tasks.running

    def on_connected(self, entry_id: str) -> None:
        """An entry has welcomed this agent on a new connection."""
        self.sessions.open(entry_id)
        log_event(Event.ENTRY_CONNECTED, entry=entry_id)
        self._beat(entry_id)

    def on_disconnected(self, entry_id: str) -> None:
        """A connection to an entry is gone."""
        if self.sessions.close(entry_id):
            log_event(Event.ENTRY_DISCONNECTED, entry=entry_id)

    @singledispatchmethod
    def on_message(self, message: Message, entry_id: str) -> None:
        """Take one message from an entry; others than these are ignored."""

    @on_message.register
    def _on_call(self, message: CallRequest, entry_id: str) -> None:
        self.on_work()
        self.calls.on_call(entry_id, message)

    @on_message.register
    def _on_cancel(self, message: CancelCall, entry_id: str) -> None:
        self.calls.on_cancel(message.request_id)

    @on_message.register
    def _on_query(self, message: OutcomeQuery, entry_id: str) -> None:
        self.calls.on_query(entry_id, message)

    @on_message.register
    def _on_ping(self, message: Ping, entry_id: str) -> None:
        self._links.send(entry_id, Pong(message.sequence))

    @on_message.register
    def _on_update(self, message: ConfigurationUpdate, entry_id: str) -> None:
        if self.configuration.apply(message):
            log_event(
                Event.CONFIGURATION_APPLIED,
                version=message.version,
                source=entry_id,
            )
            self._follow_drain()
            self._beat(entry_id)

    @on_message.register
    def _on_entry_list(self, message: EntryList, entry_id: str) -> None:
        self.directory.learn(entry_id, message.members, message.holders)

    @on_message.register
    def _on_configuration_query(
        self,
        message: ConfigurationQuery,
        entry_id: str,
    ) -> None:
        update = self.configuration.update_since(message.version)
        self._links.send(entry_id, update)

    @on_message.register
    def _on_start(self, message: StartTask, entry_id: str) -> None:
        self.backend_sizes.account()
        self.tasks.on_start(message)

    @on_message.register
    def _on_stop(self, message: StopTask, entry_id: str) -> None:
        self.tasks.on_stop(message)

    @on_message.register
    def _on_throttle(self, message: ThrottleTask, entry_id: str) -> None:
        self.tasks.on_throttle(message)

    @on_message.register
    def _on_recorded(self, message: TaskReportAck, entry_id: str) -> None:
        self.tasks.on_recorded(message.tasks)

    @on_message.register
    def _on_ack(self, message: HeartbeatAck, entry_id: str) -> None:
        session = self.sessions.get(entry_id)
        if session is None:
            return
        asked_at = session.acked(message.sequence, message.next_ms)
        if asked_at is None:
            return
        for grant in message.grants:
            self.tasks.on_grant(grant, asked_at)
            report = session.due_report(self.tasks, grant, self._clock.now())
            if report is not None:
                self._links.send(entry_id, report)
        if message.configuration_version > self.configuration.version:
            query = ConfigurationQuery(self.configuration.version)
            self._links.send(entry_id, query)

    def heartbeat(self) -> None:
        """Tell entries that this agent lives; call each second."""
        self._follow_drain()
        self.backend_sizes.account()
        for entry_id in self.sessions.due(self._news()):
            self._beat(entry_id)
        self.directory.pin({each.shard for each in self.tasks.statuses()})
        for source, members in self.directory.to_tell().items():
            self._links.send(source, EntryList(members))

    def to_leave(self) -> list[str]:
        """Return the entries whose connection may be closed now.

        An entry outside the subset is told as at a planned stop, so that it
        sends nothing new, and is left once its calls have ended.
        """
        for entry_id in self.sessions.mark_leaving(self.directory.surplus()):
            self._beat(entry_id)
        return self.sessions.to_leave(self.calls.serves)

    def tick(self) -> None:
        """Let deadlines and leases take effect."""
        self.expire_backends()
        self.calls.tick()

    def expire_backends(self) -> None:
        """Drop backend servers that no longer announce themselves."""
        self.backends.expire()

    def stop(self) -> None:
        """Begin a planned stop: nothing new, what runs finishes."""
        self._is_stopping = True
        self.calls.stop()
        self.tasks.close('agent is stopping')
        self.heartbeat()

    def _follow_drain(self) -> None:
        """Follow an operator's drain; a stop in doubt is asked again."""
        if self._is_stopping:
            return
        order = self.configuration.drain(self.identity.agent_id)
        if order is None:
            self.tasks.close('')
        else:
            self.tasks.close('its VM is drained', keepers=order.keepers)

    def _news(self) -> News:
        return (
            self._is_stopping,
            self.configuration.version,
            *(
                (report.backend_id, report.leaving, report.slots)
                for report in self.backends.reports()
            ),
        )

    def _beat(self, entry_id: str) -> None:
        session = self.sessions.get(entry_id)
        if session is None:
            return
        self._sequence += 1
        self.calls.sequence = self._sequence
        session.beat(self._sequence, self._clock.now(), self._news())
        self._links.send(
            entry_id,
            Heartbeat(
                self._sequence,
                self.configuration.version,
                self.backends.reports(),
                self.ledger.free,
                self._is_stopping or session.leaving_since is not None,
                self.tasks.usage(),
                self.tasks.worker_boot,
            ),
        )
