"""The agents and workers known to one entry."""

import math
from dataclasses import dataclass
from itertools import count
from typing import Callable, Final

from hyssopring.clock import Clock
from hyssopring.jobs.messages import AgentLeft
from hyssopring.jobs.times import GRANT_MS
from hyssopring.jobs.workers import PlacedAttempt, Worker

__all__ = ('GRANT_TTL_MS', 'AgentDeparture', 'Fleet', 'PlacedAttempt', 'Worker')

# A worker that has refused a start is chosen last for this long.
_REFUSAL_PENALTY_MS: Final = 5000.0
# About two days of replaced VMs. The next owner of a shard need not wait for a
# departed agent that is still known here, which saves seconds.
_MAX_DEPARTED: Final = 1000


@dataclass(frozen=True, slots=True)
class AgentDeparture:
    """An agent that shut down with no task left on its worker.

    Attributes:
        at: When its newest message arrived.
        first_at: When the first message of the same connection arrived.
    """

    worker: Worker
    message: AgentLeft
    at: float
    first_at: float


class Fleet:
    """All agents that have been connected to an entry.

    Attributes:
        departure_by_agent: Agents that have announced their shutdown, by ID,
            until they reconnect.
        by_agent: Agents with their workers, by agent ID.
    """

    def __init__(
        self,
        clock: Clock,
        incarnation: str = '',
        allows_starts: Callable[[str], bool] | None = None,
    ) -> None:
        """Start without agents.

        Args:
            incarnation: Identifies the entry's process.
            allows_starts: Returns whether tasks may start in an availability
                zone; None if they may in every one.
        """
        self._allows_starts = allows_starts or _allow_all
        self._clock = clock
        self._incarnation = incarnation
        self._connection_numbers = count(1)
        self.departure_by_agent: dict[str, AgentDeparture] = {}
        self.by_agent: dict[str, Worker] = {}
        self._agents_by_task: dict[str, set[str]] = {}

    def record_connection(self, agent_id: str, zone: str) -> Worker:
        """Record a new connection of an agent and return its worker."""
        self.departure_by_agent.pop(agent_id, None)
        worker = self.by_agent.get(agent_id)
        if worker is None:
            worker = Worker(agent_id, zone)
            self.by_agent[agent_id] = worker
        worker.is_connected = True
        worker.connection = (
            f'{self._incarnation}/{next(self._connection_numbers)}'
        )
        worker.connected_at = self._clock.now()
        worker.starts_sent = 0
        for placed in worker.placed_by_task.values():
            placed.start_index = 0
        return worker

    def record_disconnection(self, agent_id: str) -> None:
        """Record that an agent's connection was lost."""
        worker = self.by_agent[agent_id]
        worker.is_connected = False
        worker.disconnected_at = self._clock.now()

    def record_departure(self, worker: Worker, message: AgentLeft) -> None:
        """Record the shutdown of an agent whose worker runs no task."""
        now_ms = self._clock.now()
        known = self.departure_by_agent.get(worker.agent_id)
        first_at = known.first_at if known else now_ms
        departed = AgentDeparture(worker, message, now_ms, first_at)
        self.departure_by_agent[worker.agent_id] = departed
        if len(self.departure_by_agent) > _MAX_DEPARTED:
            self.departure_by_agent.pop(next(iter(self.departure_by_agent)))

    def has_departed(self, agent_id: str) -> bool:
        """Return whether an agent has announced its shutdown."""
        return agent_id in self.departure_by_agent

    def unreachable_since(self, agent_id: str) -> float | None:
        """Return since when an agent or its worker has been unreachable.

        Return None if neither is. An agent that has never connected to this
        process may have been unreachable for any time.
        """
        worker = self.by_agent.get(agent_id)
        if worker is None:
            return -math.inf
        if not worker.is_connected:
            return worker.disconnected_at
        return worker.silent_since

    def grant_expires_at(self, agent_id: str) -> float:
        """Return when the last grant from this entry to an agent expires."""
        worker = self.by_agent.get(agent_id)
        return worker.grant_expires_at if worker else 0

    def is_lost(self, agent_id: str) -> bool:
        """Return whether an agent is disconnected and can run no task."""
        if self.has_departed(agent_id):
            return True
        worker = self.by_agent.get(agent_id)
        if worker is None:
            return True
        return not worker.is_connected and worker.is_lost(self._clock.now())

    def is_certainly_idle(self, agent_id: str) -> bool:
        """Return whether the next owner need not wait for an agent.

        Either it has been disconnected for long enough, or it is connected and
        has no worker. If an agent without a worker stayed on the roster, it
        would delay all keepers and jobs for 6.3 s after each restart of all
        processes, because its next process has to assume that a hold of the
        previous one is still in force.
        """
        worker = self.by_agent.get(agent_id)
        if worker is not None and worker.is_without_worker:
            return True
        return self.is_lost(agent_id)

    def agents_with_worker(self) -> list[str]:
        """Return the IDs of connected agents that may have a worker."""
        return [
            worker.agent_id
            for worker in self.by_agent.values()
            if worker.is_connected
            and not worker.is_without_worker
            and not self.has_departed(worker.agent_id)
        ]

    def connected_agents(self) -> list[str]:
        """Return the IDs of the agents with an open connection."""
        return [
            worker.agent_id
            for worker in self.by_agent.values()
            if worker.is_connected
        ]

    def remove_lost(self) -> None:
        """Remove lost agents without placed attempts, such as replaced VMs.

        Agents that leave stay while they are connected: the owner of a shard
        that is taken later needs their reports.
        """
        for agent_id, worker in list(self.by_agent.items()):
            is_used = worker.is_connected or worker.placed_by_task
            if not is_used and self.is_lost(agent_id):
                self.by_agent.pop(agent_id)

    def record_placement(self, worker: Worker, task: str) -> None:
        """Record that an attempt of a task was placed on a worker."""
        self._agents_by_task.setdefault(task, set()).add(worker.agent_id)

    def record_removal(self, task: str) -> None:
        """Record that all attempts of a task were discarded."""
        self._agents_by_task.pop(task, None)

    def workers_with(self, task: str) -> list[Worker]:
        """Return the workers on which an attempt of a task is placed.

        Attempts that have been removed since are dropped from the index here:
        it may name too many workers, never too few.
        """
        workers = [
            worker
            for agent_id in self._agents_by_task.get(task, ())
            if (worker := self.by_agent.get(agent_id)) is not None
            and task in worker.placed_by_task
        ]
        if workers:
            self._agents_by_task[task] = {worker.agent_id for worker in workers}
        else:
            self._agents_by_task.pop(task, None)
        return workers

    def recently_refusing(self) -> set[str]:
        """Return the IDs of agents whose workers recently refused a start.

        Without a penalty, the most idle worker would get every start again,
        while other workers would accept it.
        """
        since_ms = self._clock.now() - _REFUSAL_PENALTY_MS
        return {
            worker.agent_id
            for worker in self.by_agent.values()
            if worker.refused_at is not None and worker.refused_at > since_ms
        }

    def schedulable_workers(self) -> list[Worker]:
        """Return the workers that new tasks may be sent to now.

        Without the check of the grant, a task that is started at an agent whose
        grant has expired would count as ended at once, and would be started
        there again in each round.
        """
        return [
            worker
            for worker in self._workers_with_grant()
            if self._allows_starts(worker.zone)
        ]

    def evacuated_workers(self) -> list[Worker]:
        """Return the workers that get no tasks because of their zone."""
        return [
            worker
            for worker in self._workers_with_grant()
            if not self._allows_starts(worker.zone)
        ]

    def _workers_with_grant(self) -> list[Worker]:
        now_ms = self._clock.now()
        return [
            worker
            for worker in self.by_agent.values()
            if worker.accepts_tasks()
            and not worker.is_lost(now_ms)
            and not self.has_departed(worker.agent_id)
        ]


GRANT_TTL_MS = int(GRANT_MS)


def _allow_all(_zone: str) -> bool:
    return True
