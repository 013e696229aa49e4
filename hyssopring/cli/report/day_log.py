"""Reads the log files of a deployment into histories of jobs."""

from dataclasses import dataclass, field
from datetime import datetime
from typing import Callable, Final, Mapping, Sequence

from hyssopring.cli.log_lines import FoundLines, LogLine, read_events
from hyssopring.clock import MILLIS_PER_SECOND
from hyssopring.logs import Event
from hyssopring.cli.report.histories import Attempt, JobHistory, TaskHistory
from hyssopring.cli.report.owners import OwnerGaps

__all__ = ('DayLog', 'read_day_log')

_FULL_PERCENT: Final = 100
_READ_EVENTS: Final = frozenset(
    (
        Event.PROCESS_STARTED,
        Event.JOB_ACCEPTED,
        Event.JOB_FINISHED,
        Event.TASK_PLACED,
        Event.TASK_FINISHED,
        Event.TASK_LAPSED,
        Event.TASK_STOPPED,
        Event.TASK_PACED,
        Event.TARGET_MISSED,
        Event.SHARD_ACQUIRED,
        Event.SHARD_LOST,
    )
)


@dataclass
class DayLog:
    """What the log files tell of a day; times are seconds from its start.

    Attributes:
        began: The time of the first line, in the processes' local time.
        ends_s: The time of the last line.
        history_by_job: The jobs that the files name, by id.
        owner_gaps: The times without an owner.
        started_by_process: When each process started, in order of time.
        notes: What could not be read, a sentence each.
    """

    began: datetime
    ends_s: float = 0
    history_by_job: dict[str, JobHistory] = field(default_factory=dict)
    owner_gaps: OwnerGaps = field(default_factory=OwnerGaps)
    started_by_process: dict[str, list[float]] = field(default_factory=dict)
    notes: list[str] = field(default_factory=list)


def read_day_log(paths: Sequence[str]) -> DayLog:
    """Read log files; what cannot be read is noted and left out.

    Args:
        paths: The files, in any order.

    Raises:
        OSError: A file cannot be read.
    """
    found = read_events(paths, _READ_EVENTS)
    began = found.lines[0].at if found.lines else datetime.min
    reader = _Reader(DayLog(began, notes=_notes_on(found)))
    for line in found.lines:
        reader.add(line)
    return reader.day


def _notes_on(found: FoundLines) -> list[str]:
    """Return a sentence for each kind of line that was left out."""
    notes: list[str] = []
    for path, counts in found.skipped_by_path.items():
        notes.extend(
            f'{path}: {count} lines left out: {reason}'
            for reason, count in sorted(counts.items())
        )
    notes.extend(f'{path}: no log line' for path in found.paths_without_lines)
    return notes


def _seconds(millis: float) -> float:
    return float(millis) / MILLIS_PER_SECOND


class _Reader:
    """Adds lines, in order of time, to a day."""

    def __init__(self, day: DayLog) -> None:
        self.day = day
        self._add_by_event: Mapping[int, Callable[[LogLine, float], None]] = {
            Event.PROCESS_STARTED: self._add_start,
            Event.JOB_ACCEPTED: self._add_job,
            Event.JOB_FINISHED: self._add_job_end,
            Event.TASK_PLACED: self._add_placement,
            Event.TASK_FINISHED: self._add_finish,
            Event.TASK_LAPSED: self._add_lapse,
            Event.TASK_STOPPED: self._add_stop,
            Event.TASK_PACED: self._add_pace,
            Event.TARGET_MISSED: self._add_target_miss,
        }

    def add(self, line: LogLine) -> None:
        """Add a line; one without a field that it needs is left out."""
        at_s = (line.at - self.day.began).total_seconds()
        self.day.ends_s = max(self.day.ends_s, at_s)
        self.day.owner_gaps.add(line, at_s)
        add = self._add_by_event.get(line.event)
        if add is None:
            return
        try:
            add(line, at_s)
        except (KeyError, TypeError, ValueError) as error:
            event = Event(line.event).name
            note = f'{line.source}: {event} of another release: {error!r}'
            if note not in self.day.notes:
                self.day.notes.append(note)

    def _job(self, job: object) -> JobHistory:
        return self.day.history_by_job.setdefault(
            str(job), JobHistory(str(job))
        )

    def _task(self, line: LogLine) -> TaskHistory:
        name = str(line.record['task'])
        return self._job(name.partition('.')[0]).task(name)

    def _add_start(self, line: LogLine, at_s: float) -> None:
        process = str(line.record['id'])
        self.day.started_by_process.setdefault(process, []).append(at_s)

    def _add_job(self, line: LogLine, at_s: float) -> None:
        history = self._job(line.record['job'])
        history.accepted_s = at_s
        history.queue = str(line.record['queue'])
        history.tasks = int(line.record['tasks'])
        history.is_lasting = bool(line.record['lasting'])
        history.slack = float(line.record['slack'])
        history.target_s = _seconds(line.record['target_ms'])

    def _add_job_end(self, line: LogLine, at_s: float) -> None:
        history = self._job(line.record['job'])
        history.age_s = _seconds(line.record['age_ms'])
        history.due_s = _seconds(line.record['due_ms'])
        history.finished_s = at_s
        history.state = str(line.record['state'])

    def _add_placement(self, line: LogLine, at_s: float) -> None:
        record = line.record
        self._task(line).attempts.append(
            Attempt(
                int(record['attempt']),
                str(record['agent']),
                at_s,
                is_resumed=bool(record['resumed']),
            )
        )

    def _add_finish(self, line: LogLine, at_s: float) -> None:
        self._end(line, at_s, str(line.record['how']))

    def _add_lapse(self, line: LogLine, at_s: float) -> None:
        self._end(line, at_s, 'lapsed')

    def _add_stop(self, line: LogLine, at_s: float) -> None:
        self._end(line, at_s, 'stopped')

    def _end(self, line: LogLine, at_s: float, how: str) -> None:
        number = int(line.record['attempt'])
        for attempt in self._task(line).attempts:
            if attempt.number == number and attempt.ended_s is None:
                attempt.ended_s = at_s
                attempt.how = how

    def _add_pace(self, line: LogLine, at_s: float) -> None:
        pace = int(line.record['pace']) / _FULL_PERCENT
        self._task(line).paces.append((at_s, pace))

    def _add_target_miss(self, line: LogLine, at_s: float) -> None:
        since_s = at_s - _seconds(line.record['lasted_ms'])
        by = str(line.record['by'])
        self._task(line).misses.append((since_s, at_s, by))
