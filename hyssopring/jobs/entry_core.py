"""The entry's part in jobs: its agents, its shards and its peers."""

from dataclasses import replace
from functools import singledispatchmethod
from typing import Any, Callable, Final

from hyssopring.clock import Clock
from hyssopring.jobs.advice_client import AdviceClient
from hyssopring.jobs.configuration_messages import (
    ConfigurationNotice,
    ConfigurationPart,
    ConfigurationRequest,
    ConfigurationText,
)
from hyssopring.jobs.job_api import JobApi
from hyssopring.jobs.documents import JobRow
from hyssopring.jobs.entry_membership import EntryMembership
from hyssopring.jobs.fleet import Fleet
from hyssopring.jobs.former_owner import AcquiredShard
from hyssopring.jobs.handover import ReleasedShards, given_up
from hyssopring.jobs.messages import (
    AgentLeft,
    CancelNotice,
    Grant,
    JobStateResponse,
    JobNotice,
    JobStateRequest,
    JobsMessage,
    PendingJobsResponse,
    PendingJobsRequest,
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
    RelayedResponse,
    RelayedChanges,
    RelayedCommit,
    RelayedRead,
)
from hyssopring.jobs.shards import shard_of
from hyssopring.jobs.shared_configuration import SharedConfiguration
from hyssopring.logs import Event, log_event

__all__ = ('JobEntryCore',)

# Ended jobs are asked for two minutes long; they are kept a while longer.
_KEEP_MS: Final = 180_000.0


