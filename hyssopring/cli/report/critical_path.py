"""Splits the time of a batch job along its critical path by cause."""

from hyssopring.cli.report.causes import Cause, Units
from hyssopring.cli.report.histories import Attempt, JobHistory, TaskHistory
from hyssopring.cli.report.owners import overlap_s

__all__ = ('seconds_by_cause',)

_SAVED_ENDS = frozenset(('done', 'stopped'))


def seconds_by_cause(
    history: JobHistory,
    gaps: list[tuple[float, float]],
    until_s: float,
) -> Units:
    """Return the seconds of a job's time by what they were spent on.

    The critical path has, of each step, the task that ended last.

    Args:
        history: A job that was accepted.
        gaps: The times without an owner of its shard.
        until_s: When the job ended, or the log if it did not.

    Returns:
        Seconds that add up to the job's time; ``Cause.WORK`` are those in
        which the critical task ran at full pace.
    """
    path = _Path(gaps, until_s)
    cursor_s = history.accepted_s or 0
    for tasks in history.steps():
        cursor_s = path.add_step(tasks, cursor_s)
    path.add_wait(cursor_s, until_s, Cause.WAITS_FOR_ROOM)
    return path.seconds


class _Path:
    """The critical path of one job."""

    def __init__(self, gaps: list[tuple[float, float]], until_s: float) -> None:
        self.seconds = Units()
        self._gaps = gaps
        self._until_s = until_s

    def add_step(self, tasks: list[TaskHistory], ready_s: float) -> float:
        """Add the last task of a step; return when it ended."""
        task = max(tasks, key=self._end_of)
        begun_s = min(
            (each.attempts[0].placed_s for each in tasks if each.attempts),
            default=self._until_s,
        )
        cursor_s = ready_s
        for index, attempt in enumerate(task.attempts):
            following = task.attempts[index + 1 : index + 2]
            placed_s = max(cursor_s, attempt.placed_s)
            self._add_wait_for_start(cursor_s, placed_s, begun_s)
            cursor_s = max(placed_s, self._attempt_end(attempt, following))
            self._add_run(task, attempt, placed_s, cursor_s)
        if task.done_s is None:
            self._add_wait_for_start(cursor_s, self._until_s, begun_s)
            return self._until_s
        return cursor_s

    def add_wait(self, since_s: float, until_s: float, cause: Cause) -> None:
        """Add a wait, of which the times without an owner are split off."""
        if until_s > since_s:
            unowned_s = overlap_s(self._gaps, since_s, until_s)
            self.seconds[Cause.NO_OWNER] += unowned_s
            self.seconds[cause] += until_s - since_s - unowned_s

    def _add_wait_for_start(
        self, since_s: float, until_s: float, begun_s: float
    ) -> None:
        """Add a wait before and after the first task of the step began."""
        split_s = min(max(since_s, begun_s), until_s)
        self.add_wait(since_s, split_s, Cause.WAITS_FOR_ROOM)
        self.add_wait(max(since_s, split_s), until_s, Cause.PARTLY_STARTED)

    def _add_run(
        self, task: TaskHistory, attempt: Attempt, since_s: float, end_s: float
    ) -> None:
        """Add an attempt: as work, if its work was kept, else as lost."""
        is_running = not attempt.how and end_s >= self._until_s
        if not is_running and attempt.how not in _SAVED_ENDS:
            self.add_wait(since_s, end_s, Cause.RUN_LOST)
            return
        throttled_s = task.throttled_s(since_s, end_s)
        self.seconds[Cause.THROTTLED] += throttled_s
        self.seconds[Cause.WORK] += end_s - since_s - throttled_s

    def _end_of(self, task: TaskHistory) -> float:
        done_s = task.done_s
        return self._until_s if done_s is None else done_s

    def _attempt_end(self, attempt: Attempt, following: list[Attempt]) -> float:
        """Return when an attempt ended; without a line, at the next one."""
        if attempt.ended_s is not None:
            return min(attempt.ended_s, self._until_s)
        return following[0].placed_s if following else self._until_s
