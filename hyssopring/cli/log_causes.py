"""Finds the likely cause of a late or failed job or a refused request.

The causes are those of the table in docs/OPERATIONS.md. A refusal and failed
attempts are causes themselves. The cause of a late job is a span of at least
half of the delay: the longest of those whose cause was logged (an expired
lease, a change of owner, an outage of the store), else of those whose cause
is inferred (a move, a wait for capacity, which may contain a logged span),
else of the runs. If no span is that long, it is the longest of all.
"""

from typing import Final, Sequence

from hyssopring.cli.log_lines import LogLine
from hyssopring.cli.log_outages import StoreOutage
from hyssopring.cli.log_sentences import format_seconds
from hyssopring.cli.log_spans import Span, spans_of_lines, spans_of_outages
from hyssopring.logs import Event

__all__ = ('likely_cause',)

# Shorter spans are normal: where there is capacity, tasks are planned and
# started within a second (assumed; docs/MEASUREMENTS.md has the figures).
_MIN_SPAN_MS: Final = 1000
# A span explains a delay if it is at least the delay divided by this.
_DELAY_DIVISOR: Final = 2
_NO_CAUSE: Final = 'Likely cause: none is seen'


def likely_cause(
    lines: Sequence[LogLine],
    outages: Sequence[StoreOutage],
) -> str:
    """Return the sentence that names the likely cause.

    Args:
        lines: The lines of the timeline, in order of time.
        outages: The outages of the store in that time.
    """
    finished = _last(lines, Event.JOB_FINISHED)
    refused = _last(lines, Event.REQUEST_REFUSED)
    if refused is not None and _last(lines, Event.JOB_ACCEPTED) is None:
        return _refusal_cause(refused, lines, outages)
    sources = {line.source for line in lines}
    spans = [*spans_of_lines(lines), *spans_of_outages(outages, sources)]
    if finished is None:
        return _longest_span_cause(spans, 0)
    if finished.record.get('state') == 'failed':
        return _failure_cause(lines)
    late_ms = _late_ms(finished)
    if late_ms <= 0:
        return f'{_NO_CAUSE}; it did not end late'
    return _longest_span_cause(spans, late_ms)


def _longest_span_cause(spans: Sequence[Span], late_ms: float) -> str:
    long_spans = [span for span in spans if span.millis >= _MIN_SPAN_MS]
    if not long_spans:
        return _NO_CAUSE
    explaining = [
        span for span in long_spans if span.millis * _DELAY_DIVISOR >= late_ms
    ]
    first = min(
        explaining or long_spans,
        key=lambda span: (span.certainty if explaining else 0, -span.millis),
    )
    return f'Likely cause: {format_seconds(first.millis)}: {first.cause}'


def _refusal_cause(
    refused: LogLine,
    lines: Sequence[LogLine],
    outages: Sequence[StoreOutage],
) -> str:
    kind = refused.record.get('kind', refused.record.get('why'))
    if any(outage.source == refused.source for outage in outages):
        return f'Likely cause: {kind}; the store was away from that entry'
    return f'Likely cause: {kind}; see its row in docs/ERRORS.md'


def _failure_cause(lines: Sequence[LogLine]) -> str:
    given_up = _last(lines, Event.TASK_GIVEN_UP)
    if given_up is not None:
        return _crash_cause(given_up)
    failed = [
        line
        for line in lines
        if line.event == Event.TASK_FINISHED
        and line.record.get('how') == 'failed'
    ]
    if not failed:
        return _NO_CAUSE
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


def _crash_cause(given_up: LogLine) -> str:
    record = given_up.record
    return (
        f'Likely cause: {record.get("task")} crashes the workers that start '
        + f'it: {record.get("crashes")} crashes, on {record.get("agents")}'
    )


def _late_ms(finished: LogLine) -> float:
    age_ms, due_ms = (
        finished.record.get('age_ms'),
        finished.record.get('due_ms'),
    )
    if isinstance(age_ms, int) and isinstance(due_ms, int):
        return age_ms - due_ms
    return 0


def _last(lines: Sequence[LogLine], event: Event) -> LogLine | None:
    matching = [line for line in lines if line.event == event]
    return matching[-1] if matching else None
