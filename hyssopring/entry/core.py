"""The entry's logic, independent of sockets: typed messages in and out."""

import random
from dataclasses import dataclass
from functools import singledispatchmethod
from typing import Callable

from hyssopring.clock import Clock
from hyssopring.configuration import ConfigurationManager, ConfigurationState
from hyssopring.entry.calls import Callers, Links
from hyssopring.entry.claim_cleaner import ClaimCleaner
from hyssopring.entry.claims import ClaimTable
from hyssopring.entry.readiness import Readiness
from hyssopring.entry.router import CallRouter
from hyssopring.errors import ErrorKind, Failure
from hyssopring.invariants import Invariants
from hyssopring.leases import ShardHolder, ShardSettings
from hyssopring.logs import Event, log_event
from hyssopring.membership import (
    AgentRecord,
    EntryRoster,
    Fleet,
    IncarnationGuard,
    heartbeat_interval_ms,
    silence_timeout_ms,
)
from hyssopring.metrics import Metrics
from hyssopring.placement import LeaseTimes, Planner, PlannerPorts
from hyssopring.protocol.messages import (
    PROTOCOL_VERSION,
    CallResponse,
    ConfigurationQuery,
    ConfigurationUpdate,
    EntryList,
    EntryMember,
    Heartbeat,
    HeartbeatAck,
    Hello,
    Message,
    TaskReport,
    Welcome,
)
from hyssopring.store import Store

__all__ = ('EntryCore', 'EntryIdentity')


@dataclass(frozen=True, slots=True)
class EntryIdentity:
    """Identity, zone and addresses of this entry, from its settings."""

    entry_id: str
    zone: str
    inner_address: str
    operator_address: str = ''

    @property
    def member(self) -> EntryMember:
        """The record of this entry that agents and other entries receive."""
        return EntryMember(self.entry_id, self.inner_address, self.zone)


def _day_zero() -> int:
    return 0