class JobEntryCore:
    """Takes agents' reports and other entries' messages."""

    def __init__(
        self,
        reactor: Any,
        clock: Clock,
        wall_ms: Callable[[], float],
        store: RelayedStore,
        membership: EntryMembership,
        peers: RelayPeers,
        advice: AdviceClient,
    ) -> None:
        """Build the owner and connect the membership's callbacks."""
        self._reactor = reactor
        self._clock = clock
        self._wall_ms = wall_ms
        self._store = store
        self._membership = membership
        self._peers = peers
        self._given_up = ReleasedShards()
        self.fleet = Fleet(clock, membership.incarnation)
        self.owner = JobOwner(
            reactor,
            clock,
            self.fleet,
            peers.answer,
            self._may_act,
            wall_ms,
            self._deposed,
            advice,
        )
        self._questions = PeerRequests(reactor, peers)
        self.configuration = SharedConfiguration(reactor, peers)
        self.job_api = JobApi(
            reactor,
            clock,
            wall_ms,
            store,
            membership,
            self.owner.shards,
            peers,
            self._questions,
        )
        membership.owned = lambda: tuple(self.owner.shards.by_shard)
        membership.on_acquired = self._acquired
        membership.on_yield = self._release_shards

    @property
    def agents(self) -> list[str]:
        """Ids of the connected agents."""
        return self.fleet.connected_agents()

    def agent_connected(self, agent_id: str, zone: str) -> None:
        """An agent has opened a connection."""
        worker = self.fleet.connected(agent_id, zone)
        log_event(Event.AGENT_CONNECTED, agent=agent_id)
        self.owner.agent_connected(worker)

    def agent_disconnected(self, agent_id: str) -> None:
        """An agent's connection is gone."""
        if agent_id in self.fleet.by_agent:
            log_event(Event.AGENT_DISCONNECTED, agent=agent_id)
            self.fleet.disconnected(agent_id)

    @singledispatchmethod
    def handle_message(self, message: JobsMessage, peer_id: str) -> None:
        """Take a message of an agent or an entry."""
        log_event(
            Event.PEER_ERROR,
            peer=peer_id,
            detail=f'unexpected {type(message).__name__}',
        )

    @handle_message.register
    def _take_report(self, message: WorkerReport, peer_id: str) -> None:
        worker = self.fleet.by_agent.get(peer_id)
        if worker is None:
            return
        if not self.owner.shards.by_shard:
            # The agent takes any answer for a sign of life.
            self._peers.answer(peer_id, Grant(message.sequence, [], 0))
        self.owner.handle_message(message, worker)

    @handle_message.register(AgentLeft)
    @handle_message.register(StartRefusal)
    def _take_agents_word(self, message: JobsMessage, peer_id: str) -> None:
        worker = self.fleet.by_agent.get(peer_id)
        if worker is not None:
            self.owner.handle_message(message, worker)

    @handle_message.register
    def _take_notice(self, message: JobNotice, peer_id: str) -> None:
        shard = shard_of(message.job_id)
        if shard in self.owner.shards.by_shard:
            self.owner.shards.accept(JobRow.from_text(message.document))
        elif not message.is_passed_on:
            # Dropped here, it would be found by the owner's poll only, which
            # cannot know that nobody has begun it.
            passed_on = replace(message, is_passed_on=True)
            owner = self._membership.owner_of(shard)
            self._peers.to_entry(owner, passed_on)

    @handle_message.register
    def _take_given_up(self, message: ShardReleased, peer_id: str) -> None:
        self._given_up.handle_message(message, self._clock.now())
        owned = self.owner.shards.by_shard.get(message.shard)
        if owned is not None:
            self._given_up.announce(owned, self.fleet)
            self.owner.hear_departed()

    @handle_message.register
    def _take_cancel(self, message: CancelNotice, peer_id: str) -> None:
        self.owner.shards.cancel(message.job_id)

    @handle_message.register
    def _take_question(self, message: JobStateRequest, peer_id: str) -> None:
        state = self.owner.shards.state_of(message.job_id)
        self._peers.answer(
            peer_id,
            JobStateResponse(message.number, state.value if state else ''),
        )

    @handle_message.register
    def _take_pending(self, message: PendingJobsRequest, peer_id: str) -> None:
        self._peers.answer(
            peer_id,
            PendingJobsResponse(
                message.number,
                self.owner.shards.counted(),
                self.owner.shards.waiting(message.queue),
            ),
        )

    @handle_message.register
    def _take_state(self, message: JobStateResponse, peer_id: str) -> None:
        self._questions.answered(message.number, message)

    @handle_message.register
    def _take_count(self, message: PendingJobsResponse, peer_id: str) -> None:
        self._questions.answered(message.number, message)

    @handle_message.register(RelayedCommit)
    @handle_message.register(RelayedRead)
    @handle_message.register(RelayedChanges)
    def _take_relayed(self, message: JobsMessage, peer_id: str) -> None:
        self._store.serve(message, peer_id)

    @handle_message.register(ConfigurationNotice)
    @handle_message.register(ConfigurationRequest)
    @handle_message.register(ConfigurationText)
    @handle_message.register(ConfigurationPart)
    def _take_configuration(self, message: JobsMessage, peer_id: str) -> None:
        self.configuration.take(message, peer_id)

    @handle_message.register
    def _take_outcome(self, message: RelayedResponse, peer_id: str) -> None:
        self._store.answered(message)

    def tick(self) -> None:
        """Call a few times a second."""
        for owned in self.owner.shards.by_shard.values():
            owned.former.check(self._membership.is_dead)
        self.owner.tick()

    def poll(self) -> None:
        """Look for jobs that nobody has told of; call each second or so."""
        for owned in list(self.owner.shards.by_shard.values()):
            owned.poll()
            owned.forget_ended(self._wall_ms() - _KEEP_MS)

    def release(self) -> None:
        """Give all shards up, before a planned stop."""
        self._membership.stop()
        self._release_shards()

    def _release_shards(self) -> None:
        for owned in list(self.owner.shards.by_shard.values()):
            self._drop(owned)
            self._membership.release(owned.shard, owned.version, owned.epoch)
        self._membership.renew()

    def _acquired(self, acquired: AcquiredShard) -> None:
        owned = OwnedShard(
            acquired,
            self._reactor,
            self._clock,
            self._wall_ms,
            self._store,
            ShardEvents(
                self.owner.recorded,
                self._deposed,
                self.owner.accepted,
                self.owner.cancelled,
                self.owner.loaded,
                self.owner.schedule_planning,
            ),
        )
        self._given_up.announce(owned, self.fleet)
        self.owner.acquire(owned)

    def _deposed(self, owned: OwnedShard) -> None:
        self._drop(owned)
        self._membership.renew()

    def _may_act(self) -> bool:
        """Whether this entry may order and grant as an owner."""
        return self._membership.may_act and self.owner.shards.are_confirmed

    def _drop(self, owned: OwnedShard) -> None:
        """Own a shard no more, and tell its next owner, whichever it is.

        Without it that one knows no agent's last grant, and waits as if each
        had been granted just now, or by an owner that goes on for seconds:
        keepers whose VM is gone waited 18 s where 8 s or less were enough.
        """
        told = given_up(owned, self.fleet, self._clock.now())
        self.owner.drop(owned)
        for entry_id in self._membership.addresses:
            self._peers.to_entry(entry_id, told)
