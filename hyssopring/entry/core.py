"""The entry's logic without sockets: typed messages in and out."""

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
    """Who this entry is, from its settings."""

    entry_id: str
    zone: str
    inner_address: str
    operator_address: str = ''

    @property
    def member(self) -> EntryMember:
        """What agents and other entries are told of this one."""
        return EntryMember(self.entry_id, self.inner_address, self.zone)


def _first_day() -> int:
    return 0


class EntryCore:
    """One entry: routing, configuration, membership and planning."""

    def __init__(  # noqa: WPS211 -- each port comes by itself
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
        today: Callable[[], int] = _first_day,
    ) -> None:
        """Take the ports to agents, callers and the table service.

        ``today`` numbers the days; entries' calendars may differ by one.
        """
        self._clock = clock
        self._links = links
        self.identity = identity
        self._guard = IncarnationGuard(clock)
        self._roster = EntryRoster(clock, identity.member)
        self._told = EntryList(())
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
        """The clock that this entry goes by."""
        return self._clock

    def refusal(self, hello: Hello) -> Failure | None:
        """Say why an agent whose proof was good may not connect."""
        if hello.version != PROTOCOL_VERSION:
            detail = f'version {hello.version}, not {PROTOCOL_VERSION}'
            return Failure(ErrorKind.PROTOCOL, detail)
        if self._guard.admits(hello.agent_id, hello.incarnation):
            return None
        detail = f'another process runs as {hello.agent_id}'
        return Failure(ErrorKind.CONFLICT, detail)

    def on_hello(self, hello: Hello) -> AgentRecord:
        """Take in an agent whose proof was good; it replaces an older link."""
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
        self._ask_if_behind(record)
        self.router.on_connect(record)
        return record

    def on_disconnected(self, record: AgentRecord) -> None:
        """The connection of this record is gone."""
        if self.fleet.agent(record.agent_id) is not record:
            return
        self.fleet.disconnect(record.agent_id)
        log_event(Event.AGENT_DISCONNECTED, agent=record.agent_id)
        self.router.on_disconnect(record)
        self.planner.on_disconnected(record.agent_id)

    def on_message(self, message: Message, record: AgentRecord) -> None:
        """Take one message from an agent."""
        self.router.liveness.heard(record)
        self._take(message, record)

    @singledispatchmethod
    def _take(self, message: Message, record: AgentRecord) -> None:
        """Messages of other kinds than these say only that it lives."""

    @_take.register
    def _on_response(self, message: CallResponse, record: AgentRecord) -> None:
        self.router.on_response(record, message)

    @_take.register
    def _on_heartbeat(self, message: Heartbeat, record: AgentRecord) -> None:
        self._invariants.check(
            message.configuration_version >= record.configuration_version,
            'an accepted configuration never reverts',
            record.agent_id,
        )
        self.fleet.heartbeat(record, message, self._clock.now())
        self._ask_if_behind(record)
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

    @_take.register
    def _on_report(self, message: TaskReport, record: AgentRecord) -> None:
        self.planner.on_report(record, message)

    @_take.register
    def _on_configuration_query(
        self,
        message: ConfigurationQuery,
        record: AgentRecord,
    ) -> None:
        update = self.configuration.update_since(message.version)
        self._links.send(record.agent_id, update)

    @_take.register
    def _on_update(
        self,
        message: ConfigurationUpdate,
        record: AgentRecord,
    ) -> None:
        self.configuration_keeper.adopt(message)

    @_take.register
    def _on_entry_list(self, message: EntryList, record: AgentRecord) -> None:
        self._roster.heard(message.members)

    def tick(self) -> None:
        """Let deadlines take effect; place waiting tasks."""
        self.expire_calls()
        self.plan()

    def expire_calls(self) -> None:
        """Give up the calls whose time is up; call each 20 ms if any."""
        self.router.tick()

    def plan(self) -> None:
        """Place waiting tasks and write what changed; call each 100 ms."""
        self.planner.tick()

    def drop_silent(self) -> None:
        """Abort connections on which nothing was heard for too long."""
        for record in self.fleet.agents:
            quiet = self.router.liveness.quiet_ms(record)
            if quiet > silence_timeout_ms(record.heartbeat_interval_ms):
                log_event(Event.CONNECTION_SILENT, agent=record.agent_id)
                self._links.drop(record.agent_id)

    def poll_table(self) -> None:
        """Read what changed in the table; call each 500 ms."""
        self.configuration_keeper.poll()
        self.planner.poll()

    def renew(self) -> None:
        """Renew this entry's own lease; call each second."""
        registry = self.shards.registry
        self._roster.listed(registry.members)
        entry_list = self._entry_list()
        if entry_list != self._told:
            self._told = entry_list
            self.router.admission.entry_count = len(entry_list.members)
            for record in self.fleet.agents:
                self._links.send(record.agent_id, entry_list)
        registry.configuration_version = self.configuration.version
        registry.lowest_agent_version = self.fleet.lowest_version()
        self.shards.poll()

    @property
    def why_not_ready(self) -> str:
        """Why a balancer should send nothing here, empty if it may."""
        return self._readiness.why_not

    def stop(self) -> None:
        """Begin a planned stop: nothing new, calls in flight finish."""
        self.router.stop()
        self.shards.release()

    def _entry_list(self) -> EntryList:
        return EntryList(self._roster.members, self.shards.holders)

    def _ask_if_behind(self, record: AgentRecord) -> None:
        """Learn the configuration from an agent that is ahead.

        A fresh entry has nothing else to learn from while the table service
        is down; nor has one that was cut from it when a change was accepted.
        """
        if record.configuration_version > self.configuration.version:
            query = ConfigurationQuery(self.configuration.version)
            self._links.send(record.agent_id, query)

    def _push_configuration(self, update: ConfigurationUpdate) -> None:
        for record in self.fleet.agents:
            record.is_stopping |= self.configuration.is_drained(record.agent_id)
            known = record.configuration_version
            lacking = (
                update
                if known == update.base_version
                else self.configuration.update_since(known)
            )
            self._links.send(record.agent_id, lacking)
