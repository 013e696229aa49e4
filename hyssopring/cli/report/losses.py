"""Sums what was owed and what was lost, by class, window and cause."""

from collections import defaultdict
from dataclasses import dataclass, field
from typing import Final, Iterator

from hyssopring.cli.report.causes import Cause, Units
from hyssopring.cli.report.critical_path import seconds_by_cause
from hyssopring.cli.report.day_log import DayLog
from hyssopring.cli.report.histories import JobHistory
from hyssopring.cli.report.lasting_tasks import LastingLoss, losses_of_lasting

__all__ = ('Cause', 'ClassLosses', 'Losses', 'sum_losses')

# A job that takes longer than this many times its objective earns nothing.
_MAX_OBJECTIVES: Final = 3


@dataclass
class ClassLosses:
    """What was owed to the jobs of a queue, and lost.

    A batch job counts 1, a lasting one 1 for each window of its life.

    Attributes:
        is_lasting: Whether the queue holds lasting jobs.
        owed: What was owed.
        in_time: Batch jobs that ended within their objective.
        late: Batch jobs that ended later, but not too late to count.
        never: Batch jobs that did not end, or too late to count.
        lost_by_cause: What was lost.
    """

    is_lasting: bool = False
    owed: float = 0
    in_time: int = 0
    late: int = 0
    never: int = 0
    lost_by_cause: Units = field(default_factory=Units)

    @property
    def lost(self) -> float:
        """What was lost, of all causes."""
        return self.lost_by_cause.total


@dataclass
class Losses:
    """What was owed and lost on a day.

    Attributes:
        window_s: The length of a window in seconds.
        class_by_queue: The classes of jobs.
        owed_by_window: What was owed, by the start of a window in seconds. A
            batch job is part of the window in which it was accepted.
        lost_by_window: What was lost, by window and cause.
        undecided: Jobs that were still running when the log ended, within
            their objectives; nothing was owed to them yet.
    """

    window_s: float
    class_by_queue: dict[str, ClassLosses] = field(default_factory=dict)
    owed_by_window: dict[float, float] = field(
        default_factory=lambda: defaultdict(float)
    )
    lost_by_window: dict[float, Units] = field(
        default_factory=lambda: defaultdict(Units)
    )
    undecided: int = 0


def sum_losses(day: DayLog, window_s: float, late_share: float) -> Losses:
    """Sum the losses of a day.

    Args:
        day: The day.
        window_s: The length of a window in seconds.
        late_share: What a late job is worth, as a share of one in time.

    Returns:
        Losses whose parts add up to what was owed and not earned.
    """
    losses = Losses(window_s)
    adder = _Adder(day, losses, late_share)
    for history in day.history_by_job.values():
        adder.add(history)
    return losses


class _Adder:
    """Adds jobs to losses."""

    def __init__(self, day: DayLog, losses: Losses, late_share: float) -> None:
        self._day = day
        self._losses = losses
        self._late_share = late_share
        self._due_by_queue = _usual_objectives(day)

    def add(self, history: JobHistory) -> None:
        """Add a job; nothing is owed to one that was cancelled."""
        if history.is_lasting:
            self._add_lasting(history)
        elif history.accepted_s is not None and history.state != 'cancelled':
            self._add_batch(history, history.accepted_s)

    def _class_of(self, history: JobHistory) -> ClassLosses:
        return self._losses.class_by_queue.setdefault(
            history.queue, ClassLosses(history.is_lasting)
        )

    def _add_batch(self, history: JobHistory, accepted_s: float) -> None:
        is_open = history.finished_s is None
        until_s = history.finished_s or self._day.ends_s
        seconds = seconds_by_cause(
            history, self._day.owner_gaps.of_job(history.job), until_s
        )
        objective_s = max(
            history.objective_s(seconds.pop(Cause.WORK, 0)),
            self._due_by_queue.get(history.queue, 0) if is_open else 0,
        )
        age_s = until_s - accepted_s if is_open else history.age_s
        is_too_late = age_s > objective_s * _MAX_OBJECTIVES
        if is_open and not is_too_late:
            self._losses.undecided += 1
            return
        job_class = self._class_of(history)
        self._owe(job_class, accepted_s, 1)
        if history.state == 'failed':
            seconds.clear()
            seconds[Cause.FAILED] = 1
            is_too_late = True
        elif age_s <= objective_s:
            job_class.in_time += 1
            return
        job_class.late += not is_too_late
        job_class.never += is_too_late
        lost = 1 if is_too_late else 1 - self._late_share
        self._share_loss(job_class, accepted_s, seconds, lost)

    def _share_loss(
        self,
        job_class: ClassLosses,
        accepted_s: float,
        seconds: Units,
        lost: float,
    ) -> None:
        """Share a job's loss among causes by the time that each took."""
        if not seconds.total:
            seconds[Cause.WORK] = 1
        total_s = seconds.total
        for cause, share_s in seconds.items():
            self._lose(job_class, accepted_s, cause, lost * share_s / total_s)

    def _add_lasting(self, history: JobHistory) -> None:
        job_class = self._class_of(history)
        for loss in losses_of_lasting(history, self._day):
            for start_s, part_s in self._windows(loss):
                units = part_s / self._losses.window_s / max(history.tasks, 1)
                if loss.cause is None:
                    self._owe(job_class, start_s, units)
                else:
                    self._lose(job_class, start_s, loss.cause, units)

    def _windows(self, loss: LastingLoss) -> Iterator[tuple[float, float]]:
        """Yield the windows of a span, each with its seconds in it."""
        start_s = self._window_of(loss.since_s)
        while start_s < loss.until_s:
            end_s = start_s + self._losses.window_s
            yield start_s, min(end_s, loss.until_s) - max(start_s, loss.since_s)
            start_s = end_s

    def _window_of(self, at_s: float) -> float:
        return at_s // self._losses.window_s * self._losses.window_s

    def _owe(self, job_class: ClassLosses, at_s: float, units: float) -> None:
        job_class.owed += units
        self._losses.owed_by_window[self._window_of(at_s)] += units

    def _lose(
        self, job_class: ClassLosses, at_s: float, cause: Cause, units: float
    ) -> None:
        job_class.lost_by_cause[cause] += units
        self._losses.lost_by_window[self._window_of(at_s)][cause] += units


def _usual_objectives(day: DayLog) -> dict[str, float]:
    """Return the median objective of the jobs that ended, by queue."""
    objectives: dict[str, list[float]] = defaultdict(list)
    for history in day.history_by_job.values():
        if history.finished_s is not None:
            objectives[history.queue].append(history.due_s)
    return {
        queue: sorted(found)[len(found) // 2]
        for queue, found in objectives.items()
    }
