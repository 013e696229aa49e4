"""The entry's process on the platform."""

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
from hyssopring.jobs.links import (
    LINK_TICK_INTERVAL_S,
    LinkDialler,
    LinkListener,
)
from hyssopring.jobs.messages import (
    AgentGreeting,
    EntryAddresses,
    EntryGreeting,
    JobsMessage,
)
from hyssopring.jobs.queues import QueueTable
from hyssopring.jobs.relay import RelayedStore
from hyssopring.jobs.stored_configuration import StoredConfiguration
from hyssopring.jobs.times import RENEW_MS
from hyssopring.lifecycle import Lifecycle
from hyssopring.logs import Event, log_event
from hyssopring.metrics import Metrics
from hyssopring.platform.advice import advice_port
from hyssopring.platform.callers import CallersResource
from hyssopring.platform.configuration import ConfigurationFollower
from hyssopring.platform.listening import listen
from hyssopring.platform.metrics import serve_metrics
from hyssopring.platform.readiness import ReadyResource
from hyssopring.platform.settings import NodeSettings
from hyssopring.platform.store import PlatformStore
from hyssopring.web_server import QuietSite

__all__ = ('EntryProcess',)

_OWNER_TURN_S: Final = 0.2
_POLL_S: Final = 1.5
# The balancer sends no new connections after two missed checks, a second
# apart; requests on open connections are served for this long as well.
_LINGER_S: Final = 3.0
_DRAIN_MS: Final = 1500.0


class EntryProcess:
    """One running entry."""

    def __init__(self, reactor: Any, settings: NodeSettings) -> None:
        """Build the core and its shell; ``start`` opens the ports."""
        self._reactor = reactor
        self._settings = settings
        self._clock: Clock = MonotonicClock()
        self._metrics = Metrics()
        self._metrics.collect(self._gauge)
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
        self._membership.on_entries = self._entries_known
        self.core = JobEntryCore(
            reactor,
            self._clock,
            wall_ms,
            store,
            self._membership,
            self,
            advice_port(reactor, settings.recommendation),
        )
        self._dialler = LinkDialler(
            reactor,
            self._clock,
            EntryGreeting(settings.node_name),
            _ignore,
            self._take,
            _ignore,
        )
        self._listener = LinkListener(
            self._clock,
            settings.node_name,
            self._greeted,
            self._take,
            self.core.agent_disconnected,
        )
        self._callers = CallersResource(self._clock, self.core.job_api)
        self._ready = ReadyResource()
        # Not through peers: they tell of a newer configuration by themselves,
        # and pass it on in less than the whole answer that a relay would.
        self._follower = ConfigurationFollower(
            reactor,
            direct,
            self._configured,
        )
        self.core.configuration.on_stored = self._follower.take_from_peer
        self._lifecycle = Lifecycle(reactor, self._clock, 'entry')
        self._is_stopping = False
        self._addresses: list[str] = []

    @property
    def connected_entries(self) -> list[str]:
        """See ``RelayPeers``."""
        return self._dialler.connected

    def to_entry(self, entry_id: str, message: JobsMessage) -> bool:
        """See ``PeerTransport``."""
        return self._dialler.send(entry_id, message)

    def answer(self, peer_id: str, message: JobsMessage) -> bool:
        """See ``PeerTransport``."""
        return self._listener.send(peer_id, message)

    def start(self) -> None:
        """Open the ports and begin."""
        bind = self._settings.bind_addresses
        listen(self._reactor, bind.frontend, QuietSite(self._callers))
        listen(self._reactor, bind.ready, QuietSite(self._ready))
        listen(self._reactor, self._settings.inner_address, self._listener)
        self._learn_seeds()
        serve_metrics(self._reactor, self._settings, self._metrics)
        self._follower.start()
        self._membership.tick()
        every = self._lifecycle.every
        every(RENEW_MS / MILLIS_PER_SECOND, self._renew)
        every(_OWNER_TURN_S, self.core.tick)
        every(_POLL_S, self.core.poll)
        every(LINK_TICK_INTERVAL_S, self._dialler.tick)
        every(_OWNER_TURN_S, self._listener.close_silent_connections)
        log_event(
            Event.PROCESS_STARTED,
            role='entry',
            id=self._settings.node_name,
        )

    def reload(self, settings: NodeSettings) -> None:
        """Take new settings; addresses that are bound stay as they are."""
        self._settings = settings

    def stop(self) -> None:
        """Begin a graceful shutdown: open requests are answered first."""
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
        self._reactor.callLater(_LINGER_S, self._drain)

    def _drain(self) -> None:
        self._lifecycle.drain(
            lambda: not self._callers.open_requests,
            _DRAIN_MS,
        )

    def _renew(self) -> None:
        self._membership.tick()
        self._ready.is_ready = (
            not self._is_stopping
            and self._callers.table is not None
            and self._membership.is_store_reachable
        )

    def _learn_seeds(self) -> None:
        """Dial the seeds: an entry that the store turns away has these only."""
        own = self._settings.inner_address
        self._dialler.add_addresses(set(self._settings.seed_addresses) - {own})

    def _gauge(self) -> None:
        gauge = self._metrics.gauge
        shards = self.core.owner.shards
        gauge('shards_owned', len(shards.by_shard))
        gauge('jobs_live', len(shards.live_jobs()))
        gauge('lasting_tasks_waiting', self.core.owner.waits.waiting)
        gauge('agents_connected', len(self.core.agents))
        gauge('requests_open', self._callers.open_requests)
        table = self._callers.table
        gauge('configuration_version', table.version if table else 0)

    def _configured(
        self,
        table: QueueTable,
        stored: StoredConfiguration,
    ) -> None:
        self._callers.table = table
        self.core.configuration.applied(table.version, stored)

    def _entries_known(self) -> None:
        addresses = sorted(self._membership.addresses.values())
        if addresses != self._addresses:
            self._addresses = addresses
            self._dialler.set_addresses(addresses)
            for agent_id in self.core.agents:
                self.answer(agent_id, EntryAddresses(addresses))

    def _greeted(self, peer_id: str, greeting: JobsMessage) -> None:
        if isinstance(greeting, AgentGreeting):
            self.core.agent_connected(peer_id, greeting.zone)
            self.answer(peer_id, EntryAddresses(self._addresses))
        else:
            self.core.configuration.greeted(peer_id)

    def _take(self, peer_id: str, message: JobsMessage) -> None:
        self.core.handle_message(message, peer_id)


def _ignore(_entry_id: str) -> None:
    """Nothing depends on connections between entries being open."""
