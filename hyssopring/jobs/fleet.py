"""The workers as one entry knows them, and what its shards use of them."""

from dataclasses import dataclass
from itertools import count
from typing import Final

from hyssopring.clock import Clock
from hyssopring.jobs.messages import AgentLeft
from hyssopring.jobs.times import GRANT_MS, GRANT_EXPIRY_MS
from hyssopring.jobs.workers import PlacedAttempt, Worker

__all__ = ('GRANT_TTL_MS', 'Departed', 'Fleet', 'PlacedAttempt', 'Worker')

# A worker that has refused a start is the last choice for this long.
_REFUSING_MS: Final = 5000.0
# Some two days of VMs that are replaced; one that is remembered saves a next
# owner a wait of seconds, one that is not costs it.
_MAX_DEPARTED: Final = 1000


@dataclass(frozen=True, slots=True)
class Departed:
    """An agent that has ended with nothing left on its worker."""

    worker: Worker
    message: AgentLeft
    at: float


class Fleet:
    """All agents that an entry has met.

    Attributes:
        departed: Those that said that they end, until they come back.
    """

    def __init__(self, clock: Clock, incarnation: str = '') -> None:
        """Know no agent; ``incarnation`` is the entry's process."""
        self._clock = clock
        self._incarnation = incarnation
        self._begun_at = clock.now()
        self._connections = count(1)
        self.departed: dict[str, Departed] = {}
        self.by_agent: dict[str, Worker] = {}

    def connected(self, agent_id: str, zone: str) -> Worker:
        """An agent has opened a connection."""
        self.departed.pop(agent_id, None)
        worker = self.by_agent.get(agent_id)
        if worker is None:
            worker = Worker(agent_id, zone)
            self.by_agent[agent_id] = worker
        worker.is_connected = True
        worker.connection = f'{self._incarnation}/{next(self._connections)}'
        worker.starts_sent = 0
        for placed in worker.placed_by_task.values():
            placed.start_index = 0
        return worker

    def disconnected(self, agent_id: str) -> None:
        """The agent's connection is gone."""
        worker = self.by_agent[agent_id]
        worker.is_connected = False
        worker.disconnected_at = self._clock.now()

    def remove_departed(self, worker: Worker, message: AgentLeft) -> 'Departed':
        """An agent says that it ends, and that nothing runs there."""
        departed = Departed(worker, message, self._clock.now())
        self.departed[worker.agent_id] = departed
        if len(self.departed) > _MAX_DEPARTED:
            self.departed.pop(next(iter(self.departed)))
        return departed

    def unreachable_since(self, agent_id: str) -> float | None:
        """Since when an agent is away or its worker silent, None if neither.

        One that this process has never met may have been away for longer.
        """
        worker = self.by_agent.get(agent_id)
        if worker is None:
            return self._begun_at
        if not worker.is_connected:
            return worker.disconnected_at
        return worker.silent_since

    def grant_expires_at(self, agent_id: str) -> float:
        """When all that this entry has granted an agent is over."""
        worker = self.by_agent.get(agent_id)
        return worker.granted_at + GRANT_EXPIRY_MS if worker else 0

    def is_lost(self, agent_id: str) -> bool:
        """Whether an agent is away and nothing ordered there can run."""
        if agent_id in self.departed:
            return True
        worker = self.by_agent.get(agent_id)
        if worker is None:
            return True
        return not worker.is_connected and worker.is_lost(self._clock.now())

    def is_certainly_idle(self, agent_id: str) -> bool:
        """Whether no next owner need wait for an agent.

        It is away for long enough, or here without a worker. Left on the
        roster, an agent without a worker would hold up all keepers and jobs
        for 6.3 s after each restart of everything, as its next process has
        to take a hold of its predecessor for possible.
        """
        worker = self.by_agent.get(agent_id)
        if worker is not None and worker.has_no_worker:
            return True
        return self.is_lost(agent_id)

    def listable_agents(self) -> list[str]:
        """Return the connected agents that have a worker, or may have one."""
        return [
            worker.agent_id
            for worker in self.by_agent.values()
            if worker.is_connected and not worker.has_no_worker
        ]

    def connected_agents(self) -> list[str]:
        """Return the ids of the agents with an open connection."""
        return [
            worker.agent_id
            for worker in self.by_agent.values()
            if worker.is_connected
        ]

    def forget_lost(self) -> None:
        """Forget agents that are away and hold nothing, as VMs are replaced."""
        for agent_id, worker in list(self.by_agent.items()):
            if not worker.placed_by_task and self.is_lost(agent_id):
                self.by_agent.pop(agent_id)

    def refusing(self) -> set[str]:
        """Return the agents whose workers have refused starts of late.

        The most idle worker would be sent each start again, beside others
        that run what they are sent.
        """
        since = self._clock.now() - _REFUSING_MS
        return {
            worker.agent_id
            for worker in self.by_agent.values()
            if worker.refused_at is not None and worker.refused_at > since
        }

    def schedulable_workers(self) -> list[Worker]:
        """Return the workers that new tasks may be sent to now.

        What is ordered at an agent whose grant is over counts as ended at
        once, and would be ordered there again in each round.
        """
        now = self._clock.now()
        return [
            each
            for each in self.by_agent.values()
            if each.accepts_tasks() and not each.is_lost(now)
        ]


GRANT_TTL_MS = int(GRANT_MS)
