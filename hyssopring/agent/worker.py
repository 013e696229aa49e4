"""The platform's worker on this VM, as the agent sees it.

What the agent relies on:

* The worker ends a task by itself at the task's deadline. Deadlines are
  points of the VM's own clock, which agent and worker share, so a command
  that was delayed on its way extends nothing.
* A worker that begins anew has a new boot id. It refuses a start that was
  meant for another boot.
* It obeys one agent session at a time: the listing for a new session refuses
  what an earlier session, the agent's last run, still has under way.
"""

from dataclasses import dataclass
from typing import Callable, Mapping, Protocol

from hyssopring.protocol.messages import Resources, StartTask
from hyssopring.tasks import StopMode, TaskPhase

__all__ = ('StopAnswer', 'Worker', 'WorkerListing', 'WorkerTask')


@dataclass(frozen=True, slots=True)
class WorkerTask:
    """What the worker says of one task.

    Attributes:
        command: The start that it was given, kept by the worker.
        used: What the worker last measured; it lags.
        share: Share of processor time that the worker leaves it.
        until: When the worker will end it, on the VM's clock.
    """

    task_id: str
    attempt: int
    phase: str
    checkpoint: str
    command: StartTask
    used: Resources = Resources()
    share: float = 1
    until: float = 0


@dataclass(frozen=True, slots=True)
class WorkerListing:
    """All tasks of one boot of the worker."""

    boot: str
    tasks: tuple[WorkerTask, ...]


@dataclass(frozen=True, slots=True)
class StopAnswer:
    """How a stopped task ended: it may have completed just before."""

    phase: TaskPhase
    checkpoint: str


class Worker(Protocol):
    """Commands to the worker; an answer of None means that it is unknown."""

    def start(
        self,
        command: StartTask,
        until: float,
        done: Callable[[bool | None], None],
    ) -> None:
        """Start a task; False if the worker has refused."""

    def stop(
        self,
        command: StartTask,
        mode: StopMode,
        done: Callable[[StopAnswer | None], None],
    ) -> None:
        """Stop the attempt of this start, and forget it."""

    def throttle(self, task_id: str, share: float) -> None:
        """Leave a task this share of its processor time; the listing tells."""

    def renew(self, until_by_task: Mapping[str, float]) -> None:
        """Extend the deadlines of running tasks."""
