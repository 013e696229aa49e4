"""Which tasks an agent checkpoints so that an urgent one can start.

The agent decides, not a planner: it alone knows all tasks of its VM, whoever
planned them, and one message then suffices to start an urgent task on a full
VM. Only batch tasks that are clearly less urgent give way, so no chain of
evictions can come round to where it began, and a keeper never does.
"""

from dataclasses import dataclass
from typing import Callable, Sequence

from hyssopring.agent.ledger import Ledger
from hyssopring.clock import Clock
from hyssopring.protocol.messages import Resources, StartTask
from hyssopring.tasks import TaskKind, TaskPhase

__all__ = (
    'URGENCY_GAP',
    'URGENT',
    'RoomMaker',
    'RunningTask',
    'choose_victims',
    'gives_way',
)

URGENT = 7
URGENCY_GAP = 2
# A checkpoint that takes longer than this leaves the urgent task to another
# VM; its start was to take 2 s.
_WAIT_MS = 1500.0


@dataclass(frozen=True, slots=True)
class RunningTask:
    """A task on this VM; one that is stopping gives its room back soon."""

    command: StartTask
    phase: TaskPhase


def gives_way(kind: str, urgency: int, to_urgency: int) -> bool:
    """Whether a task may be checkpointed for one of ``to_urgency``."""
    is_batch = kind == TaskKind.BATCH.value
    is_urgent = to_urgency >= URGENT
    return is_batch and is_urgent and urgency + URGENCY_GAP <= to_urgency


def choose_victims(
    command: StartTask,
    free: Resources,
    running: Sequence[RunningTask],
) -> list[str] | None:
    """Return the fewest tasks to checkpoint, None if room cannot be made.

    Args:
        command: The urgent start.
        free: Room that is not promised to anyone.
        running: Tasks that hold room on this VM.
    """
    for task in running:
        if task.phase is TaskPhase.STOPPING:
            free = free.plus(task.command.size)
    yielding = [
        task.command
        for task in running
        if task.phase is TaskPhase.RUNNING
        and gives_way(task.command.kind, task.command.urgency, command.urgency)
    ]
    # Largest first needs the fewest; of equals the least urgent goes.
    yielding.sort(key=lambda other: (-other.size.cores, other.urgency))
    victims: list[StartTask] = []
    for other in yielding:
        if free.holds(command.size):
            break
        victims.append(other)
        free = free.plus(other.size)
    if not free.holds(command.size):
        return None
    return _without_needless(victims, free.minus(command.size))


def _without_needless(victims: list[StartTask], spare: Resources) -> list[str]:
    """Leave out victims, smallest first, that the room is enough without."""
    kept = []
    for other in reversed(victims):
        if spare.holds(other.size):
            spare = spare.minus(other.size)
        else:
            kept.append(other.task_id)
    return kept


@dataclass(frozen=True, slots=True)
class _QueuedStart:
    command: StartTask
    until: float
    start: Callable[[], None]
    refuse: Callable[[], None]


class RoomMaker:
    """Urgent starts that wait until less urgent tasks have stopped."""

    def __init__(self, clock: Clock, ledger: Ledger) -> None:
        """Reserve room in ``ledger``."""
        self._clock = clock
        self._ledger = ledger
        self._queued_by_task: dict[str, _QueuedStart] = {}

    def victims(
        self,
        command: StartTask,
        running: Sequence[RunningTask],
    ) -> list[str] | None:
        """Return the tasks to checkpoint, None if room cannot be made."""
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
        """Call ``start`` once room is reserved, ``refuse`` if none comes."""
        until = self._clock.now() + _WAIT_MS
        queued = _QueuedStart(command, until, start, refuse)
        self._queued_by_task[command.task_id] = queued

    def forget(self, task_id: str) -> None:
        """The start has ended in another way."""
        self._queued_by_task.pop(task_id, None)

    def settle(self) -> None:
        """Start what fits by now; refuse what has waited too long."""
        for queued in list(self._queued_by_task.values()):
            command = queued.command
            if self._ledger.reserve(command.task_id, command.size):
                self.forget(command.task_id)
                queued.start()
            elif queued.until < self._clock.now():
                self.forget(command.task_id)
                queued.refuse()
