"""Renders a report as plain text."""

from typing import Any, Iterator

from hyssopring.cli.tables import render_table
from hyssopring.cli.report.causes import Cause
from hyssopring.cli.report.day_log import DayLog
from hyssopring.cli.report.losses import Losses

__all__ = (
    'CAUSE_HEADING',
    'CLASS_COLUMNS',
    'WINDOW_COLUMNS',
    'cause_columns',
    'cause_rows',
    'class_rows',
    'render_text',
    'window_rows',
)

CLASS_COLUMNS = ('queue', 'owed', 'in time', 'late', 'never', 'lost')
WINDOW_COLUMNS = ('from s', 'owed', 'lost', 'most by')
CAUSE_HEADING = 'lost, in percent of what the queue was owed'


def render_text(day: DayLog, losses: Losses) -> str:
    """Return the report as text: notes, classes, causes, windows."""
    parts = [
        *day.notes,
        f'began {day.began.isoformat(sep=" ", timespec="seconds")}, '
        + f'{day.ends_s:.0f} s, {len(day.history_by_job)} jobs; '
        + f'{losses.undecided} undecided when the log ended',
        '',
        render_table(CLASS_COLUMNS, list(class_rows(losses))),
        '',
        CAUSE_HEADING,
        render_table(cause_columns(losses), list(cause_rows(losses))),
        '',
        render_table(WINDOW_COLUMNS, list(window_rows(losses))),
    ]
    return '\n'.join(parts)


def class_rows(losses: Losses) -> Iterator[dict[str, Any]]:
    """Yield a row for each queue; of lasting jobs only what was owed."""
    for queue, job_class in sorted(losses.class_by_queue.items()):
        counts = {
            'in time': job_class.in_time,
            'late': job_class.late,
            'never': job_class.never,
        }
        yield {
            'queue': queue,
            'owed': float(job_class.owed),
            'lost': _percent(job_class.lost, job_class.owed),
            **({} if job_class.is_lasting else counts),
        }


def cause_rows(losses: Losses) -> Iterator[dict[str, Any]]:
    """Yield a row for each cause, with a column for each queue."""
    for cause in Cause:
        parts = {
            queue: _percent(job_class.lost_by_cause[cause], job_class.owed)
            for queue, job_class in losses.class_by_queue.items()
            if job_class.lost_by_cause[cause]
        }
        if parts:
            yield {'cause': cause.value, **parts}


def window_rows(losses: Losses) -> Iterator[dict[str, Any]]:
    """Yield a row for each window in which something was owed."""
    for start_s, owed in sorted(losses.owed_by_window.items()):
        lost = losses.lost_by_window.get(start_s)
        row: dict[str, Any] = {'from s': int(start_s), 'owed': float(owed)}
        if lost:
            row['lost'] = _percent(lost.total, owed)
            row['most by'] = lost.largest.value
        yield row


def cause_columns(losses: Losses) -> list[str]:
    """Return the columns of the table of causes."""
    return ['cause', *sorted(losses.class_by_queue)]


def _percent(part: float, whole: float) -> str:
    return f'{100 * part / whole:.1f}%' if whole else '-'
