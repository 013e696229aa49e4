"""Agent process on the platform."""

import random
import uuid
from typing import Any, Final

from hyssopring.clock import MILLIS_PER_SECOND, Clock, MonotonicClock, wall_ms
from hyssopring.jobs.agent_core import JobAgentCore
from hyssopring.jobs.discovery import EntryDiscovery
from hyssopring.jobs.links import LINK_TICK_INTERVAL_S, LinkDialler
from hyssopring.jobs.messages import (
    AgentGreeting,
    EntryAddresses,
    JobsMessage,
)
from hyssopring.jobs.roster_withdrawal import RosterWithdrawal
from hyssopring.jobs.times import REPORT_INTERVAL_MS
from hyssopring.lifecycle import Lifecycle
from hyssopring.logs import Event, log_event
from hyssopring.metrics import Metrics
from hyssopring.platform.leaf_site import MAX_BODY_BYTES, LeafSite, SiteLimits
from hyssopring.platform.listening import listen
from hyssopring.platform.metrics import gauge_traffic, serve_metrics
from hyssopring.platform.reports import ReportsResource
from hyssopring.platform.settings import NodeSettings
from hyssopring.platform.store import PlatformStore
from hyssopring.platform.worker import PlatformWorker

__all__ = ('AgentProcess',)

# Nothing is due soon while the core is settled and no entry has to be dialled.
# Each wake-up of an idle process costs about as much as the work of a tick. A
# report to an owner is due at each second tick, also if ticks are not exactly
# periodic.
_QUIET_TICK_INTERVAL_S: Final = (
    1.04 * REPORT_INTERVAL_MS / 2 / MILLIS_PER_SECOND
)
# Part of the grace period of a stop that is reserved for the last messages.
_LAST_MESSAGES_S: Final = 0.8


class AgentProcess:
    """An agent and its connections, ports and timers."""

    def __init__(self, reactor: Any, settings: NodeSettings) -> None:
        """Build the core, its clients and its resources; open no port yet."""
        self._reactor = reactor
        self._settings = settings
        self._clock: Clock = MonotonicClock()
        self._metrics = Metrics()
        self._metrics.collect(self._update_gauges)
        store = PlatformStore(reactor, settings.platform.address, self._metrics)
        self.core = JobAgentCore(
            reactor,
            self._clock,
            PlatformWorker(reactor, settings.app),
            self._send,
            wall_ms,
            RosterWithdrawal(self._clock, store, settings.node_name),
            lambda entry_id: self._dialler.release_of(entry_id),
            settings.zone,
        )
        self._dialler = LinkDialler(
            reactor,
            self._clock,
            AgentGreeting(settings.node_name, settings.zone),
            self.core.connected,
            self._handle_message,
            self.core.disconnected,
        )
        self._discovery = EntryDiscovery(
            self._clock,
            store,
            self._dialler,
            random.Random(uuid.uuid4().int),
        )
        self._reports = ReportsResource(
            self.core.monitor.announce,
            self.core.monitor.deregister,
            settings.own_hosts,
        )
        self._is_stopping = False
        self._lifecycle = Lifecycle(reactor, self._clock, 'agent')

    def start(self) -> None:
        """Open the ports and start the timers."""
        settings = self._settings
        limits = SiteLimits.from_limits(settings.limits, self._reactor)
        listen(
            self._reactor,
            settings.bind_addresses.control_plane,
            LeafSite(self._reports, MAX_BODY_BYTES, limits),
        )
        serve_metrics(self._reactor, settings, self._metrics, limits)
        self._dialler.add_addresses(settings.seed_addresses)
        self._tick()
        log_event(Event.PROCESS_STARTED, role='agent', id=settings.node_name)

    def reload(self, settings: NodeSettings) -> None:
        """Apply new settings, which may have other seeds."""
        self._settings = settings
        self._dialler.add_addresses(settings.seed_addresses)

    def stop(self) -> None:
        """Stop promptly; the worker runs its tasks on until the next agent.

        If the worker leaves or does not respond, wait first until nothing runs
        there and no roster lists the agent, as far as the grace period allows.
        """
        if self._is_stopping:
            return
        self._is_stopping = True
        self.core.stop()
        log_event(
            Event.PROCESS_STOPPING,
            calls=0,
            tasks=len(self.core.table.by_task),
        )
        wait_s = max(0, self._settings.bounds.grace_s - _LAST_MESSAGES_S)
        self._lifecycle.drain(
            lambda: self.core.shutdown.can_exit,
            wait_s * MILLIS_PER_SECOND,
        )

    def _update_gauges(self) -> None:
        gauge = self._metrics.gauge
        gauge('attempts_running', len(self.core.table.by_task))
        gauge('worker_silent_ms', self.core.monitor.silent_ms)
        gauge('agent_settled', int(self.core.is_settled))
        gauge('entries_connected', len(self._dialler.connected))
        gauge('zones_evacuated', len(self.core.own_zone.evacuations.zones))
        gauge_traffic(self._metrics, self._dialler.traffic)

    def _tick(self) -> None:
        is_quiet = self.core.is_settled and self._dialler.is_complete
        interval_s = (
            _QUIET_TICK_INTERVAL_S if is_quiet else LINK_TICK_INTERVAL_S
        )
        self._reactor.callLater(interval_s, self._tick)
        self._dialler.tick()
        self._discovery.tick()
        self.core.tick()

    def _send(self, entry_id: str, message: JobsMessage) -> None:
        self._dialler.send(entry_id, message)

    def _handle_message(self, entry_id: str, message: JobsMessage) -> None:
        if isinstance(message, EntryAddresses):
            self._dialler.add_addresses(message.addresses)
        else:
            self.core.handle_message(message, entry_id)
