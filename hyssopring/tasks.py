"""Words shared by planners and agents about tasks."""

import enum

__all__ = ('FINAL_PHASES', 'StopMode', 'TaskKind', 'TaskPhase')


class TaskKind(enum.Enum):
    """Kinds of task: a batch task ends by itself, a keeper stays up."""

    BATCH = 'batch'
    KEEPER = 'keeper'


class TaskPhase(enum.Enum):
    """Where a task attempt stands on its agent.

    REFUSED: never started. STOPPED: ran, was stopped, may be resumed from
    its checkpoint. COMPLETED, FAILED: ended by itself.
    """

    STARTING = 'starting'
    RUNNING = 'running'
    STOPPING = 'stopping'
    REFUSED = 'refused'
    STOPPED = 'stopped'
    COMPLETED = 'completed'
    FAILED = 'failed'


class StopMode(enum.Enum):
    """How to stop a task."""

    CHECKPOINT = 'checkpoint'
    CANCEL = 'cancel'


FINAL_PHASES = frozenset(
    (
        TaskPhase.REFUSED,
        TaskPhase.STOPPED,
        TaskPhase.COMPLETED,
        TaskPhase.FAILED,
    )
)
