"""The platform's worker on this VM, and the attempts that it runs."""

from dataclasses import dataclass
from typing import Callable, Protocol

from hyssopring.protocol.messages import Resources, StartTask, TaskStatus
from hyssopring.tasks import StopMode, TaskKind, TaskPhase

__all__ = ('Attempt', 'Worker', 'WorkerTask')


@dataclass(frozen=True, slots=True)
class WorkerTask:
    """What the worker says of one task.

    Attributes:
        command: The start that it was given, kept by the worker.
        used: What the worker last measured; it lags.
        share: Share of processor time that the worker leaves it.
    """

    task_id: str
    attempt: int
    phase: str
    checkpoint: str
    command: StartTask | None = None
    used: Resources = Resources()
    share: float = 1


class Worker(Protocol):
    """The platform's worker on this VM."""

    def start(
        self,
        command: StartTask,
        lease_ms: float,
        done: Callable[[bool], None],
    ) -> None:
        """Start a task; it ends by itself when its lease is not renewed."""

    def stop(
        self,
        task_id: str,
        mode: StopMode,
        done: Callable[[str | None], None],
    ) -> None:
        """Stop a task; ``done`` gets its checkpoint, None if in doubt."""

    def throttle(self, task_id: str, share: float) -> None:
        """Leave a task this share of its processor time; the listing tells."""

    def renew(self, lease_ms_by_task: dict[str, float]) -> None:
        """Extend the leases of running tasks."""


@dataclass(slots=True)
class Attempt:
    """One attempt at a task, as its agent keeps it."""

    command: StartTask
    phase: TaskPhase
    checkpoint: str = ''
    detail: str = ''
    share: float = 1
    used: Resources = Resources()

    @property
    def kind(self) -> TaskKind:
        """Batch or keeper."""
        return TaskKind(self.command.kind)

    def observe(self, listed: WorkerTask) -> None:
        """Take what the worker says of progress and use."""
        self.checkpoint = listed.checkpoint
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
