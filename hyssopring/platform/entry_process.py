"""Entry process on the platform."""

import uuid
from typing import Any, Final

from hyssopring.clock import (
    MILLIS_PER_SECOND,
    Clock,
    MonotonicClock,
    wall_ms,
)
from hyssopring.jobs.entry_membership import EntryMembership
from hyssopring.jobs.entry_core import JobEntryCore
from hyssopring.jobs.links import LinkDialler, LinkListener
from hyssopring.jobs.messages import (
    PROTOCOL_RELEASE,
    AgentGreeting,
    EntryAddresses,
    EntryGreeting,
    JobsMessage,
)
from hyssopring.jobs.queues import QueueTable
from hyssopring.jobs.relay import RelayedStore
from hyssopring.jobs.scheduling_options import SchedulingOptions
from hyssopring.jobs.stored_configuration import StoredConfiguration
from hyssopring.jobs.times import ENTRY_HEARTBEAT_MS
from hyssopring.lifecycle import Lifecycle
from hyssopring.logs import Event, log_event
from hyssopring.metrics import Metrics
from hyssopring.platform.advice import advice_client_for
from hyssopring.platform.callers import CallersResource
from hyssopring.platform.leaf_site import MAX_BODY_BYTES, LeafSite, SiteLimits
from hyssopring.platform.listening import listen
from hyssopring.platform.metrics import gauge_traffic, serve_metrics
from hyssopring.platform.operator_rows import follow_operator
from hyssopring.platform.readiness import ReadyResource
from hyssopring.platform.settings import NodeSettings
from hyssopring.platform.store import PlatformStore

__all__ = ('EntryProcess',)

# One timer for all periodic work, as each wake-up of a process costs time.
_TICK_INTERVAL_S: Final = 0.2
_POLL_INTERVAL_S: Final = 1.5
# The balancer stops opening connections after two failed checks, which are one
# second apart; meanwhile requests are served, also on open connections.
_DRAIN_DELAY_S: Final = 3.0
_DRAIN_MS: Final = 1500.0
_MAX_CHECK_BYTES: Final = 4096


