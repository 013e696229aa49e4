"""Chooses the worker on which an urgent task makes others give way."""

from typing import Collection, Iterable

from hyssopring.agent.making_room import gives_way
from hyssopring.configuration import ServicePolicy
from hyssopring.placement.worker_ranking import Candidate, Placement
from hyssopring.protocol.messages import Resources

__all__ = ('place_by_making_room',)

_MIN_EVICTIONS = 1.0
_TINY = 1e-9


def place_by_making_room(
    policy: ServicePolicy,
    size: Resources,
    candidates: Iterable[Candidate],
    avoided: Collection[str],
) -> Placement | None:
    """Pick the worker that has to checkpoint fewest tasks; None if none can.

    The agent itself chooses the tasks and checkpoints them: it knows all of
    its VM, while a planner knows those of its own shards.
    """
    ranked = []
    for candidate in candidates:
        agent = candidate.agent
        is_allowed = not policy.zones or agent.zone in policy.zones
        if is_allowed and agent.agent_id not in avoided:
            evictions = _evictions(policy.urgency, size, candidate)
            ranked.append((evictions, agent.agent_id, candidate))
    possible = [one for one in ranked if one[0] is not None]
    if not possible:
        return None
    evictions, _, chosen = min(possible)
    chosen.room = chosen.room.minus(size)
    return Placement(
        chosen.agent,
        f'urgency {policy.urgency} makes room, about {evictions:.1f} '
        'less urgent tasks give way',
    )


def _evictions(
    urgency: int,
    size: Resources,
    candidate: Candidate,
) -> float | None:
    """Estimate how many tasks must give way, None if room cannot be made."""
    yielding = [
        usage
        for usage in candidate.agent.usage
        if gives_way(usage.kind, usage.urgency, urgency)
    ]
    room = candidate.room
    for usage in yielding:
        room = room.plus(usage.reserved)
    if not yielding or not room.holds(size):
        return None
    largest = max(usage.reserved.cores / usage.running for usage in yielding)
    missing = size.cores - candidate.room.cores
    return max(missing / max(largest, _TINY), _MIN_EVICTIONS)
