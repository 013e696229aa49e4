"""The agent's logic without sockets: handles and sends typed messages."""

import random
from dataclasses import dataclass
from functools import singledispatchmethod
from typing import Callable, Protocol

from hyssopring.agent.backend_sizes import BackendSizes
from hyssopring.agent.backends import Backends
from hyssopring.agent.calls import BackendCaller, CallExecutor
from hyssopring.agent.ledger import Ledger
from hyssopring.agent.sessions import (
    HEARTBEAT_INTERVAL_MS,
    EntrySessions,
    RoutingState,
)
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

__all__ = ('HEARTBEAT_INTERVAL_MS', 'AgentCore', 'AgentIdentity', 'AgentLinks')


@dataclass(frozen=True, slots=True)
class AgentIdentity:
    """The identity of one run of an agent process.

    Attributes:
        incarnation: Unique to each run, as an agent keeps no state across runs.
        rack: The VM's rack in its zone.
        capacity: The resources of the VM that may be reserved.
    """

    agent_id: str
    incarnation: str
    zone: str
    rack: str
    capacity: Resources

    def hello(self, proof: str, configuration_version: int) -> Hello:
        """Return the first message that the agent sends on a connection.

        Args:
            proof: Response to the entry's challenge, from the shared secret.
            configuration_version: The version that the agent has applied.
        """
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


def _do_nothing() -> None:
    """Ignore new work: no callback is set."""


class AgentLinks(Protocol):
    """Sends messages to connected entries."""

    def send(self, entry_id: str, message: Message) -> bool:
        """Send a message; return False if the entry is not connected."""

    def broadcast(self, message: Message) -> None:
        """Send a message to every connected entry."""


class AgentCore:
    """The state of one agent: its ledger, calls, tasks and configuration.

    Attributes:
        on_work: Called before each call is handled; the daemon wakes its
            ticker with it.
    """

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
        """Connect the ports to entries, backend servers and the worker.

        Args:
            clock: The VM's clock, in milliseconds.
            identity: Identifies this run of the agent.
            links: Sends messages to entries.
            caller: Sends requests to backend servers.
            worker: Runs tasks.
            metrics: Counters and gauges of the process.
            directory: The known entries; empty by default.
        """
        invariants = Invariants(metrics)
        self._clock = clock
        self._links = links
        self.on_work: Callable[[], None] = _do_nothing
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
        """Whether no call is open and no task may be running.

        A graceful shutdown may end the process then.
        """
        return not self.calls.unfinished and not self.tasks.running

    def on_connected(self, entry_id: str) -> None:
        """Open a session with an entry that accepted this agent."""
        self.sessions.open(entry_id)
        log_event(Event.ENTRY_CONNECTED, entry=entry_id)
        self._send_heartbeat(entry_id)

    def on_disconnected(self, entry_id: str) -> None:
        """Close the session of an entry whose connection was lost."""
        if self.sessions.close(entry_id):
            log_event(Event.ENTRY_DISCONNECTED, entry=entry_id)

    @singledispatchmethod
    def on_message(self, message: Message, entry_id: str) -> None:
        """Handle one message of an entry; ignore unexpected kinds."""

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
            self._apply_drain()
            self._send_heartbeat(entry_id)

    @on_message.register
    def _on_entry_list(self, message: EntryList, entry_id: str) -> None:
        self.directory.update_members(
            entry_id, message.members, message.holders
        )

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
        self.backend_sizes.update_ledger()
        self.tasks.on_start(message)

    @on_message.register
    def _on_stop(self, message: StopTask, entry_id: str) -> None:
        self.tasks.on_stop(message)

    @on_message.register
    def _on_throttle(self, message: ThrottleTask, entry_id: str) -> None:
        self.tasks.on_throttle(message)

    @on_message.register
    def _on_report_ack(self, message: TaskReportAck, entry_id: str) -> None:
        self.tasks.on_report_ack(message.tasks)

    @on_message.register
    def _on_ack(self, message: HeartbeatAck, entry_id: str) -> None:
        session = self.sessions.get(entry_id)
        if session is None:
            return
        sent_at = session.record_ack(message.sequence, message.next_ms)
        if sent_at is None:
            return
        for grant in message.grants:
            self.tasks.on_grant(grant, sent_at)
            report = session.due_report(self.tasks, grant, self._clock.now())
            if report is not None:
                self._links.send(entry_id, report)
        if message.configuration_version > self.configuration.version:
            query = ConfigurationQuery(self.configuration.version)
            self._links.send(entry_id, query)

    def heartbeat(self) -> None:
        """Send the heartbeats that are due; call each second."""
        self._apply_drain()
        self.backend_sizes.update_ledger()
        for entry_id in self.sessions.due_entries(self._routing_state()):
            self._send_heartbeat(entry_id)
        self.directory.pin({status.shard for status in self.tasks.statuses()})
        for source, members in self.directory.pending_announcements().items():
            self._links.send(source, EntryList(members))

    def leave_surplus_entries(self) -> list[str]:
        """Leave surplus entries; return those whose connection may be closed.

        An entry outside the subset first gets a heartbeat that announces a
        stop, as at a shutdown, so that it sends no new work. Its connection
        may be closed once its calls have ended.
        """
        for entry_id in self.sessions.mark_leaving(self.directory.surplus()):
            self._send_heartbeat(entry_id)
        return self.sessions.closable_entries(self.calls.is_awaited_by)

    def tick(self) -> None:
        """Remove silent backend servers; refuse queued calls that expired."""
        self.expire_backends()
        self.calls.tick()

    def expire_backends(self) -> None:
        """Remove backend servers that no longer announce themselves."""
        self.backends.expire()

    def stop(self) -> None:
        """Begin a graceful shutdown.

        New work is refused, open calls finish and tasks are checkpointed.
        """
        self._is_stopping = True
        self.calls.stop()
        self.tasks.set_closed('agent is stopping')
        self.heartbeat()

    def _apply_drain(self) -> None:
        """Apply an operator's drain order, if there is one.

        Each call repeats the stop of tasks whose stop is unconfirmed.
        """
        if self._is_stopping:
            return
        drain_order = self.configuration.drain(self.identity.agent_id)
        if drain_order is None:
            self.tasks.set_closed('')
        else:
            self.tasks.set_closed(
                'its VM is drained', keepers=drain_order.keepers
            )

    def _routing_state(self) -> RoutingState:
        """Return the state whose changes are sent without delay."""
        return (
            self._is_stopping,
            self.configuration.version,
            *(
                (report.backend_id, report.leaving, report.slots)
                for report in self.backends.reports()
            ),
        )

    def _send_heartbeat(self, entry_id: str) -> None:
        session = self.sessions.get(entry_id)
        if session is None:
            return
        self._sequence += 1
        self.calls.last_heartbeat = self._sequence
        session.record_heartbeat(
            self._sequence, self._clock.now(), self._routing_state()
        )
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