class EntryProcess:
    """An entry and its connections, ports and timers."""

    def __init__(
        self,
        reactor: Any,
        settings: NodeSettings,
        options: SchedulingOptions,
    ) -> None:
        """Build the core, its clients and its resources; open no port yet."""
        self._reactor = reactor
        self._settings = settings
        self._clock: Clock = MonotonicClock()
        self._metrics = Metrics()
        self._metrics.collect(self._update_gauges)
        direct = PlatformStore(
            reactor,
            settings.platform.address,
            self._metrics,
        )
        store = RelayedStore(reactor, self._clock, direct, self)
        self._membership = EntryMembership(
            reactor,
            self._clock,
            store,
            settings.node_name,
            uuid.uuid4().hex,
            settings.inner_address,
            settings.limits.cpu_quota * settings.limits.cores,
        )
        self._membership.on_entries = self._on_entries
        self.core = JobEntryCore(
            reactor,
            self._clock,
            wall_ms,
            store,
            self._membership,
            self,
            advice_client_for(reactor, settings.recommendation),
            options,
            settings.zone,
        )
        self._dialler = LinkDialler(
            reactor,
            self._clock,
            EntryGreeting(settings.node_name, PROTOCOL_RELEASE),
            _ignore,
            self._handle_message,
            _ignore,
        )
        self._listener = LinkListener(
            self._clock,
            settings.node_name,
            self._on_greeting,
            self._handle_message,
            self.core.agent_disconnected,
        )
        self._callers = CallersResource(self._clock, self.core.job_api)
        self._ready = ReadyResource()
        self._follower = follow_operator(
            reactor,
            settings,
            self.core,
            direct,
            store,
            self._on_configuration,
        )
        self._lifecycle = Lifecycle(reactor, self._clock, 'entry')
        self._is_stopping = False
        self._front_port: Any = None
        self._entry_addresses: list[str] = []

    @property
    def connected_entries(self) -> list[str]:
        """See ``RelayPeers``."""
        return self._dialler.connected

    def release_of(self, entry_id: str) -> int:
        """See ``RelayPeers``."""
        return self._dialler.release_of(entry_id)

    def send_to_entry(self, entry_id: str, message: JobsMessage) -> bool:
        """See ``PeerTransport``."""
        return self._dialler.send(entry_id, message)

    def send_response(self, peer_id: str, message: JobsMessage) -> bool:
        """See ``PeerTransport``."""
        return self._listener.send(peer_id, message)

    def start(self) -> None:
        """Open the ports and start the timers."""
        bind = self._settings.bind_addresses
        limits = SiteLimits.from_limits(self._settings.limits, self._reactor)
        self._front_port = listen(
            self._reactor,
            bind.frontend,
            LeafSite(self._callers, MAX_BODY_BYTES, limits),
        )
        listen(
            self._reactor,
            bind.ready,
            LeafSite(self._ready, _MAX_CHECK_BYTES, limits),
        )
        listen(self._reactor, self._settings.inner_address, self._listener)
        self._dial_seeds()
        self._dialler.tick()
        serve_metrics(self._reactor, self._settings, self._metrics, limits)
        self._follower.start()
        self._membership.tick()
        every = self._lifecycle.every
        every(ENTRY_HEARTBEAT_MS / MILLIS_PER_SECOND, self._renew_membership)
        every(_TICK_INTERVAL_S, self._tick)
        every(_POLL_INTERVAL_S, self.core.poll)
        log_event(
            Event.PROCESS_STARTED,
            role='entry',
            id=self._settings.node_name,
        )

    def reload(self, settings: NodeSettings) -> None:
        """Apply new settings; bound addresses do not change."""
        self._settings = settings

    def stop(self) -> None:
        """Start a graceful shutdown that completes open requests first."""
        if self._is_stopping:
            return
        self._is_stopping = True
        log_event(
            Event.PROCESS_STOPPING,
            calls=self._callers.open_requests,
            tasks=0,
        )
        self._ready.is_ready = False
        self._callers.is_stopping = True
        self.core.release()
        self._reactor.callLater(_DRAIN_DELAY_S, self._drain)

    def _drain(self) -> None:
        self._front_port.stopListening()
        self._lifecycle.drain(self._callers.is_idle, _DRAIN_MS)

    def _renew_membership(self) -> None:
        self._membership.tick()
        self._ready.is_ready = (
            not self._is_stopping
            and self._callers.table is not None
            and self._membership.is_store_reachable
        )

    def _tick(self) -> None:
        self.core.tick()
        self._dialler.tick()
        self._listener.close_silent_connections()

    def _dial_seeds(self) -> None:
        """Dial the seeds, the only peers known without the store."""
        own = self._settings.inner_address
        self._dialler.add_addresses(set(self._settings.seed_addresses) - {own})

    def _update_gauges(self) -> None:
        gauge = self._metrics.gauge
        shards = self.core.owner.shards
        gauge('shards_owned', len(shards.by_shard))
        gauge('jobs_live', len(shards.live_jobs()))
        gauge(
            'lasting_tasks_waiting', self.core.owner.keeper_waits.waiting_count
        )
        learning = self.core.owner.learning
        gauge('learned_pairs', learning.pair_count)
        gauge('learned_run_times', learning.key_count)
        shares = self.core.owner.fair_shares
        gauge('groups_limited', len(shares.limited_groups) if shares else 0)
        stragglers = self.core.owner.stragglers
        if stragglers is not None:
            gauge('copies_running', stragglers.copy_count)
            gauge('workers_slow', stragglers.slow_count)
        gauge('agents_connected', len(self.core.agents))
        gauge('requests_open', self._callers.open_requests)
        gauge('zones_evacuated', len(self.core.evacuations.known.zones))
        table = self._callers.table
        gauge('configuration_version', table.version if table else 0)
        gauge_traffic(
            self._metrics, self._dialler.traffic, self._listener.traffic
        )

    def _on_configuration(
        self,
        table: QueueTable,
        stored: StoredConfiguration,
    ) -> None:
        self._callers.table = table
        self.core.configuration.announce(table.version, stored)

    def _on_entries(self) -> None:
        addresses = sorted(self._membership.addresses.values())
        if addresses != self._entry_addresses:
            self._entry_addresses = addresses
            self._dialler.set_addresses(addresses)
            for agent_id in self.core.agents:
                self.send_response(agent_id, EntryAddresses(addresses))

    def _on_greeting(self, peer_id: str, greeting: JobsMessage) -> None:
        if isinstance(greeting, AgentGreeting):
            self.core.agent_connected(peer_id, greeting.zone)
            self.send_response(peer_id, EntryAddresses(self._entry_addresses))
        else:
            self.core.configuration.announce_to(peer_id)
            self.core.evacuations.announce_to(peer_id)

    def _handle_message(self, peer_id: str, message: JobsMessage) -> None:
        self.core.handle_message(message, peer_id)


def _ignore(_entry_id: str) -> None:
    """Ignore an event of a connection between entries."""
