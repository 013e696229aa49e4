"""The entry process: the sockets and timers around the core."""

import random
import time
import uuid
from typing import Any

from hyssopring.addresses import parse_address
from hyssopring.bounded_http import bounded_site
from hyssopring.clock import MILLIS_PER_SECOND, Clock, MonotonicClock
from hyssopring.entry.callers import CallerResource, WaitingCallers
from hyssopring.entry.core import EntryCore, EntryIdentity
from hyssopring.entry.decisions import DecisionLog
from hyssopring.entry.job_table import JobTable
from hyssopring.entry.links import AgentLinks
from hyssopring.entry.operators import OperatorResource
from hyssopring.http_limits import HttpLimits, allowed_unknown_peers
from hyssopring.leases import ShardSettings
from hyssopring.lifecycle import Lifecycle
from hyssopring.logs import Event, listen_to_events, log_event
from hyssopring.metrics import Metrics, gauge_process
from hyssopring.placement import LeaseTimes
from hyssopring.settings import EntrySettings
from hyssopring.store.client import store_queue
from hyssopring.ticker import Ticker

__all__ = ('EntryDaemon',)

_CALL_TICK_S = 0.02
_PLAN_INTERVAL_S = 0.1
_SILENCE_CHECK_INTERVAL_S = 0.25
_POLL_INTERVAL_S = 0.5
_RENEW_INTERVAL_S = 1.0
_HANDSHAKE_CHECK_INTERVAL_S = 1.0
_CLEAN_INTERVAL_S = 5.0
_SECONDS_PER_DAY = 86_400


class EntryDaemon:
    """One running entry."""

    def __init__(
        self,
        reactor: Any,
        settings: EntrySettings,
        clock: Clock | None = None,
    ) -> None:
        """Build the core and its ports; ``start`` opens them."""
        self._reactor = reactor
        self._settings = settings
        self._clock = clock or MonotonicClock()
        self._links = AgentLinks(
            self._clock, settings.inner_secret, allowed_unknown_peers()
        )
        self._waiting = WaitingCallers(settings.inner_secret)
        self._store = store_queue(
            reactor,
            self._clock,
            settings.store_url,
            settings.store_timeout_ms,
        )
        self.core = self._build_core()
        self._links.attach(self.core)
        decisions = DecisionLog()
        listen_to_events(decisions.record)
        self._operators = OperatorResource(
            self.core,
            JobTable(
                self._store,
                self.core.configuration,
                settings.shards,
                self.core.fleet,
            ),
            settings.operator_token,
            decisions,
        )
        self._waiting.on_work = Ticker(
            reactor,
            _CALL_TICK_S,
            self.core.expire_calls,
            lambda: self.core.router.is_busy,
        ).wake
        self._callers = CallerResource(
            self._clock,
            self.core,
            self._waiting,
            settings.default_deadline_ms,
        )
        self._caller_port: Any = None
        self._lifecycle = Lifecycle(reactor, self._clock, 'entry')
        self._limits = HttpLimits.from_settings(
            reactor,
            self._clock,
            settings.max_buffered_bytes,
            settings.max_connections,
        )
        self.core.metrics.collect(self._update_gauges)

    @property
    def links(self) -> AgentLinks:
        """The connections from agents."""
        return self._links

    def start(self) -> None:
        """Open the ports and start the timers."""
        settings = self._settings
        self._listen(settings.inner_address, self._links)
        self._caller_port = self._listen(
            settings.caller_address,
            self._site(self._callers),
        )
        self._listen(settings.operator_address, self._site(self._operators))
        self._lifecycle.every(_PLAN_INTERVAL_S, self.core.plan)
        self._lifecycle.every(
            _SILENCE_CHECK_INTERVAL_S, self.core.close_silent_connections
        )
        self._lifecycle.every(_POLL_INTERVAL_S, self.core.poll_table)
        self._lifecycle.every(
            _HANDSHAKE_CHECK_INTERVAL_S, self._links.close_unauthenticated
        )
        self._lifecycle.every(_RENEW_INTERVAL_S, self.core.renew)
        self._lifecycle.every(_CLEAN_INTERVAL_S, self.core.cleaner.sweep)
        log_event(
            Event.PROCESS_STARTED,
            role='entry',
            id=settings.id,
            callers=settings.caller_address,
        )

    def stop(self) -> None:
        """Begin a graceful shutdown: requests in flight finish first."""
        if not self._operators.is_ready:
            return
        self._operators.is_ready = False
        self._callers.is_ready = False
        log_event(Event.PROCESS_STOPPING, pending=self.core.router.pending)
        # Until the balancer notices, it still sends requests here. They are
        # served, as a refusal now would fail them needlessly.
        notice_s = self._settings.notice_ms / MILLIS_PER_SECOND
        self._reactor.callLater(notice_s, self._end_notice_period)

    def _end_notice_period(self) -> None:
        self._caller_port.stopListening()
        self.core.stop()
        self._lifecycle.drain(
            lambda: not self.core.router.pending,
            self._settings.drain_ms,
        )

    def _build_core(self) -> EntryCore:
        settings = self._settings
        return EntryCore(
            self._clock,
            EntryIdentity(
                settings.id,
                settings.zone,
                settings.inner_address,
                settings.operator_address,
            ),
            self._store,
            self._links,
            self._waiting,
            Metrics(),
            random.Random(uuid.uuid4().int),
            ShardSettings(
                shards=settings.shards,
                lease_ms=settings.shard_lease_ms,
                takeover_ms=settings.shard_takeover_ms,
            ),
            LeaseTimes(
                batch_ttl_ms=settings.batch_lease_ms,
                keeper_ttl_ms=settings.keeper_lease_ms,
            ),
            _day_number,
        )

    def _site(self, resource: Any) -> Any:
        max_body_bytes = self._settings.max_body_bytes
        return bounded_site(resource, max_body_bytes, self._limits)

    def _listen(self, address: str, factory: Any) -> Any:
        host, port = parse_address(address)
        return self._reactor.listenTCP(port, factory, interface=host)

    def _update_gauges(self) -> None:
        metrics = self.core.metrics
        gauge_process(metrics)
        self._limits.gauge(metrics)
        traffic = self._links.traffic
        metrics.gauge('inner_sent_bytes', traffic.bytes_sent)
        metrics.gauge('inner_received_bytes', traffic.bytes_received)
        metrics.gauge('inner_connections', self._links.connected)
        metrics.gauge('store_commits', self._store.commits)
        metrics.gauge('store_reads', self._store.reads)


def _day_number() -> int:
    return int(time.time() // _SECONDS_PER_DAY)
