"""Choose the worker on which an urgent task preempts less urgent ones."""

from typing import Collection, Iterable

from hyssopring.agent.preemption import is_preemptible
from hyssopring.configuration import ServicePolicy
from hyssopring.placement.worker_ranking import Candidate, Placement
from hyssopring.protocol.messages import Resources

__all__ = ('place_by_preemption',)

_MIN_EVICTIONS = 1.0
_MIN_CORES = 1e-9


def place_by_preemption(
    policy: ServicePolicy,
    size: Resources,
    candidates: Iterable[Candidate],
    avoided: Collection[str],
) -> Placement | None:
    """Pick the worker that has to checkpoint the fewest tasks.

    The agent chooses and checkpoints the tasks: it knows all tasks of its VM,
    while a planner knows only those of its own shards.

    Returns:
        The placement, or None if no worker can free enough capacity.
    """
    ranked = []
    for candidate in candidates:
        agent = candidate.agent
        is_allowed = not policy.zones or agent.zone in policy.zones
        if is_allowed and agent.agent_id not in avoided:
            evictions = _estimate_evictions(policy.urgency, size, candidate)
            ranked.append((evictions, agent.agent_id, candidate))
    possible = [item for item in ranked if item[0] is not None]
    if not possible:
        return None
    evictions, _, chosen = min(possible)
    chosen.available = chosen.available.minus(size)
    return Placement(
        chosen.agent,
        f'urgency {policy.urgency} makes room, about {evictions:.1f} '
        'less urgent tasks give way',
    )


def _estimate_evictions(
    urgency: int,
    size: Resources,
    candidate: Candidate,
) -> float | None:
    """Estimate how many tasks are preempted, None if that is not enough."""
    preemptible = [
        usage
        for usage in candidate.agent.usage
        if is_preemptible(usage.kind, usage.urgency, urgency)
    ]
    available = candidate.available
    for usage in preemptible:
        available = available.plus(usage.reserved)
    if not preemptible or not available.holds(size):
        return None
    largest_cores = max(
        usage.reserved.cores / usage.running for usage in preemptible
    )
    missing_cores = size.cores - candidate.available.cores
    return max(missing_cores / max(largest_cores, _MIN_CORES), _MIN_EVICTIONS)
