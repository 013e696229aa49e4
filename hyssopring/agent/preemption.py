"""Preemption of less urgent tasks on a VM, so that an urgent one can start.

The agent decides, not a planner: only the agent knows all tasks of its VM,
from all planners, and one message then starts an urgent task on a full VM.
Only batch tasks are preempted, never keepers, and only for a task that is more
urgent by a minimum gap, so that preemptions can't form a cycle.
"""

from dataclasses import dataclass
from typing import Callable, Sequence

from hyssopring.agent.ledger import Ledger
from hyssopring.clock import Clock
from hyssopring.protocol.messages import Resources, StartTask
from hyssopring.tasks import TaskKind, TaskPhase

__all__ = (
    'MIN_PREEMPTING_URGENCY',
    'MIN_URGENCY_GAP',
    'PreemptionQueue',
    'RunningTask',
    'choose_victims',
    'is_preemptible',
)

# The lowest urgency of a task that may preempt others.
MIN_PREEMPTING_URGENCY = 7
# How much less urgent a preempted task must be.
MIN_URGENCY_GAP = 2
# After this time the start is refused, so that its planner tries another VM: an
# urgent task is meant to start within 2 s.
_MAX_PREEMPTION_MS = 1500.0


@dataclass(frozen=True, slots=True)
class RunningTask:
    """A task on this VM; one that is stopping releases its capacity soon."""

    command: StartTask
    phase: TaskPhase


def is_preemptible(kind: str, urgency: int, to_urgency: int) -> bool:
    """Whether a task may be preempted for one of ``to_urgency``."""
    is_batch = kind == TaskKind.BATCH.value
    is_urgent = to_urgency >= MIN_PREEMPTING_URGENCY
    return is_batch and is_urgent and urgency + MIN_URGENCY_GAP <= to_urgency


def choose_victims(
    command: StartTask,
    free: Resources,
    running: Sequence[RunningTask],
) -> list[str] | None:
    """Return the fewest tasks to preempt, None if that is not enough.

    Args:
        command: The urgent start.
        free: The capacity that is not reserved.
        running: The tasks that hold capacity on this VM.
    """
    for task in running:
        if task.phase is TaskPhase.STOPPING:
            free = free.plus(task.command.size)
    preemptible = [
        task.command
        for task in running
        if task.phase is TaskPhase.RUNNING
        and is_preemptible(
            task.command.kind, task.command.urgency, command.urgency
        )
    ]
    # Largest first needs the fewest; among equal sizes, least urgent first.
    preemptible.sort(
        key=lambda candidate: (-candidate.size.cores, candidate.urgency)
    )
    victims: list[StartTask] = []
    for candidate in preemptible:
        if free.holds(command.size):
            break
        victims.append(candidate)
        free = free.plus(candidate.size)
    if not free.holds(command.size):
        return None
    return _without_unneeded(victims, free.minus(command.size))


def _without_unneeded(victims: list[StartTask], spare: Resources) -> list[str]:
    """Drop victims, smallest first, whose capacity is not needed."""
    kept = []
    for candidate in reversed(victims):
        if spare.holds(candidate.size):
            spare = spare.minus(candidate.size)
        else:
            kept.append(candidate.task_id)
    return kept


@dataclass(frozen=True, slots=True)
class _QueuedStart:
    """An urgent start that waits until ``deadline`` for its capacity."""

    command: StartTask
    deadline: float
    start: Callable[[], None]
    refuse: Callable[[], None]


class PreemptionQueue:
    """Urgent starts that wait until preempted tasks have stopped."""

    def __init__(self, clock: Clock, ledger: Ledger) -> None:
        """Reserve capacity in ``ledger``."""
        self._clock = clock
        self._ledger = ledger
        self._queued_by_task: dict[str, _QueuedStart] = {}

    def select_victims(
        self,
        command: StartTask,
        running: Sequence[RunningTask],
    ) -> list[str] | None:
        """Return the tasks to preempt, None if that would not be enough.

        Capacity for the starts that wait already is not counted as free.
        """
        free = self._ledger.free
        for queued in self._queued_by_task.values():
            free = free.minus(queued.command.size)
        return choose_victims(command, free, running)

    def add(
        self,
        command: StartTask,
        start: Callable[[], None],
        refuse: Callable[[], None],
    ) -> None:
        """Queue a start.

        Args:
            command: The urgent start.
            start: Called once its capacity is reserved.
            refuse: Called if that takes too long.
        """
        deadline = self._clock.now() + _MAX_PREEMPTION_MS
        queued = _QueuedStart(command, deadline, start, refuse)
        self._queued_by_task[command.task_id] = queued

    def discard(self, task_id: str) -> None:
        """Remove a start that has ended in another way."""
        self._queued_by_task.pop(task_id, None)

    def start_ready(self) -> None:
        """Refuse starts that waited too long; start the others that fit.

        One that waited while the VM was suspended must not start under a later
        lease: its planner may have started the task elsewhere.
        """
        for queued in list(self._queued_by_task.values()):
            command = queued.command
            if queued.deadline < self._clock.now():
                self.discard(command.task_id)
                queued.refuse()
            elif self._ledger.reserve(command.task_id, command.size):
                self.discard(command.task_id)
                queued.start()