class EntryCore:
    """One entry: routing, configuration, membership and planning."""

    def __init__(  # noqa: WPS211 -- each port is a separate argument
        self,
        clock: Clock,
        identity: EntryIdentity,
        store: Store,
        links: Links,
        callers: Callers,
        metrics: Metrics,
        rng: random.Random,
        shard_settings: ShardSettings = ShardSettings(),
        lease_times: LeaseTimes = LeaseTimes(),
        today: Callable[[], int] = _day_zero,
    ) -> None:
        """Connect the core to agents, callers and the table service.

        Args:
            clock: The clock for all timeouts.
            identity: Name, zone and addresses of this entry.
            store: The table service.
            links: Sends messages to connected agents.
            callers: Sends responses to callers.
            metrics: Receives counters and gauges.
            rng: Source of randomness for routing and retry delays.
            shard_settings: Number of shards, and times of their leases.
            lease_times: Durations of the task leases granted to agents.
            today: Returns the number of the current day; the calendars of
                two entries may differ by one day.
        """
        self._clock = clock
        self._links = links
        self.identity = identity
        self._guard = IncarnationGuard(clock)
        self._roster = EntryRoster(clock, identity.member)
        self._sent_entry_list = EntryList(())
        self.metrics = metrics
        self._invariants = Invariants(metrics)
        self.fleet = Fleet()
        self.configuration = ConfigurationState()
        self.configuration_keeper = ConfigurationManager(
            self.configuration,
            store,
            self._push_configuration,
        )
        self.router = CallRouter(
            clock,
            identity.zone,
            self.fleet,
            self.configuration,
            links,
            callers,
            metrics,
            rng,
            ClaimTable(clock, store, today, metrics),
        )
        self._readiness = Readiness(clock, self.configuration, self.fleet)
        self.cleaner = ClaimCleaner(store, today, rng)
        self.planner = Planner(
            store,
            PlannerPorts(
                clock,
                self.fleet,
                self.configuration,
                links,
                metrics,
                lease_times,
            ),
        )
        self.shards = ShardHolder(
            clock,
            store,
            identity.member,
            self.planner.on_acquired,
            self.planner.on_lost,
            shard_settings,
        )
        self.shards.registry.operator_address = identity.operator_address
        self.planner.attach(self.shards)

    @property
    def clock(self) -> Clock:
        """The clock for all timeouts of this entry."""
        return self._clock

    def admission_failure(self, hello: Hello) -> Failure | None:
        """Return why an authenticated agent may not connect, or None."""
        if hello.version != PROTOCOL_VERSION:
            detail = f'version {hello.version}, not {PROTOCOL_VERSION}'
            return Failure(ErrorKind.PROTOCOL, detail)
        if self._guard.admits(hello.agent_id, hello.incarnation):
            return None
        detail = f'another process runs as {hello.agent_id}'
        return Failure(ErrorKind.CONFLICT, detail)

    def on_hello(self, hello: Hello) -> AgentRecord:
        """Register an authenticated agent and send it the entry's state.

        The new connection replaces an older one of the same agent.
        """
        older = self.fleet.agent(hello.agent_id)
        if older is not None:
            self.on_disconnected(older)
        record = self.fleet.connect(hello, self._clock.now())
        record.is_stopping = self.configuration.is_drained(hello.agent_id)
        log_event(
            Event.AGENT_CONNECTED,
            agent=hello.agent_id,
            zone=hello.zone,
            rack=hello.rack,
        )
        self._links.send(
            hello.agent_id,
            Welcome(self.identity.entry_id, self.configuration.version),
        )
        self._links.send(hello.agent_id, self._entry_list())
        self._query_if_behind(record)
        self.router.on_connect(record)
        return record

    def on_disconnected(self, record: AgentRecord) -> None:
        """Remove an agent whose connection was closed.

        Do nothing if a newer connection has replaced this record.
        """
        if self.fleet.agent(record.agent_id) is not record:
            return
        self.fleet.disconnect(record.agent_id)
        log_event(Event.AGENT_DISCONNECTED, agent=record.agent_id)
        self.router.on_disconnect(record)
        self.planner.on_disconnected(record.agent_id)

    def on_message(self, message: Message, record: AgentRecord) -> None:
        """Handle one message from an agent."""
        self.router.liveness.on_message(record)
        self._dispatch(message, record)

    @singledispatchmethod
    def _dispatch(self, message: Message, record: AgentRecord) -> None:
        """Ignore other kinds of messages; they only prove liveness."""

    @_dispatch.register
    def _on_response(self, message: CallResponse, record: AgentRecord) -> None:
        self.router.on_response(record, message)

    @_dispatch.register
    def _on_heartbeat(self, message: Heartbeat, record: AgentRecord) -> None:
        self._invariants.check(
            message.configuration_version >= record.configuration_version,
            'an accepted configuration never reverts',
            record.agent_id,
        )
        self.fleet.heartbeat(record, message, self._clock.now())
        self._query_if_behind(record)
        record.is_stopping |= self.configuration.is_drained(record.agent_id)
        self.planner.on_heartbeat(record)
        record.heartbeat_interval_ms = heartbeat_interval_ms(len(self.fleet))
        ack = HeartbeatAck(
            message.sequence,
            self.configuration.version,
            self.planner.grant_leases(record),
            record.heartbeat_interval_ms,
        )
        self._links.send(record.agent_id, ack)

    @_dispatch.register
    def _on_report(self, message: TaskReport, record: AgentRecord) -> None:
        self.planner.on_report(record, message)

    @_dispatch.register
    def _on_configuration_query(
        self,
        message: ConfigurationQuery,
        record: AgentRecord,
    ) -> None:
        update = self.configuration.update_since(message.version)
        self._links.send(record.agent_id, update)

    @_dispatch.register
    def _on_update(
        self,
        message: ConfigurationUpdate,
        record: AgentRecord,
    ) -> None:
        self.configuration_keeper.adopt(message)

    @_dispatch.register
    def _on_entry_list(self, message: EntryList, record: AgentRecord) -> None:
        self._roster.add_reported(message.members)

    def tick(self) -> None:
        """Fail calls past their deadline and place waiting tasks."""
        self.expire_calls()
        self.plan()

    def expire_calls(self) -> None:
        """Fail the calls past their deadline; call every 20 ms if any."""
        self.router.tick()

    def plan(self) -> None:
        """Place waiting tasks and write the changes; call every 100 ms."""
        self.planner.tick()

    def close_silent_connections(self) -> None:
        """Abort connections that exceeded their silence timeout."""
        for record in self.fleet.agents:
            silent_ms = self.router.liveness.silent_ms(record)
            if silent_ms > silence_timeout_ms(record.heartbeat_interval_ms):
                log_event(Event.CONNECTION_SILENT, agent=record.agent_id)
                self._links.drop(record.agent_id)

    def poll_table(self) -> None:
        """Read changes of the table; call every 500 ms."""
        self.configuration_keeper.poll()
        self.planner.poll()

    def renew(self) -> None:
        """Renew this entry's own lease; call every second.

        A changed list of entries is sent to all connected agents.
        """
        registry = self.shards.registry
        self._roster.set_registered(registry.members)
        entry_list = self._entry_list()
        if entry_list != self._sent_entry_list:
            self._sent_entry_list = entry_list
            self.router.admission.entry_count = len(entry_list.members)
            for record in self.fleet.agents:
                self._links.send(record.agent_id, entry_list)
        registry.configuration_version = self.configuration.version
        registry.lowest_agent_version = self.fleet.lowest_version()
        self.shards.poll()

    @property
    def not_ready_reason(self) -> str:
        """Why a balancer should not send requests here, or empty."""
        return self._readiness.not_ready_reason

    def stop(self) -> None:
        """Begin a graceful shutdown: refuse new calls, release the shards."""
        self.router.stop()
        self.shards.release()

    def _entry_list(self) -> EntryList:
        return EntryList(self._roster.members, self.shards.holders)

    def _query_if_behind(self, record: AgentRecord) -> None:
        """Query an agent whose configuration is newer than this entry's.

        Agents are the only source for an entry that starts while the table
        service is down, or that could not reach it when a change was accepted.
        """
        if record.configuration_version > self.configuration.version:
            query = ConfigurationQuery(self.configuration.version)
            self._links.send(record.agent_id, query)

    def _push_configuration(self, update: ConfigurationUpdate) -> None:
        for record in self.fleet.agents:
            record.is_stopping |= self.configuration.is_drained(record.agent_id)
            known = record.configuration_version
            missing_update = (
                update
                if known == update.base_version
                else self.configuration.update_since(known)
            )
            self._links.send(record.agent_id, missing_update)
