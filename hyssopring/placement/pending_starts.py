"""Starts that the agents' reported free resources do not include yet.

A report sent before a start arrived still shows the resources as free, and a
second task placed there would be refused. A start is therefore counted until
a heartbeat arrives after its confirmation. Starts of a plan that was dropped
with its shard are not counted: this entry would never see them confirmed, and
their resources would stay reserved forever.
"""

from dataclasses import dataclass

from hyssopring.membership import Fleet
from hyssopring.placement.records import TaskState
from hyssopring.placement.task_index import PlannedTask
from hyssopring.protocol.messages import Resources

__all__ = ('PendingStarts',)


@dataclass(slots=True)
class _PendingStart:
    """A start that is not included in reported free resources.

    Attributes:
        confirmed_at: Clock time in milliseconds at which the attempt was first
            found confirmed, None before that.
    """

    planned: PlannedTask
    attempt: int
    agent_id: str
    team: str
    size: Resources
    confirmed_at: float | None = None


class PendingStarts:
    """This entry's starts that no report shows yet.

    Attributes:
        starts: Pending starts, pruned by each call of ``reserved_by_agent``.
    """

    def __init__(self, fleet: Fleet) -> None:
        """Start without pending starts."""
        self._fleet = fleet
        self.starts: list[_PendingStart] = []

    def add(self, planned: PlannedTask, team: str, size: Resources) -> None:
        """Count a start that was just assigned."""
        task = planned.task
        start = _PendingStart(planned, task.attempt, task.agent_id, team, size)
        self.starts.append(start)

    def reserved_by_agent(self, now_ms: float) -> dict[str, Resources]:
        """Drop reported starts; return the resources of the others by agent."""
        self.starts = [
            start for start in self.starts if self._is_unreported(start, now_ms)
        ]
        size_by_agent: dict[str, Resources] = {}
        for start in self.starts:
            reserved = size_by_agent.get(start.agent_id)
            size_by_agent[start.agent_id] = (
                start.size if reserved is None else reserved.plus(start.size)
            )
        return size_by_agent

    def _is_unreported(self, start: _PendingStart, now_ms: float) -> bool:
        task = start.planned.task
        record = self._fleet.agent(start.agent_id)
        is_current = (
            task.state is TaskState.ASSIGNED and task.attempt == start.attempt
        )
        is_dropped = start.planned.plan.is_dropped
        if not is_current or record is None or is_dropped:
            return False
        if start.confirmed_at is None:
            if task.is_confirmed:
                start.confirmed_at = now_ms
            return True
        return record.last_received_at <= start.confirmed_at
