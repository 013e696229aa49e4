"""One attempt of a task on an agent."""

from dataclasses import dataclass

from hyssopring.agent.worker import WorkerTask
from hyssopring.protocol.messages import Resources, StartTask, TaskStatus
from hyssopring.tasks import FINAL_PHASES, StopMode, TaskKind, TaskPhase

__all__ = ('Attempt',)


@dataclass(slots=True)
class Attempt:
    """What the agent knows of an attempt.

    Attributes:
        until: The latest deadline that the worker may have heard of; 0 until
            the start was sent.
        since: When the worker's answer to the start came; a listing that was
            asked for earlier says nothing about this attempt.
        is_in_doubt: The answer to the start was lost; it may run or not, or
            begin to run until its deadline.
        stop_mode: Asked to stop, until it has.
    """

    command: StartTask
    phase: TaskPhase
    checkpoint: str = ''
    detail: str = ''
    share: float = 1
    used: Resources = Resources()
    until: float = 0
    since: float = 0
    is_in_doubt: bool = False
    stop_mode: StopMode | None = None
    stop_why: str = ''
    reported_checkpoint: str = ''
    ticks_told: int = 0

    @classmethod
    def from_listed(cls, listed: WorkerTask) -> 'Attempt':
        """Adopt what an earlier run of the agent has started."""
        command = listed.command
        return cls(
            command,
            TaskPhase.RUNNING,
            listed.checkpoint or command.checkpoint,
            share=listed.share,
            used=listed.used,
            until=listed.until,
        )

    @property
    def kind(self) -> TaskKind:
        """Batch or keeper."""
        return TaskKind(self.command.kind)

    @property
    def is_final(self) -> bool:
        """Whether it has ended for certain."""
        return self.phase in FINAL_PHASES

    @property
    def is_sent(self) -> bool:
        """Whether the worker may have heard of it."""
        return self.until > 0

    def observe(self, listed: WorkerTask) -> None:
        """Take what the worker says of progress and use."""
        self.checkpoint = listed.checkpoint or self.checkpoint
        self.used = listed.used

    def status(self) -> TaskStatus:
        """Return what planners are told."""
        command = self.command
        return TaskStatus(
            command.task_id,
            command.shard,
            command.epoch,
            command.attempt,
            self.phase.value,
            self.checkpoint,
            self.detail,
        )
