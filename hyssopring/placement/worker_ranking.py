"""Choose workers for a group of identical tasks.

All waiting tasks of one job have the same size and policy. The workers that
fit are ranked once per round, so that each task costs two heap operations
instead of a scan of the fleet.
"""

import heapq
from collections import Counter
from dataclasses import dataclass
from typing import Collection, Iterable, Protocol

from hyssopring.configuration import ServicePolicy
from hyssopring.membership import AgentRecord
from hyssopring.protocol.messages import Resources

__all__ = (
    'Candidate',
    'Placement',
    'SlowdownPredictor',
    'WorkerRanking',
    'infeasibility_reason',
)


@dataclass(slots=True)
class Candidate:
    """A worker that may receive tasks in this round.

    Attributes:
        agent: The worker's agent.
        available: Free resources, minus starts that no report shows yet.
        is_probe: Whether the worker is quarantined and gets a single task.
    """

    agent: AgentRecord
    available: Resources
    is_probe: bool = False


@dataclass(frozen=True, slots=True)
class Placement:
    """Result of a placement decision.

    Attributes:
        agent: The chosen agent, None if no worker can take the task.
        reason: Reason for the decision, for the log and for operators.
    """

    agent: AgentRecord | None
    reason: str


class SlowdownPredictor(Protocol):
    """Predicts how one more task slows the services on a worker."""

    def predict(self, agent: AgentRecord, size: Resources) -> float | None:
        """Return the growth of log(tail latency), None if over the limit."""

    def add_start(self, agent: AgentRecord, size: Resources) -> None:
        """Count a task that is about to start on the worker."""


@dataclass(order=True, slots=True)
class _RankedWorker:
    """A worker in its rack's heap; the lowest score comes first.

    Attributes:
        score: Predicted slowdown minus the free fraction of the cores.
    """

    score: float
    agent_id: str
    candidate: Candidate


# Number of the job's tasks in the rack, best worker's score, rack.
_RankedRack = tuple[int, float, str]


