"""Commands for tasks, and reports of task states.

The ``attempt`` of a task only increases and fences earlier starts of it; the
``epoch`` of a shard only increases and fences earlier planners.
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
    """Starts one attempt of a task under the lease of its shard.

    Attributes:
        worker_boot: The boot of the worker that the start is valid for.
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
    """Stops one attempt; ``mode`` is ``checkpoint`` or ``cancel``."""

    task_id: str
    shard: int
    epoch: int
    attempt: int
    mode: str


@dataclass(frozen=True, slots=True)
class ThrottleTask:
    """Limits one attempt to a share of its processor time, 0 to 1."""

    task_id: str
    shard: int
    epoch: int
    attempt: int
    share: float


@dataclass(frozen=True, slots=True)
class TaskReport:
    """States of tasks on an agent.

    ``complete`` means that these are all tasks of ``shard`` on the agent, and
    that the agent knows ``epoch``: it rejects commands of earlier epochs from
    now on. The report covers only tasks of the boot ``worker_boot``.
    """

    tasks: tuple[TaskStatus, ...]
    complete: bool = False
    shard: int = 0
    epoch: int = 0
    worker_boot: str = ''


@dataclass(frozen=True, slots=True)
class TaskReportAck:
    """Confirms recorded states, which the agent may delete."""

    tasks: tuple[TaskStatus, ...]
