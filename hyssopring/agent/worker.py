"""Interface of the platform's worker on this VM.

The agent relies on these guarantees:

* The worker ends a task by itself at the task's deadline. Deadlines are
  absolute times of the VM's clock, which agent and worker share, so a command
  that was delayed extends no deadline.
* A worker has a new boot id after each restart. It refuses a start for
  another boot.
* The worker serves one agent session at a time: after the first listing for a
  new session it refuses pending commands of an earlier one, thus of an
  earlier run of the agent.
"""

from dataclasses import dataclass
from typing import Callable, Mapping, Protocol

from hyssopring.protocol.messages import Resources, StartTask
from hyssopring.tasks import StopMode, TaskPhase

__all__ = ('StopResponse', 'Worker', 'WorkerListing', 'WorkerTask')


@dataclass(frozen=True, slots=True)
class WorkerTask:
    """A task in the worker's listing.

    Attributes:
        command: The start command, as stored by the worker.
        used: The last measured usage, which lags behind.
        share: The share of processor time that it may use, from 0 to 1.
        deadline: When the worker ends it, in ms of the VM's clock.
    """

    task_id: str
    attempt: int
    phase: str
    checkpoint: str
    command: StartTask
    used: Resources = Resources()
    share: float = 1
    deadline: float = 0


@dataclass(frozen=True, slots=True)
class WorkerListing:
    """All tasks of one boot of the worker."""

    boot: str
    tasks: tuple[WorkerTask, ...]


@dataclass(frozen=True, slots=True)
class StopResponse:
    """How a stopped task ended: it may have completed just before."""

    phase: TaskPhase
    checkpoint: str


class Worker(Protocol):
    """Sends commands to the worker.

    A callback gets None if the outcome is unknown.
    """

    def start(
        self,
        command: StartTask,
        deadline: float,
        done: Callable[[bool | None], None],
    ) -> None:
        """Start a task; ``done`` gets False if the worker has refused."""

    def stop(
        self,
        command: StartTask,
        mode: StopMode,
        done: Callable[[StopResponse | None], None],
    ) -> None:
        """Stop the attempt of this start and remove it from the listing."""

    def throttle(self, task_id: str, share: float) -> None:
        """Set a task's share of processor time; listings contain the result."""

    def renew(self, deadline_by_task: Mapping[str, float]) -> None:
        """Extend the deadlines of running tasks."""
