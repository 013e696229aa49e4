"""The spans of time that a story's lines tell of, each with its cause."""

import enum
from dataclasses import dataclass
from types import MappingProxyType
from typing import Final, Iterable, Iterator, Mapping, Sequence

from hyssopring.cli.log_absences import Absence, millis_of
from hyssopring.cli.log_lines import LogLine
from hyssopring.logs import Event

__all__ = ('Rank', 'Span', 'absent_spans', 'told_spans')

_STEPS: Final = frozenset(
    (Event.TASK_PLACED, Event.TASK_FINISHED, Event.TASK_LAPSED)
)
_CAUSE_BY_REASON: Final[Mapping[str, str]] = MappingProxyType(
    {
        'lapsed': 'its agent was not heard of for 8.4 s; see 2002 and 2007',
        'not listed': 'the worker crashed, or the start did not arrive',
        'worker replaced': 'the worker crashed, or the start did not arrive',
    }
)


class Rank(enum.IntEnum):
    """How sure a span's cause is; the surest first."""

    TOLD = 0
    INFERRED = 1
    RUN = 2


@dataclass(frozen=True)
class Span:
    """A stretch of the job's time and what it was spent on."""

    millis: float
    cause: str
    rank: Rank = Rank.TOLD


def told_spans(lines: Sequence[LogLine]) -> Iterator[Span]:
    """Yield waits, changes of owner and steps of tasks, in no order."""
    yield from _handovers(lines)
    yield from _waits(lines)
    accepted = _first(reversed(lines), Event.JOB_ACCEPTED)
    first = _first(lines, Event.TASK_PLACED)
    if accepted is not None and first is not None:
        wait = millis_of(first.at - accepted.at)
        cause = 'no room, or more urgent work first'
        yield Span(wait, cause, Rank.INFERRED)
    last_by_task: dict[str, LogLine] = {}
    for line in lines:
        task = str(line.record.get('task', ''))
        before = last_by_task.get(task)
        if before is not None:
            yield from _between(before, line)
        if task and line.event in _STEPS:
            last_by_task[task] = line


def _between(before: LogLine, line: LogLine) -> Iterator[Span]:
    """Return the span between two steps of a task, if it says something."""
    millis = millis_of(line.at - before.at)
    steps = (before.event, line.event)
    how = before.record.get('how')
    if steps == (Event.TASK_PLACED, Event.TASK_LAPSED):
        reason = str(line.record.get('reason', 'unknown'))
        yield Span(
            millis, f'{reason}: {_CAUSE_BY_REASON.get(reason, "see 3007")}'
        )
    elif steps == (Event.TASK_PLACED, Event.TASK_FINISHED):
        cause = 'the worker is slow, or the task was slowed down (3026)'
        yield Span(millis, cause, Rank.RUN)
    elif steps == (Event.TASK_FINISHED, Event.TASK_PLACED):
        if how == 'stopped':
            cause = 'moved: its worker left, or held still beside keepers'
            yield Span(millis, cause, Rank.INFERRED)


def _handovers(lines: Sequence[LogLine]) -> Iterator[Span]:
    """Return how long the shard had no owner that wrote, at most.

    An owner that dies writes no line, so that the time is counted from the
    last line of the story before the next owner's first.
    """
    for before, line in zip(lines, lines[1:], strict=False):
        if line.event == Event.SHARD_ACQUIRED:
            unheard = line.record.get('unheard', 'unknown')
            cause = f'at most: the owner died or gave way ({unheard} unheard)'
            yield Span(millis_of(line.at - before.at), cause)


def _waits(lines: Sequence[LogLine]) -> Iterator[Span]:
    """Return how long lasting tasks waited, with the owner's reason."""
    for line in lines:
        if line.event == Event.TASK_WAITING:
            record = line.record
            reason = record.get('reason', 'unknown')
            about = f'{reason} {record.get("agents", "")}'.strip()
            cause = f'a lasting task waited: {about}'
            yield Span(float(record.get('waited_ms', 0)), cause)


def absent_spans(away: Sequence[Absence], sources: set[str]) -> Iterator[Span]:
    """Return the absences from processes that wrote of the job or shard."""
    for absence in away:
        if absence.source not in sources:
            continue
        cause = f'the store was away from {absence.source}'
        yield Span(absence.millis, cause)


def _first(lines: Iterable[LogLine], event: Event) -> LogLine | None:
    return next((line for line in lines if line.event == event), None)
