"""Names the likely cause, after the table in docs/OPERATIONS.md.

The rule: a refusal and failed attempts speak for themselves. A job that is
late is put down to the longest span that explains at least half of the delay,
first of those that a line tells of (a lapse, a change of owner, an absence of
the store), then of those that are inferred (a move, a wait for room: they may
contain the former), then of the runs; else to the longest of all.
"""

from typing import Final, Sequence

from hyssopring.cli.log_absences import Absence
from hyssopring.cli.log_lines import LogLine
from hyssopring.cli.log_sentences import shown_seconds
from hyssopring.cli.log_spans import Span, absent_spans, told_spans
from hyssopring.logs import Event

__all__ = ('likely_cause',)

# Shorter spans are the ordinary course: tasks are planned and started within a
# second where there is room (assumed; docs/MEASUREMENTS.md has the figures).
_LONG_MS: Final = 1000
# A span explains a delay if it is at least one in so many parts of it.
_PARTS: Final = 2
_NONE: Final = 'Likely cause: none is seen'


def likely_cause(lines: Sequence[LogLine], away: Sequence[Absence]) -> str:
    """Return the last line of a story."""
    finished = _last(lines, Event.JOB_FINISHED)
    refused = _last(lines, Event.REQUEST_REFUSED)
    if refused is not None and _last(lines, Event.JOB_ACCEPTED) is None:
        return _refusal(refused, away)
    sources = {line.source for line in lines}
    spans = [*told_spans(lines), *absent_spans(away, sources)]
    if finished is None:
        return _longest(spans, 0)
    if finished.record.get('state') == 'failed':
        return _failure(lines)
    late_ms = _late_ms(finished)
    if late_ms <= 0:
        return f'{_NONE}; it did not end late'
    return _longest(spans, late_ms)


def _longest(spans: Sequence[Span], late_ms: float) -> str:
    long = [span for span in spans if span.millis >= _LONG_MS]
    if not long:
        return _NONE
    explaining = [span for span in long if span.millis * _PARTS >= late_ms]
    first = min(
        explaining or long,
        key=lambda span: (span.rank if explaining else 0, -span.millis),
    )
    return f'Likely cause: {shown_seconds(first.millis)}: {first.cause}'


def _refusal(refused: LogLine, away: Sequence[Absence]) -> str:
    kind = refused.record.get('kind', refused.record.get('why'))
    if any(absence.source == refused.source for absence in away):
        return f'Likely cause: {kind}; the store was away from that entry'
    return f'Likely cause: {kind}; see its row in docs/ERRORS.md'


def _failure(lines: Sequence[LogLine]) -> str:
    given_up = _last(lines, Event.TASK_GIVEN_UP)
    if given_up is not None:
        return _crashes(given_up)
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


def _crashes(given_up: LogLine) -> str:
    record = given_up.record
    return (
        f'Likely cause: {record.get("task")} crashes the workers that start '
        + f'it: {record.get("crashes")} crashes, on {record.get("agents")}'
    )


def _late_ms(finished: LogLine) -> float:
    age, due = finished.record.get('age_ms'), finished.record.get('due_ms')
    if isinstance(age, int) and isinstance(due, int):
        return age - due
    return 0


def _last(lines: Sequence[LogLine], event: Event) -> LogLine | None:
    found = [line for line in lines if line.event == event]
    return found[-1] if found else None
