"""Marks attempts that an owner wants to stop, and logs the reason."""

from hyssopring.jobs.fleet import PlacedAttempt, Worker
from hyssopring.logs import Event, log_event

__all__ = ('log_stop', 'mark_stopping')


def mark_stopping(placed: PlacedAttempt, worker: Worker, why: str) -> None:
    """Mark an attempt for stopping; log the reason the first time."""
    if placed.is_stopping:
        return
    placed.is_stopping = True
    log_stop(str(placed.name), placed.attempt, worker, why)


def log_stop(task: str, attempt: int, worker: Worker, why: str) -> None:
    """Log that an attempt is to stop, and the reason."""
    log_event(
        Event.TASK_STOPPED,
        task=task,
        attempt=attempt,
        agent=worker.agent_id,
        why=why,
    )
