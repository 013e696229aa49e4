"""Marks attempts that an owner wants stopped, with a line for the reason."""

from hyssopring.jobs.fleet import PlacedAttempt, Worker
from hyssopring.logs import Event, log_event

__all__ = ('mark_stopping',)


def mark_stopping(placed: PlacedAttempt, worker: Worker, why: str) -> None:
    """Note that an attempt is to stop, and say why the first time."""
    if placed.is_stopping:
        return
    placed.is_stopping = True
    log_event(
        Event.TASK_STOPPED,
        task=str(placed.name),
        attempt=placed.number,
        agent=worker.agent_id,
        why=why,
    )
