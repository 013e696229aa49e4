"""Tells the owner of a job's shard, else the agents, of its cancellation.

An owner may be cut off from the store and from this entry while agents hear
both. Its polls find no cancellation then, and it goes on starting the job's
tasks on these agents until another entry has taken the shard.
"""

from typing import Callable, Final

from hyssopring.clock import Clock
from hyssopring.jobs.messages import (
    CancelNotice,
    JobStateRequest,
    JobStateResponse,
)
from hyssopring.jobs.model import JobState
from hyssopring.jobs.peer_requests import PeerRequests, PeerTransport
from hyssopring.jobs.times import OWNER_LEASE_MS
from hyssopring.logs import Event, log_event

__all__ = ('CancelNotices',)

# Round trips between entries take about a millisecond.
_CONFIRM_TIMEOUT_S: Final = 0.2


class CancelNotices:
    """Notifies those that may start tasks of cancelled jobs.

    The agents are told only if the owner does not confirm: a deployment may
    have thousands of them.
    """

    def __init__(
        self,
        clock: Clock,
        peers: PeerTransport,
        requests: PeerRequests,
        connected_agents: Callable[[], list[str]],
    ) -> None:
        """Start without cancelled jobs.

        Args:
            connected_agents: Returns the IDs of the connected agents.
        """
        self._clock = clock
        self._peers = peers
        self._requests = requests
        self._connected_agents = connected_agents
        # When the agents were told, by job, the oldest first.
        self._told_at_by_job: dict[str, float] = {}

    def notify(self, job_id: str, owner_id: str) -> None:
        """Tell of a durable cancellation.

        Args:
            job_id: The cancelled job.
            owner_id: The entry that owns the job's shard, '' if none is known.
        """
        self._peers.send_to_entry(owner_id, CancelNotice(job_id))
        # The response follows the notice, as both use one connection.
        confirming = self._requests.ask(
            owner_id,
            lambda number: JobStateRequest(number, job_id),
            _CONFIRM_TIMEOUT_S,
        )
        confirming.addCallback(self._on_state, job_id, owner_id)

    def announce_to(self, agent_id: str) -> None:
        """Tell an agent that has opened a connection."""
        self._forget_old()
        for job_id in self._told_at_by_job:
            self._peers.send_response(agent_id, CancelNotice(job_id))

    def _on_state(
        self, response: JobStateResponse | None, job_id: str, owner_id: str
    ) -> None:
        state = response.state if response else ''
        if state and JobState(state).is_final:
            return
        self._forget_old()
        self._told_at_by_job[job_id] = self._clock.now()
        agents = self._connected_agents()
        log_event(
            Event.CANCELLATION_UNCONFIRMED,
            job=job_id,
            owner=owner_id,
            state=state,
            agents=len(agents),
        )
        for agent_id in agents:
            self._peers.send_response(agent_id, CancelNotice(job_id))

    def _forget_old(self) -> None:
        """Forget jobs of which no owner is unaware any more.

        An owner that has not read the store for that long starts nothing.
        """
        since_ms = self._clock.now() - OWNER_LEASE_MS
        self._told_at_by_job = {
            job_id: told_at
            for job_id, told_at in self._told_at_by_job.items()
            if told_at > since_ms
        }
