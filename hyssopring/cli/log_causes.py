"""Names the likely cause, after the table in docs/OPERATIONS.md.

The rule: a refusal and failed attempts speak for themselves. A job that is
late is put down to its longest span that a line explains (a lapse, a change of
owner, a move, a wait for room, an absence of the store) if that is at least
half of the delay, else to the longest span of all, which may be a slow run.
"""

from dataclasses import dataclass
from datetime import datetime, timedelta
from types import MappingProxyType
from typing import Final, Iterator, Mapping, Sequence

from hyssopring.cli.log_lines import LogLine
from hyssopring.cli.log_sentences import shown_seconds
from hyssopring.clock import MILLIS_PER_SECOND
from hyssopring.logs import Event

__all__ = ('Absence', 'likely_cause')

# Shorter spans are the ordinary course: tasks are planned and started within a
# second where there is room (assumed; docs/MEASUREMENTS.md has the figures).
_LONG_MS: Final = 1000
# A span explains a delay if it is at least one in so many parts of it.
_PARTS: Final = 2
_STEPS: Final = frozenset(
    (Event.TASK_PLACED, Event.TASK_FINISHED, Event.TASK_LAPSED)
)
_NONE: Final = 'Likely cause: none is seen'
_CAUSE_BY_REASON: Final[Mapping[str, str]] = MappingProxyType(
    {
        'lapsed': 'its agent was not heard of for 8.4 s; see 2002 and 2007',
        'not listed': 'the worker crashed, or the start did not arrive',
        'worker replaced': 'the worker crashed, or the start did not arrive',
    }
)


@dataclass(frozen=True)
class Absence:
    """A time in which the store gave one process no answer."""

    since: datetime
    until: datetime
    source: str
    detail: str

    @classmethod
    def between(cls, lost: LogLine, until: datetime | None) -> 'Absence':
        """Return the time from a loss to a recovery, if there was one."""
        detail = str(lost.record.get('detail', 'unknown'))
        return cls(lost.at, until or datetime.max, lost.source, detail)

    @property
    def is_over(self) -> bool:
        """Whether the store answered again within the lines."""
        return self.until != datetime.max

    @property
    def millis(self) -> float:
        """How long it took; a loss without an end has no length."""
        return _millis(self.until - self.since) if self.is_over else 0


@dataclass(frozen=True)
class _Span:
    """A stretch of the job's time and what it was spent on."""

    millis: float
    cause: str
    is_explained: bool = True


def likely_cause(lines: Sequence[LogLine], away: Sequence[Absence]) -> str:
    """Return the last line of a story."""
    finished = _last(lines, Event.JOB_FINISHED)
    refused = _last(lines, Event.REQUEST_REFUSED)
    if refused is not None and _last(lines, Event.JOB_ACCEPTED) is None:
        return _refusal(refused, away)
    spans = [*_spans(lines), *_absent(away)]
    if finished is None:
        return _longest(spans, 0)
    if finished.record.get('state') == 'failed':
        return _failure(lines)
    late_ms = _late_ms(finished)
    if late_ms <= 0:
        return f'{_NONE}; it did not end late'
    return _longest(spans, late_ms)


def _longest(spans: Sequence[_Span], late_ms: float) -> str:
    explained = [span for span in spans if span.is_explained]
    first = max(explained, key=lambda span: span.millis, default=None)
    if first is None or first.millis * _PARTS < late_ms:
        first = max(spans, key=lambda span: span.millis, default=None)
    if first is None or first.millis < _LONG_MS:
        return _NONE
    return f'Likely cause: {shown_seconds(first.millis)}: {first.cause}'


def _refusal(refused: LogLine, away: Sequence[Absence]) -> str:
    kind = refused.record.get('kind', refused.record.get('why'))
    if any(absence.source == refused.source for absence in away):
        return f'Likely cause: {kind}; the store was away from that entry'
    return f'Likely cause: {kind}; see its row in docs/ERRORS.md'


def _failure(lines: Sequence[LogLine]) -> str:
    failed = [
        line
        for line in lines
        if line.event == Event.TASK_FINISHED
        and line.record.get('how') == 'failed'
    ]
    if not failed:
        return _NONE
    task = failed[-1].record.get('task')
    agents = sorted(
        {
            str(line.record.get('agent'))
            for line in lines
            if line.event == Event.TASK_PLACED
            and line.record.get('task') == task
        }
    )
    return (
        f'Likely cause: {len(failed)} failed attempts, the last of {task} on '
        + f'{", ".join(agents) or "an unknown agent"}: its program, or the '
        + 'worker if other jobs failed there too'
    )


def _spans(lines: Sequence[LogLine]) -> Iterator[_Span]:
    yield from _handovers(lines)
    accepted = _last(lines, Event.JOB_ACCEPTED)
    first = next(
        (line for line in lines if line.event == Event.TASK_PLACED),
        None,
    )
    if accepted is not None and first is not None:
        wait = _millis(first.at - accepted.at)
        yield _Span(wait, 'no room, or more urgent work first')
    last_by_task: dict[str, LogLine] = {}
    for line in lines:
        task = str(line.record.get('task', ''))
        before = last_by_task.get(task)
        if before is not None:
            yield from _between(before, line)
        if task and line.event in _STEPS:
            last_by_task[task] = line


def _between(before: LogLine, line: LogLine) -> Iterator[_Span]:
    """Return the span between two steps of a task, if it says something."""
    millis = _millis(line.at - before.at)
    steps = (before.event, line.event)
    how = before.record.get('how')
    if steps == (Event.TASK_PLACED, Event.TASK_LAPSED):
        reason = str(line.record.get('reason', 'unknown'))
        yield _Span(
            millis, f'{reason}: {_CAUSE_BY_REASON.get(reason, "see 3007")}'
        )
    elif steps == (Event.TASK_PLACED, Event.TASK_FINISHED):
        cause = 'the worker is slow, or the task was slowed down (3026)'
        yield _Span(millis, cause, is_explained=False)
    elif steps == (Event.TASK_FINISHED, Event.TASK_PLACED):
        if how == 'stopped':
            cause = 'moved: its worker left, or held still beside keepers'
            yield _Span(millis, cause)


def _handovers(lines: Sequence[LogLine]) -> Iterator[_Span]:
    """Return how long the shard had no owner that wrote, at most.

    An owner that dies writes no line, so that the time is counted from the
    last line of the story before the next owner's first.
    """
    for before, line in zip(lines, lines[1:], strict=False):
        if line.event == Event.SHARD_ACQUIRED:
            unheard = line.record.get('unheard', 'unknown')
            cause = f'at most: the owner died or gave way ({unheard} unheard)'
            yield _Span(_millis(line.at - before.at), cause)


def _absent(away: Sequence[Absence]) -> Iterator[_Span]:
    for absence in away:
        cause = f'the store was away from {absence.source}'
        yield _Span(absence.millis, cause)


def _late_ms(finished: LogLine) -> float:
    age, due = finished.record.get('age_ms'), finished.record.get('due_ms')
    if isinstance(age, int) and isinstance(due, int):
        return age - due
    return 0


def _last(lines: Sequence[LogLine], event: Event) -> LogLine | None:
    found = [line for line in lines if line.event == event]
    return found[-1] if found else None


def _millis(span: timedelta) -> float:
    return span.total_seconds() * MILLIS_PER_SECOND
