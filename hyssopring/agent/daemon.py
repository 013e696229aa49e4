"""The agent process: owns the sockets and timers around the core."""

import random
import uuid
from typing import Any

from hyssopring.addresses import parse_address
from hyssopring.agent.announce import AnnounceResource
from hyssopring.agent.core import (
    HEARTBEAT_INTERVAL_MS,
    AgentCore,
    AgentIdentity,
)
from hyssopring.agent.http_clients import HttpBackendCaller, HttpWorker
from hyssopring.agent.links import EntryLinks
from hyssopring.bounded_http import bounded_site
from hyssopring.clock import MILLIS_PER_SECOND, Clock, MonotonicClock
from hyssopring.http_limits import HttpLimits
from hyssopring.lifecycle import Lifecycle
from hyssopring.logs import Event, log_event
from hyssopring.membership import EntryDirectory
from hyssopring.metrics import Metrics, gauge_process
from hyssopring.settings import AgentSettings
from hyssopring.ticker import Ticker

__all__ = ('AgentDaemon',)

_CALLS_TICK_S = 0.02
_CONNECTIONS_TICK_S = 0.1
_SILENCE_CHECK_INTERVAL_S = 0.25
_LISTING_INTERVAL_S = 0.5
_LEASES_TICK_S = 1.0
_PROGRESS_INTERVAL_S = 10.0
_MAX_ANNOUNCEMENT_BYTES = 65_536
_MAX_BUFFERED_BYTES = 16 * _MAX_ANNOUNCEMENT_BYTES


class AgentDaemon:
    """One running agent.

    Attributes:
        core: The agent's logic, which owns no sockets.
    """

    def __init__(
        self,
        reactor: Any,
        settings: AgentSettings,
        clock: Clock | None = None,
    ) -> None:
        """Build the core and its connections; ``start`` opens the port.

        Args:
            reactor: The Twisted reactor.
            settings: The agent's settings file.
            clock: The VM's clock, in milliseconds; monotonic by default.
        """
        self._reactor = reactor
        self._settings = settings
        self._clock = clock or MonotonicClock()
        incarnation = uuid.uuid4().hex
        self._worker = HttpWorker(reactor, settings.worker_url, incarnation)
        self._links = EntryLinks(
            reactor,
            self._clock,
            settings.inner_secret,
        )
        self.core = AgentCore(
            self._clock,
            AgentIdentity(
                settings.id,
                incarnation,
                settings.zone,
                settings.rack,
                settings.capacity.to_resources(),
            ),
            self._links,
            HttpBackendCaller(reactor),
            self._worker,
            Metrics(),
            EntryDirectory(
                self._clock,
                settings.id,
                settings.entries,
                random.Random(uuid.uuid4().int),
            ),
        )
        self._links.attach(self.core)
        self._announce = AnnounceResource(self.core)
        self.core.on_work = Ticker(
            reactor,
            _CALLS_TICK_S,
            self.core.tick,
            lambda: bool(self.core.calls.unfinished),
        ).wake
        self._lifecycle = Lifecycle(reactor, self._clock, 'agent')
        self._limits = HttpLimits.from_settings(
            reactor, self._clock, _MAX_BUFFERED_BYTES, settings.max_connections
        )
        self.core.metrics.collect(self._update_gauges)

    def start(self) -> None:
        """Open the port, dial the entries, start the timers."""
        host, port = parse_address(self._settings.announce_address)
        site = bounded_site(
            self._announce, _MAX_ANNOUNCEMENT_BYTES, self._limits
        )
        self._reactor.listenTCP(port, site, interface=host)
        self._lifecycle.every(_CONNECTIONS_TICK_S, self._tick_connections)
        self._lifecycle.every(_LEASES_TICK_S, self.core.tasks.tick)
        self._lifecycle.every(
            HEARTBEAT_INTERVAL_MS / MILLIS_PER_SECOND,
            self.core.heartbeat,
        )
        self._lifecycle.every(
            _SILENCE_CHECK_INTERVAL_S, self._links.close_silent_connections
        )
        self._lifecycle.every(_LISTING_INTERVAL_S, self._list_tasks)
        self._lifecycle.every(
            _PROGRESS_INTERVAL_S, self.core.tasks.report_progress
        )
        log_event(Event.PROCESS_STARTED, role='agent', id=self._settings.id)

    def stop(self) -> None:
        """Begin a graceful shutdown: calls in flight finish first."""
        if not self._announce.is_ready:
            return
        self._announce.is_ready = False
        log_event(
            Event.PROCESS_STOPPING,
            calls=self.core.calls.unfinished,
            tasks=self.core.tasks.running,
        )
        self.core.stop()
        self._lifecycle.drain(
            lambda: self.core.is_idle,
            self._settings.drain_ms,
        )

    def _update_gauges(self) -> None:
        metrics = self.core.metrics
        gauge_process(metrics)
        self._limits.gauge(metrics)
        traffic = self._links.traffic
        metrics.gauge('inner_sent_bytes', traffic.bytes_sent)
        metrics.gauge('inner_received_bytes', traffic.bytes_received)
        metrics.gauge('inner_connections', self._links.connected)
        metrics.gauge('tasks_running', self.core.tasks.running)

    def _tick_connections(self) -> None:
        self.core.expire_backends()
        self._links.dial()

    def _list_tasks(self) -> None:
        requested_at = self._clock.now()
        self._worker.list(
            lambda listing: self.core.tasks.on_listing(listing, requested_at),
        )
