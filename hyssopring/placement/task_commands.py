"""What a planner tells agents about running tasks, under its epoch.

None of these is repeated here: the agents' own reports bring them about
again if one is lost.
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
    """Sends one shard's commands."""

    def __init__(self, held: HeldShard, links: Links) -> None:
        """Send under the held shard's epoch."""
        self._held = held
        self._links = links

    def stop(
        self,
        agent_id: str,
        task_id: str,
        attempt: int,
        mode: StopMode = StopMode.CANCEL,
    ) -> None:
        """Stop one attempt."""
        command = StopTask(
            task_id,
            self._held.shard,
            self._held.epoch,
            attempt,
            mode.value,
        )
        self._links.send(agent_id, command)

    def throttle(self, task: TaskRecord, share: float) -> None:
        """Leave an assigned task this share of its processor time."""
        command = ThrottleTask(
            task.task_id,
            self._held.shard,
            self._held.epoch,
            task.attempt,
            share,
        )
        self._links.send(task.agent_id, command)

    def acknowledge(self, agent_id: str, status: TaskStatus) -> None:
        """Let an agent forget what is recorded."""
        self._links.send(agent_id, TaskReportAck((status,)))