class WorkerRanking:
    """Rank workers by rack for one group of identical tasks.

    A task goes to the rack with the fewest tasks of its job, so that losing a
    rack affects as few of them as possible. Ties go to the zone with the
    fewest tasks, then to the worker with the best score, which prefers little
    predicted slowdown and many free cores.
    """

    def __init__(
        self,
        size: Resources,
        candidates: Iterable[Candidate],
        task_count_by_rack: Counter[str],
        predictor: SlowdownPredictor,
    ) -> None:
        """Rank the workers with enough free capacity for a task.

        Args:
            size: Resources that each task needs.
            candidates: Workers that may receive tasks.
            task_count_by_rack: Number of the job's assigned tasks, updated by
                ``choose``.
            predictor: Predicts how much a task slows a worker's services.
        """
        self._size = size
        self._predictor = predictor
        self._task_count_by_rack = task_count_by_rack
        self._task_count_by_zone: Counter[str] = Counter()
        self._ranked_by_rack: dict[str, list[_RankedWorker]] = {}
        self._zone_by_rack: dict[str, str] = {}
        self._is_limit_exceeded = False
        for candidate in candidates:
            self._zone_by_rack[candidate.agent.rack] = candidate.agent.zone
            self._push_worker(candidate)
        for rack, task_count in task_count_by_rack.items():
            self._task_count_by_zone[self._zone_by_rack.get(rack, '')] += (
                task_count
            )
        # One heap per zone: a start changes the rank of all racks of a zone.
        self._racks_by_zone: dict[str, list[_RankedRack]] = {}
        for rack in self._ranked_by_rack:
            self._push_rack(rack)

    def choose(self, avoided: Collection[str] = ()) -> Placement:
        """Pick a worker for the next task and reserve its resources.

        Args:
            avoided: Ids of agents that must not get this task.
        """
        skipped_racks = []
        placement = Placement(None, self._failure_reason())
        while placement.agent is None:
            rack = self._next_rack()
            if rack is None:
                break
            ranked = self._pop_worker(rack, avoided)
            if ranked is None:
                skipped_racks.append(rack)
            else:
                placement = self._place(rack, ranked)
        for skipped_rack in skipped_racks:
            self._push_rack(skipped_rack)
        return placement

    def _next_rack(self) -> str | None:
        """Pop the rack with the fewest tasks, ties by tasks in its zone."""
        best_racks = [
            (racks[0][0], self._task_count_by_zone[zone], racks[0][1], zone)
            for zone, racks in self._racks_by_zone.items()
            if racks
        ]
        if not best_racks:
            return None
        zone = min(best_racks)[-1]
        return heapq.heappop(self._racks_by_zone[zone])[-1]

    def _push_rack(self, rack: str) -> None:
        ranked = self._ranked_by_rack[rack]
        if ranked:
            heapq.heappush(
                self._racks_by_zone.setdefault(self._zone_by_rack[rack], []),
                (self._task_count_by_rack[rack], ranked[0].score, rack),
            )

    def _failure_reason(self) -> str:
        if self._is_limit_exceeded:
            return 'would slow a service on every worker with room'
        return 'no room now'

    def _pop_worker(
        self, rack: str, avoided: Collection[str]
    ) -> _RankedWorker | None:
        ranked = self._ranked_by_rack[rack]
        if ranked[0].agent_id not in avoided:
            return heapq.heappop(ranked)
        allowed = [
            worker for worker in ranked if worker.agent_id not in avoided
        ]
        if not allowed:
            return None
        chosen = min(allowed)
        ranked.remove(chosen)
        heapq.heapify(ranked)
        return chosen

    def _place(self, rack: str, ranked: _RankedWorker) -> Placement:
        candidate = ranked.candidate
        reason = 'rack={0} load={1} room={2:.1f} score={3:.2f}'.format(
            rack,
            self._task_count_by_rack[rack],
            candidate.available.cores,
            ranked.score,
        )
        self._task_count_by_rack[rack] += 1
        self._task_count_by_zone[self._zone_by_rack[rack]] += 1
        candidate.available = candidate.available.minus(self._size)
        self._predictor.add_start(candidate.agent, self._size)
        if not candidate.is_probe:
            self._push_worker(candidate)
        self._push_rack(rack)
        return Placement(candidate.agent, reason)

    def _push_worker(self, candidate: Candidate) -> None:
        agent = candidate.agent
        ranked = self._ranked_by_rack.setdefault(agent.rack, [])
        if not candidate.available.holds(self._size):
            return
        slowdown = self._predictor.predict(agent, self._size)
        if slowdown is None:
            self._is_limit_exceeded = True
            return
        free_fraction = candidate.available.cores / max(agent.capacity.cores, 1)
        heapq.heappush(
            ranked,
            _RankedWorker(slowdown - free_fraction, agent.agent_id, candidate),
        )


def infeasibility_reason(
    policy: ServicePolicy,
    size: Resources,
    agents: Collection[AgentRecord],
) -> str:
    """Return why no connected worker can ever run a task, '' if one can.

    Args:
        policy: Policy of the task's service, with the allowed zones.
        size: Resources that the task needs.
        agents: The connected agents.
    """
    if not agents:
        return 'no worker is connected'
    allowed = [
        agent
        for agent in agents
        if not policy.zones or agent.zone in policy.zones
    ]
    if not allowed:
        return f'no worker in the allowed zones {",".join(policy.zones)}'
    if any(agent.capacity.holds(size) for agent in allowed):
        return ''
    largest = max(allowed, key=lambda agent: agent.capacity.cores).capacity
    return (
        f'no worker is large enough: needs {size.cores:.1f} cores, '
        f'{size.memory_gb:.1f} GB, {size.accelerators} accelerators; the '
        f'largest has {largest.cores:.1f}, {largest.memory_gb:.1f}, '
        f'{largest.accelerators}'
    )
