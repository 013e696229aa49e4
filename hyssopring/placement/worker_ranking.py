"""Chooses workers for a group of equal tasks.

All waiting tasks of one job are alike, so the fitting workers are ranked once
a round and each task costs two heap steps, not a pass over the fleet.
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
    'Harm',
    'Placement',
    'WorkerRanking',
    'infeasibility_reason',
)


@dataclass(slots=True)
class Candidate:
    """A worker that may take the group's next task.

    Attributes:
        room: What is free, less the starts under way.
        is_probe: In quarantine: it gets this one task.
    """

    agent: AgentRecord
    room: Resources
    is_probe: bool = False


@dataclass(frozen=True, slots=True)
class Placement:
    """The chosen agent, or none; and the reason, for the log line."""

    agent: AgentRecord | None
    why: str


class Harm(Protocol):
    """What one more task would do to the services on a worker."""

    def predict(self, agent: AgentRecord, size: Resources) -> float | None:
        """Return the expected growth of the tail, None if it is too much."""

    def take(self, agent: AgentRecord, size: Resources) -> None:
        """Count a task that is about to start there."""


@dataclass(order=True, slots=True)
class _Ranked:
    """A worker in its rack's heap, least harm and most room first."""

    score: float
    agent_id: str
    candidate: Candidate


_RankedRack = tuple[int, float, str]


class WorkerRanking:
    """Workers by rack, for one group of equal tasks.

    A task goes to the rack with fewest tasks of the group's job, so that a
    rack's loss hurts the job little; of such racks to the zone with fewest;
    there to the worker with least harm and most room.
    """

    def __init__(
        self,
        size: Resources,
        candidates: Iterable[Candidate],
        load_by_rack: Counter[str],
        harm: Harm,
    ) -> None:
        """Rank the workers that hold ``size``."""
        self._size = size
        self._harm = harm
        self._load_by_rack = load_by_rack
        self._load_by_zone: Counter[str] = Counter()
        self._ranked_by_rack: dict[str, list[_Ranked]] = {}
        self._zone_by_rack: dict[str, str] = {}
        self._is_harm_in_the_way = False
        for candidate in candidates:
            self._zone_by_rack[candidate.agent.rack] = candidate.agent.zone
            self._push(candidate)
        for rack, load in load_by_rack.items():
            self._load_by_zone[self._zone_by_rack.get(rack, '')] += load
        # By zone, since a start changes the zone's load for all its racks.
        self._racks_by_zone: dict[str, list[_RankedRack]] = {}
        for rack in self._ranked_by_rack:
            self._push_rack(rack)

    def choose(self, avoided: Collection[str] = ()) -> Placement:
        """Pick a worker for the next task and count the task there."""
        passed_over = []
        placement = Placement(None, self._why_none())
        while placement.agent is None:
            rack = self._next_rack()
            if rack is None:
                break
            ranked = self._first(rack, avoided)
            if ranked is None:
                passed_over.append(rack)
            else:
                placement = self._take(rack, ranked)
        for other in passed_over:
            self._push_rack(other)
        return placement

    def _next_rack(self) -> str | None:
        """Pop the rack of least load; of equals one of the least zone."""
        firsts = [
            (racks[0][0], self._load_by_zone[zone], racks[0][1], zone)
            for zone, racks in self._racks_by_zone.items()
            if racks
        ]
        if not firsts:
            return None
        zone = min(firsts)[-1]
        return heapq.heappop(self._racks_by_zone[zone])[-1]

    def _push_rack(self, rack: str) -> None:
        ranked = self._ranked_by_rack[rack]
        if ranked:
            heapq.heappush(
                self._racks_by_zone.setdefault(self._zone_by_rack[rack], []),
                (self._load_by_rack[rack], ranked[0].score, rack),
            )

    def _why_none(self) -> str:
        if self._is_harm_in_the_way:
            return 'would slow a service on every worker with room'
        return 'no room now'

    def _first(self, rack: str, avoided: Collection[str]) -> _Ranked | None:
        ranked = self._ranked_by_rack[rack]
        if ranked[0].agent_id not in avoided:
            return heapq.heappop(ranked)
        allowed = [one for one in ranked if one.agent_id not in avoided]
        if not allowed:
            return None
        chosen = min(allowed)
        ranked.remove(chosen)
        heapq.heapify(ranked)
        return chosen

    def _take(self, rack: str, ranked: _Ranked) -> Placement:
        candidate = ranked.candidate
        why = 'rack={0} load={1} room={2:.1f} score={3:.2f}'.format(
            rack,
            self._load_by_rack[rack],
            candidate.room.cores,
            ranked.score,
        )
        self._load_by_rack[rack] += 1
        self._load_by_zone[self._zone_by_rack[rack]] += 1
        candidate.room = candidate.room.minus(self._size)
        self._harm.take(candidate.agent, self._size)
        if not candidate.is_probe:
            self._push(candidate)
        self._push_rack(rack)
        return Placement(candidate.agent, why)

    def _push(self, candidate: Candidate) -> None:
        agent = candidate.agent
        ranked = self._ranked_by_rack.setdefault(agent.rack, [])
        if not candidate.room.holds(self._size):
            return
        harm = self._harm.predict(agent, self._size)
        if harm is None:
            self._is_harm_in_the_way = True
            return
        free_part = candidate.room.cores / max(agent.capacity.cores, 1)
        heapq.heappush(
            ranked,
            _Ranked(harm - free_part, agent.agent_id, candidate),
        )


def infeasibility_reason(
    policy: ServicePolicy,
    size: Resources,
    agents: Collection[AgentRecord],
) -> str:
    """Return why no connected worker could ever run a task, or nothing."""
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
