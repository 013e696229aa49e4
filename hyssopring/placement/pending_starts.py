"""Starts that the agents' reports of free room do not show so far.

Guard: a report that was sent before a start arrived still names its room as
free, and a second task would be sent there only to be refused. A start counts
until a heartbeat has come after the one that first found it confirmed. One of
a plan that was dropped with its shard counts no more: nothing would ever
confirm it here, and its room would be kept from all later tasks.
"""

from dataclasses import dataclass

from hyssopring.membership import Fleet
from hyssopring.placement.records import TaskState
from hyssopring.placement.task_index import PlannedTask
from hyssopring.protocol.messages import Resources

__all__ = ('PendingStarts',)


@dataclass(slots=True)
class _Start:
    planned: PlannedTask
    attempt: int
    agent_id: str
    team: str
    size: Resources
    confirmed_at: float | None = None


class PendingStarts:
    """This entry's own starts, until reports show them."""

    def __init__(self, fleet: Fleet) -> None:
        """Start with none."""
        self._fleet = fleet
        self.starts: list[_Start] = []

    def add(self, planned: PlannedTask, team: str, size: Resources) -> None:
        """Count a start that was just decided."""
        task = planned.task
        start = _Start(planned, task.attempt, task.agent_id, team, size)
        self.starts.append(start)

    def promised(self, now: float) -> dict[str, Resources]:
        """Return the room promised by agent, after dropping what shows."""
        self.starts = [
            start for start in self.starts if self._is_hidden(start, now)
        ]
        promised_by_agent: dict[str, Resources] = {}
        for start in self.starts:
            known = promised_by_agent.get(start.agent_id)
            promised_by_agent[start.agent_id] = (
                start.size if known is None else known.plus(start.size)
            )
        return promised_by_agent

    def _is_hidden(self, start: _Start, now: float) -> bool:
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
                start.confirmed_at = now
            return True
        return record.heard_at <= start.confirmed_at
