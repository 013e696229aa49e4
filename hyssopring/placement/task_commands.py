"""Commands about running tasks that a planner sends to agents.

Commands carry the planner's epoch and are not retried here: if one is lost,
the agent's next report causes it to be sent again.
"""

from hyssopring.entry.calls import Links
from hyssopring.leases import HeldShard
from hyssopring.placement.records import TaskRecord
from hyssopring.protocol.messages import (
    StopTask,
    TaskReportAck,
    TaskStatus,
    ThrottleTask,
)
from hyssopring.tasks import StopMode

__all__ = ('TaskCommands',)


class TaskCommands:
    """Send the commands of one shard's planner."""

    def __init__(self, held: HeldShard, links: Links) -> None:
        """Send commands with the epoch of ``held``."""
        self._held = held
        self._links = links

    def stop(
        self,
        agent_id: str,
        task_id: str,
        attempt: int,
        mode: StopMode = StopMode.CANCEL,
    ) -> None:
        """Stop one attempt of a task."""
        command = StopTask(
            task_id,
            self._held.shard,
            self._held.epoch,
            attempt,
            mode.value,
        )
        self._links.send(agent_id, command)

    def throttle(self, task: TaskRecord, share: float) -> None:
        """Limit an assigned task to a share of its processor time."""
        command = ThrottleTask(
            task.task_id,
            self._held.shard,
            self._held.epoch,
            task.attempt,
            share,
        )
        self._links.send(task.agent_id, command)

    def acknowledge(self, agent_id: str, status: TaskStatus) -> None:
        """Acknowledge a recorded status, which the agent may then drop."""
        self._links.send(agent_id, TaskReportAck((status,)))
