"""Chooses a worker for a task."""

from dataclasses import dataclass
from typing import Mapping, Sequence

from hyssopring.configuration import ServicePolicy
from hyssopring.membership import AgentRecord
from hyssopring.protocol.messages import Resources

__all__ = ('Placement', 'choose_worker')

_NOTHING = Resources()


@dataclass(frozen=True, slots=True)
class Placement:
    """The chosen agent, or none; and the reason, for the log line."""

    agent: AgentRecord | None
    why: str


def choose_worker(
    policy: ServicePolicy,
    agents: Sequence[AgentRecord],
    planned_by_agent: Mapping[str, Resources],
    load_by_rack: Mapping[str, int],
) -> Placement:
    """Pick the worker with most room, in the rack with fewest of the job.

    Args:
        policy: Sizes and allowed zones of the task.
        agents: Connected agents.
        planned_by_agent: Starts sent that the agents' reports lack so far.
        load_by_rack: Tasks of the same job by rack.
    """
    allowed = [
        agent
        for agent in agents
        if not agent.is_stopping
        and (not policy.zones or agent.zone in policy.zones)
    ]
    if not allowed:
        return Placement(None, 'no worker in the allowed zones')
    if not any(agent.capacity.holds(policy.size) for agent in allowed):
        return Placement(None, 'no worker is large enough')
    fitting = [
        (agent, room)
        for agent in allowed
        if (room := _room(agent, planned_by_agent)).holds(policy.size)
    ]
    if not fitting:
        return Placement(None, 'no room now')
    chosen, room = min(
        fitting,
        key=lambda pair: (
            load_by_rack.get(pair[0].rack, 0),
            -pair[1].cores / max(pair[0].capacity.cores, 1),
            pair[0].agent_id,
        ),
    )
    return Placement(
        chosen,
        'spread rack={0} room={1:.1f} of={2}'.format(
            chosen.rack,
            room.cores,
            len(fitting),
        ),
    )


def _room(
    agent: AgentRecord,
    planned_by_agent: Mapping[str, Resources],
) -> Resources:
    planned = planned_by_agent.get(agent.agent_id, _NOTHING)
    return agent.free.minus(planned)
