"""Message handling of an entry: its agents, its shards and its peers."""

from dataclasses import replace
from functools import singledispatchmethod
from typing import Any, Callable, Final

from hyssopring.clock import Clock
from hyssopring.jobs.advice_client import AdviceClient
from hyssopring.jobs.cancel_notices import CancelNotices
from hyssopring.jobs.documents import JobRow
from hyssopring.jobs.entry_membership import EntryMembership
from hyssopring.jobs.fleet import Fleet
from hyssopring.jobs.former_owner import AcquiredShard
from hyssopring.jobs.handover import ReleasedShards, release_message
from hyssopring.jobs.job_api import JobApi
from hyssopring.jobs.messages import (
    AgentLeft,
    CancelNotice,
    Grant,
    JobNotice,
    JobsMessage,
    JobStateRequest,
    JobStateResponse,
    OwnedShardsRequest,
    OwnedShardsResponse,
    PendingJobsRequest,
    PendingJobsResponse,
    ShardReleased,
    StartRefusal,
    WorkerReport,
)
from hyssopring.jobs.owned_shard import (
    OwnedShard,
    ShardEvents,
)
from hyssopring.jobs.owner import JobOwner
from hyssopring.jobs.peer_requests import PeerRequests
from hyssopring.jobs.relay import RelayedStore, RelayPeers
from hyssopring.jobs.relay_messages import (
    RelayedChanges,
    RelayedCommit,
    RelayedRead,
    RelayedResponse,
)
from hyssopring.jobs.scheduling_options import SchedulingOptions
from hyssopring.jobs.shards import shard_of
from hyssopring.jobs.shared_state import SharedState
from hyssopring.jobs.witnesses import Witnesses
from hyssopring.logs import Event, log_event

__all__ = ('JobEntryCore',)

# Callers request the state of ended jobs for two minutes.
_JOB_RETENTION_MS: Final = 180_000.0


