"""Enumerations about tasks that planners and agents share."""

import enum

__all__ = ('FINAL_PHASES', 'StopMode', 'TaskKind', 'TaskPhase')


class TaskKind(enum.Enum):
    """Kinds of tasks: a batch task ends by itself, a keeper runs on."""

    BATCH = 'batch'
    KEEPER = 'keeper'


class TaskPhase(enum.Enum):
    """State of a task attempt on its agent.

    REFUSED: it never started. STOPPED: it ran, was stopped and can resume from
    its checkpoint. COMPLETED and FAILED: it ended by itself.
    """

    STARTING = 'starting'
    RUNNING = 'running'
    STOPPING = 'stopping'
    REFUSED = 'refused'
    STOPPED = 'stopped'
    COMPLETED = 'completed'
    FAILED = 'failed'


class StopMode(enum.Enum):
    """Whether a stopped task saves a checkpoint or is cancelled."""

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
