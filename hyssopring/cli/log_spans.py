"""Derives spans of a job's time from log lines, each with its cause."""

import enum
from dataclasses import dataclass
from types import MappingProxyType
from typing import Final, Iterable, Iterator, Mapping, Sequence

from hyssopring.cli.log_lines import LogLine
from hyssopring.cli.log_outages import StoreOutage, millis_of
from hyssopring.logs import Event

__all__ = ('Certainty', 'Span', 'spans_of_lines', 'spans_of_outages')

_STEP_EVENTS: Final = frozenset(
    (Event.TASK_PLACED, Event.TASK_FINISHED, Event.TASK_LAPSED)
)
_CAUSE_BY_REASON: Final[Mapping[str, str]] = MappingProxyType(
    {
        'lapsed': 'its agent was not heard of for 8.4 s; see 2002 and 2007',
        'not listed': 'the worker crashed, or the start did not arrive',
        'worker replaced': 'the worker crashed, or the start did not arrive',
    }
)


class Certainty(enum.IntEnum):
    """How certain the cause of a span is; the most certain first.

    Attributes:
        LOGGED: A log line states the cause.
        INFERRED: The cause follows from the order of events.
        RUN: The span is the run of a task.
    """

    LOGGED = 0
    INFERRED = 1
    RUN = 2


@dataclass(frozen=True)
class Span:
    """A part of the job's time.

    Attributes:
        millis: The length in milliseconds.
        cause: What the time was spent on, for the operator.
        certainty: How certain the cause is.
    """

    millis: float
    cause: str
    certainty: Certainty = Certainty.LOGGED


def spans_of_lines(lines: Sequence[LogLine]) -> Iterator[Span]:
    """Yield waits, changes of owner and steps of tasks, in no order."""
    yield from _ownership_gaps(lines)
    yield from _keeper_waits(lines)
    accepted = _first(reversed(lines), Event.JOB_ACCEPTED)
    first_placed = _first(lines, Event.TASK_PLACED)
    if accepted is not None and first_placed is not None:
        wait_ms = millis_of(first_placed.at - accepted.at)
        cause = 'no room, or more urgent work first'
        yield Span(wait_ms, cause, Certainty.INFERRED)
    last_by_task: dict[str, LogLine] = {}
    for line in lines:
        task = str(line.record.get('task', ''))
        previous = last_by_task.get(task)
        if previous is not None:
            yield from _step_spans(previous, line)
        if task and line.event in _STEP_EVENTS:
            last_by_task[task] = line


def _step_spans(previous: LogLine, line: LogLine) -> Iterator[Span]:
    """Yield the span between two steps of a task, if it has a known cause."""
    millis = millis_of(line.at - previous.at)
    steps = (previous.event, line.event)
    how = previous.record.get('how')
    if steps == (Event.TASK_PLACED, Event.TASK_LAPSED):
        reason = str(line.record.get('reason', 'unknown'))
        yield Span(
            millis, f'{reason}: {_CAUSE_BY_REASON.get(reason, "see 3007")}'
        )
    elif steps == (Event.TASK_PLACED, Event.TASK_FINISHED):
        cause = 'the worker is slow, or the task was slowed down (3026)'
        yield Span(millis, cause, Certainty.RUN)
    elif steps == (Event.TASK_FINISHED, Event.TASK_PLACED):
        if how == 'stopped':
            cause = 'moved: its worker left, or it was throttled'
            yield Span(millis, cause, Certainty.INFERRED)


def _ownership_gaps(lines: Sequence[LogLine]) -> Iterator[Span]:
    """Yield the longest possible time without an owner, for each change.

    An owner that crashes logs nothing, so the time is counted from the line
    before the next owner's first line.
    """
    for previous, line in zip(lines, lines[1:], strict=False):
        if line.event == Event.SHARD_ACQUIRED:
            unreported = line.record.get('unheard', 'unknown')
            cause = (
                f'at most: the owner died or gave way ({unreported} unheard)'
            )
            yield Span(millis_of(line.at - previous.at), cause)


def _keeper_waits(lines: Sequence[LogLine]) -> Iterator[Span]:
    """Yield how long keepers waited for a worker, with the logged reason."""
    for line in lines:
        if line.event == Event.TASK_WAITING:
            record = line.record
            reason = record.get('reason', 'unknown')
            detail = f'{reason} {record.get("agents", "")}'.strip()
            cause = f'a lasting task waited: {detail}'
            yield Span(float(record.get('waited_ms', 0)), cause)


def spans_of_outages(
    outages: Sequence[StoreOutage],
    sources: set[str],
) -> Iterator[Span]:
    """Yield the outages of the processes in ``sources``."""
    for outage in outages:
        if outage.source not in sources:
            continue
        cause = f'the store was away from {outage.source}'
        yield Span(outage.millis, cause)


def _first(lines: Iterable[LogLine], event: Event) -> LogLine | None:
    return next((line for line in lines if line.event == event), None)