class JobEntryCore:
    """Handles messages of agents and other entries.

    Attributes:
        fleet: The agents known to this entry.
        owner: Plans the owned shards.
        configuration: The configuration that the entries share.
        evacuations: The evacuated zones that entries and agents share.
        job_api: Serves callers' requests about jobs.
    """

    def __init__(
        self,
        reactor: Any,
        clock: Clock,
        wall_ms: Callable[[], float],
        store: RelayedStore,
        membership: EntryMembership,
        peers: RelayPeers,
        advice: AdviceClient,
        options: SchedulingOptions | None = None,
        zone: str = '',
    ) -> None:
        """Build the owner and connect the membership's callbacks.

        Args:
            options: The optional parts of scheduling; None for none of them.
            zone: The availability zone of this entry.
        """
        self._options = options or SchedulingOptions()
        self._reactor = reactor
        self._clock = clock
        self._wall_ms = wall_ms
        self._store = store
        self._membership = membership
        self._peers = peers
        self._released_shards = ReleasedShards()
        self._shared = SharedState(reactor, clock, peers, lambda: self.agents)
        self.configuration = self._shared.configuration
        self.evacuations = self._shared.evacuations
        self.fleet = Fleet(
            clock,
            membership.incarnation,
            self.evacuations.known.allows_starts,
        )
        self.owner = JobOwner(
            reactor,
            clock,
            self.fleet,
            peers.send_response,
            self._may_act,
            wall_ms,
            self._on_ownership_lost,
            advice,
            self._options,
        )
        self._requests = PeerRequests(reactor, peers)
        self._witnesses = Witnesses(clock, peers, self._requests)
        self.owner.shards.vouched_at = self._witnesses.vouched_at
        self._cancel_notices = CancelNotices(
            clock, peers, self._requests, lambda: self.agents
        )
        self.job_api = JobApi(
            reactor,
            clock,
            wall_ms,
            store,
            membership,
            self.owner.shards,
            peers,
            self._requests,
            zone,
        )
        self.job_api.on_cancelled = self._on_cancelled
        membership.owned = lambda: tuple(self.owner.shards.by_shard)
        membership.on_acquired = self._on_acquired
        membership.on_release_requested = self._release_shards

    @property
    def agents(self) -> list[str]:
        """The ids of the connected agents."""
        return self.fleet.connected_agents()

    def agent_connected(self, agent_id: str, zone: str) -> None:
        """Register an agent that has opened a connection."""
        worker = self.fleet.record_connection(agent_id, zone)
        log_event(Event.AGENT_CONNECTED, agent=agent_id)
        self.evacuations.announce_to(agent_id)
        self._cancel_notices.announce_to(agent_id)
        self.owner.agent_connected(worker)

    def agent_disconnected(self, agent_id: str) -> None:
        """Record that an agent's connection was closed."""
        if agent_id in self.fleet.by_agent:
            log_event(Event.AGENT_DISCONNECTED, agent=agent_id)
            self.fleet.record_disconnection(agent_id)

    @singledispatchmethod
    def handle_message(self, message: JobsMessage, peer_id: str) -> None:
        """Handle a message of an agent or an entry; log an unexpected one."""
        self._shared.handle_message(message, peer_id)

    @handle_message.register
    def _handle_report(self, message: WorkerReport, peer_id: str) -> None:
        worker = self.fleet.by_agent.get(peer_id)
        if worker is None:
            return
        if not self.owner.shards.by_shard:
            # An empty grant shows the agent that this entry runs.
            self._peers.send_response(peer_id, Grant(message.sequence, [], 0))
        self.owner.handle_message(message, worker)

    @handle_message.register(AgentLeft)
    @handle_message.register(StartRefusal)
    def _handle_agent_message(self, message: JobsMessage, peer_id: str) -> None:
        worker = self.fleet.by_agent.get(peer_id)
        if worker is not None:
            self.owner.handle_message(message, worker)

    @handle_message.register
    def _handle_job_notice(self, message: JobNotice, peer_id: str) -> None:
        shard = shard_of(message.job_id)
        if shard in self.owner.shards.by_shard:
            self.owner.shards.accept(JobRow.from_text(message.document))
        elif not message.is_passed_on:
            # Forward it once. Without the notice the owner finds the job by
            # a poll and must assume that a former owner has started it.
            forwarded = replace(message, is_passed_on=True)
            owner = self._membership.owner_of(shard)
            self._peers.send_to_entry(owner, forwarded)

    @handle_message.register
    def _handle_shard_released(
        self, message: ShardReleased, peer_id: str
    ) -> None:
        self._released_shards.handle_message(message, self._clock.now())
        owned = self.owner.shards.by_shard.get(message.shard)
        if owned is None:
            self._membership.on_shard_released()
        else:
            self._released_shards.apply_to(owned, self.fleet)
            self.owner.process_departed_agents()

    @handle_message.register
    def _handle_cancellation(self, message: CancelNotice, peer_id: str) -> None:
        self.owner.shards.cancel(message.job_id)

    @handle_message.register
    def _handle_state_request(
        self, message: JobStateRequest, peer_id: str
    ) -> None:
        state = self.owner.shards.state_of(message.job_id)
        self._peers.send_response(
            peer_id,
            JobStateResponse(message.number, state.value if state else ''),
        )

    @handle_message.register
    def _handle_pending_request(
        self, message: PendingJobsRequest, peer_id: str
    ) -> None:
        self._peers.send_response(
            peer_id,
            PendingJobsResponse(
                message.number,
                self.owner.shards.loaded_shards(),
                self.owner.shards.count_queued(message.queue),
            ),
        )

    @handle_message.register
    def _handle_shards_request(
        self, message: OwnedShardsRequest, peer_id: str
    ) -> None:
        shards = self._membership.claims.respond(
            peer_id, self.owner.shards.by_shard
        )
        self._peers.send_response(
            peer_id,
            OwnedShardsResponse(
                message.number, shards, self._membership.incarnation
            ),
        )

    @handle_message.register(JobStateResponse)
    @handle_message.register(OwnedShardsResponse)
    @handle_message.register(PendingJobsResponse)
    def _handle_peer_response(
        self,
        message: JobStateResponse | OwnedShardsResponse | PendingJobsResponse,
        peer_id: str,
    ) -> None:
        self._requests.handle_response(message.number, message)

    @handle_message.register(RelayedCommit)
    @handle_message.register(RelayedRead)
    @handle_message.register(RelayedChanges)
    def _handle_relayed_call(self, message: JobsMessage, peer_id: str) -> None:
        self._store.serve(message, peer_id)

    @handle_message.register
    def _handle_relayed_response(
        self, message: RelayedResponse, peer_id: str
    ) -> None:
        self._store.handle_response(message)

    def tick(self) -> None:
        """Check former owners and plan; call a few times a second."""
        for owned in self.owner.shards.by_shard.values():
            owned.former.check(self._membership.is_dead)
            owned.ownership.grant_origin.write(self._witnesses)
        self._witnesses.ask(frozenset(self.owner.shards.by_shard))
        self.owner.tick()

    def poll(self) -> None:
        """Poll for jobs without a notice; call each second or so."""
        for owned in list(self.owner.shards.by_shard.values()):
            owned.poll()
            owned.forget_ended(self._wall_ms() - _JOB_RETENTION_MS)

    def release(self) -> None:
        """Release all shards, before a planned stop."""
        self._membership.stop()
        self._release_shards()

    def _release_shards(self) -> None:
        for owned in list(self.owner.shards.by_shard.values()):
            self._drop(owned)
            self._membership.release(owned.shard, owned.version, owned.epoch)
        self._membership.renew()

    def _on_acquired(self, acquired: AcquiredShard) -> None:
        owned = OwnedShard(
            acquired,
            self._reactor,
            self._clock,
            self._wall_ms,
            self._store,
            ShardEvents(
                self.owner.acknowledge_ends,
                self._on_ownership_lost,
                self.owner.on_ownership_checked,
                self.owner.on_job_accepted,
                self.owner.stop_job,
                self.owner.on_shard_loaded,
                self.owner.on_roster_written,
            ),
        )
        self._released_shards.apply_to(owned, self.fleet)
        self.owner.acquire(owned)

    def _on_cancelled(self, job_id: str) -> None:
        shard = shard_of(job_id)
        owner_id = self._membership.owner_of(shard)
        self.owner.shards.cancel(job_id)
        if owner_id or shard not in self.owner.shards.by_shard:
            self._cancel_notices.notify(job_id, owner_id)

    def _on_ownership_lost(self, owned: OwnedShard) -> None:
        self._drop(owned)
        self._membership.renew()

    def _may_act(self) -> bool:
        """Whether this entry may send orders and grants as an owner."""
        return (
            self._membership.may_act
            and self.owner.shards.is_ownership_confirmed
        )

    def _drop(self, owned: OwnedShard) -> None:
        """Stop owning a shard, and send its last grants to all entries.

        A next owner without them must assume that this owner goes on for
        seconds and grants each agent last: keepers of a lost VM waited 18 s
        where 8 s or less were enough.
        """
        message = release_message(owned, self.fleet, self._clock.now())
        self.owner.drop(owned)
        for entry_id in self._membership.addresses:
            self._peers.send_to_entry(entry_id, message)
