"""Finds the times in which lasting tasks did not serve their users."""

from dataclasses import dataclass
from typing import Iterator

from hyssopring.cli.report.causes import Cause
from hyssopring.cli.report.day_log import DayLog
from hyssopring.cli.report.histories import Attempt, JobHistory, TaskHistory

__all__ = ('LastingLoss', 'losses_of_lasting')

_Span = tuple[float, float]


@dataclass(frozen=True, slots=True)
class LastingLoss:
    """A span of a lasting task's life.

    Attributes:
        cause: Why it did not serve its users; None for its whole life.
    """

    since_s: float
    until_s: float
    cause: Cause | None


def losses_of_lasting(
    history: JobHistory, day: DayLog
) -> Iterator[LastingLoss]:
    """Yield the life of each task, and the spans that were lost.

    A task that no line places is away for the whole life of its job. Lasting
    jobs have one step.
    """
    accepted_s = history.accepted_s or 0
    until_s = history.finished_s or day.ends_s
    for number in range(history.tasks):
        history.task(f'{history.job}.0.0.{number}')
    gaps = day.owner_gaps.of_job(history.job)
    for task in history.task_by_name.values():
        yield LastingLoss(accepted_s, until_s, None)
        away = list(_away(task, day, accepted_s, until_s))
        for span in away:
            yield from _split_by_owner(span, gaps)
        yield from _over_target(task, away, accepted_s, until_s)


def _away(
    task: TaskHistory, day: DayLog, since_s: float, until_s: float
) -> Iterator[_Span]:
    """Yield the times in which no attempt of a task was on a worker."""
    cursor_s = since_s
    for index, attempt in enumerate(task.attempts):
        if attempt.placed_s > cursor_s:
            yield cursor_s, min(attempt.placed_s, until_s)
        end_s = until_s
        if index + 1 < len(task.attempts):
            end_s = _lost_s(attempt, task.attempts[index + 1], day)
        if attempt.ended_s is not None:
            end_s = attempt.ended_s
        cursor_s = max(cursor_s, min(end_s, until_s))
    if cursor_s < until_s:
        yield cursor_s, until_s


def _lost_s(attempt: Attempt, following: Attempt, day: DayLog) -> float:
    """Return when an attempt was over at the latest, if no line tells.

    A VM that is lost takes the agent with it.
    """
    starts = day.started_by_process.get(attempt.agent, ())
    restarts = [
        at for at in starts if attempt.placed_s < at < following.placed_s
    ]
    return min([following.placed_s, *restarts])


def _split_by_owner(span: _Span, gaps: list[_Span]) -> Iterator[LastingLoss]:
    """Split the times without an owner off a time away."""
    cursor_s, until_s = span
    for start_s, end_s in sorted(gaps):
        since_s, to_s = max(cursor_s, start_s), min(until_s, end_s)
        if since_s < to_s:
            yield LastingLoss(cursor_s, since_s, Cause.AWAY)
            yield LastingLoss(since_s, to_s, Cause.NO_OWNER)
            cursor_s = to_s
    if cursor_s < until_s:
        yield LastingLoss(cursor_s, until_s, Cause.AWAY)


def _over_target(
    task: TaskHistory, away: list[_Span], since_s: float, until_s: float
) -> Iterator[LastingLoss]:
    """Yield the times over the target in which the task was not away."""
    for start_s, end_s, by in task.misses:
        is_away = any(start < end_s and start_s < end for start, end in away)
        if is_away or start_s < since_s or end_s > until_s:
            continue
        cause = Cause.OVER_BY_WORKER
        if by == 'neighbours':
            cause = Cause.OVER_BY_NEIGHBOURS
        yield LastingLoss(start_s, end_s, cause)
