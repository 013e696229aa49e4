"""Commands for tasks, and reports of their states.

A task's ``attempt`` only grows and fences older starts of the same task; a
shard's ``epoch`` only grows and fences older planners.
"""

from dataclasses import dataclass

from hyssopring.protocol.messages.resources import Resources

__all__ = (
    'StartTask',
    'StopTask',
    'TaskReport',
    'TaskReportAck',
    'TaskStatus',
    'ThrottleTask',
)


@dataclass(frozen=True, slots=True)
class TaskStatus:
    """The state of one task on an agent."""

    task_id: str
    shard: int
    epoch: int
    attempt: int
    phase: str
    checkpoint: str = ''
    detail: str = ''


@dataclass(frozen=True, slots=True)
class StartTask:
    """Start one attempt of a task under the shard's lease.

    Attributes:
        worker_boot: The only boot of the worker that this start is for.
    """

    task_id: str
    shard: int
    epoch: int
    attempt: int
    kind: str
    service_name: str
    size: Resources
    checkpoint: str
    run_ms: float
    urgency: int
    worker_boot: str = ''


@dataclass(frozen=True, slots=True)
class StopTask:
    """Stop one attempt; ``mode`` is ``checkpoint`` or ``cancel``."""

    task_id: str
    shard: int
    epoch: int
    attempt: int
    mode: str


@dataclass(frozen=True, slots=True)
class ThrottleTask:
    """Leave one attempt this share of its processor time, 0 to 1."""

    task_id: str
    shard: int
    epoch: int
    attempt: int
    share: float


@dataclass(frozen=True, slots=True)
class TaskReport:
    """States of tasks on an agent.

    ``complete`` means that these are all tasks of ``shard`` here, said with
    knowledge of ``epoch``: commands of older epochs are refused from now on.
    It speaks of what ``worker_boot`` runs and of no earlier boot.
    """

    tasks: tuple[TaskStatus, ...]
    complete: bool = False
    shard: int = 0
    epoch: int = 0
    worker_boot: str = ''


@dataclass(frozen=True, slots=True)
class TaskReportAck:
    """The planner has recorded these states; the agent may forget them."""

    tasks: tuple[TaskStatus, ...]
