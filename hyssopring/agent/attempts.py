"""One attempt of a task on an agent."""

from dataclasses import dataclass

from hyssopring.agent.worker import WorkerTask
from hyssopring.protocol.messages import Resources, StartTask, TaskStatus
from hyssopring.tasks import FINAL_PHASES, StopMode, TaskKind, TaskPhase

__all__ = ('Attempt',)


@dataclass(slots=True)
class Attempt:
    """The agent's state of an attempt.

    Attributes:
        deadline: The latest deadline that the worker may have received, in
            ms of the VM's clock; 0 until the start was sent.
        start_returned_at: When the start call returned; a listing that was
            requested earlier may not include this attempt.
        is_unconfirmed: The response to the start was lost; the attempt may
            run, or begin to run until its deadline.
        stop_mode: How it was asked to stop; None if it was not.
        ticks_since_end: Ticks for which its end was not acknowledged.
    """

    command: StartTask
    phase: TaskPhase
    checkpoint: str = ''
    detail: str = ''
    share: float = 1
    used: Resources = Resources()
    deadline: float = 0
    start_returned_at: float = 0
    is_unconfirmed: bool = False
    stop_mode: StopMode | None = None
    stop_reason: str = ''
    reported_checkpoint: str = ''
    ticks_since_end: int = 0

    @classmethod
    def from_listed(cls, listed: WorkerTask) -> 'Attempt':
        """Build an attempt that an earlier run of the agent started."""
        command = listed.command
        return cls(
            command,
            TaskPhase.RUNNING,
            listed.checkpoint or command.checkpoint,
            share=listed.share,
            used=listed.used,
            deadline=listed.deadline,
        )

    @property
    def kind(self) -> TaskKind:
        """The kind of its task, batch or keeper."""
        return TaskKind(self.command.kind)

    @property
    def is_final(self) -> bool:
        """Whether it has certainly ended."""
        return self.phase in FINAL_PHASES

    @property
    def is_sent(self) -> bool:
        """Whether the worker may have received its start."""
        return self.deadline > 0

    def observe(self, listed: WorkerTask) -> None:
        """Update progress and usage from the worker's listing."""
        self.checkpoint = listed.checkpoint or self.checkpoint
        self.used = listed.used

    def status(self) -> TaskStatus:
        """Return the status that is reported to planners."""
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
