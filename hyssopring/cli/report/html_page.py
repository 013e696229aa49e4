"""Renders a report as one HTML page with plots."""

import html
import io
from typing import Any, Final, Iterable, Mapping, Sequence

from hyssopring.cli.report.causes import Cause
from hyssopring.cli.report.day_log import DayLog
from hyssopring.cli.report.losses import Losses
from hyssopring.cli.report.text_page import (
    CAUSE_HEADING,
    CLASS_COLUMNS,
    WINDOW_COLUMNS,
    cause_columns,
    cause_rows,
    class_rows,
    window_rows,
)

__all__ = ('render_html',)

_Rows = Iterable[Mapping[str, Any]]
_STYLE: Final = (
    'body{font-family:sans-serif;max-width:60em;margin:2em auto}'
    + 'td,th{padding:0.1em 0.8em;text-align:right}'
    + 'td:first-child,th:first-child{text-align:left}'
)


def render_html(day: DayLog, losses: Losses) -> str:
    """Return the page: notes, a plot by class and one by window, tables.

    Raises:
        ImportError: matplotlib, of the extra ``report``, is not installed.
    """
    notes = ''.join(f'<p>{html.escape(note)}</p>' for note in day.notes)
    return '\n'.join(
        (
            '<!doctype html><html lang="en"><meta charset="utf-8">',
            f'<title>Report of {day.began}</title><style>{_STYLE}</style>',
            f'<h1>What was lost from {html.escape(str(day.began))}</h1>{notes}',
            _plot_of_classes(losses),
            _table(CLASS_COLUMNS, class_rows(losses)),
            f'<h2>{CAUSE_HEADING}</h2>',
            _table(cause_columns(losses), cause_rows(losses)),
            '<h2>By the time of acceptance</h2>',
            _plot_of_windows(losses),
            _table(WINDOW_COLUMNS, window_rows(losses)),
            '</html>',
        )
    )


def _table(columns: Sequence[str], rows: _Rows) -> str:
    heading = ''.join(f'<th>{html.escape(name)}' for name in columns)
    lines = [
        ''.join(f'<td>{_cell(row.get(name, ""))}' for name in columns)
        for row in rows
    ]
    return f'<table><tr>{heading}<tr>{"<tr>".join(lines)}</table>'


def _cell(figure: Any) -> str:
    if isinstance(figure, float):
        return f'{figure:.1f}'
    return html.escape(str(figure))


def _plot_of_classes(losses: Losses) -> str:
    """Return stacked bars of the lost share, by queue and cause."""
    classes = losses.class_by_queue
    queues = sorted(queue for queue in classes if classes[queue].owed)
    share_by_cause = {
        cause: [
            classes[queue].lost_by_cause[cause] / classes[queue].owed
            for queue in queues
        ]
        for cause in Cause
    }
    return _stacked_bars(queues, share_by_cause, 'share of what was owed')


def _plot_of_windows(losses: Losses) -> str:
    """Return stacked bars of what was lost, by window and cause."""
    windows = sorted(losses.owed_by_window)
    lost_by_cause = {
        cause: [losses.lost_by_window[start_s][cause] for start_s in windows]
        for cause in Cause
    }
    labels = [f'{start_s:.0f}' for start_s in windows]
    return _stacked_bars(labels, lost_by_cause, 'lost, in jobs')


def _stacked_bars(
    labels: list[str], heights_by_cause: dict[Cause, list[float]], axis: str
) -> str:
    # Imported here, as only this page needs the library.
    from matplotlib.figure import Figure  # noqa: WPS433

    figure = Figure(figsize=(9, 3), layout='tight')
    plot = figure.subplots()
    shown = {
        cause: heights
        for cause, heights in heights_by_cause.items()
        if any(heights)
    }
    bottoms: list[float] = [0 for _label in labels]
    for cause, heights in shown.items():
        plot.bar(labels, heights, bottom=bottoms, label=cause.value)
        bottoms = list(map(sum, zip(bottoms, heights, strict=True)))
    plot.tick_params(labelsize=7, labelrotation=45)
    plot.set_ylabel(axis)
    if shown:
        plot.legend(fontsize=7)
    return _svg_of(figure)


def _svg_of(figure: Any) -> str:
    """Return a figure as an element; a page has no declaration inside."""
    image = io.StringIO()
    figure.savefig(image, format='svg', metadata={'Date': None})
    _declaration, tag, rest = image.getvalue().partition('<svg')
    return tag + rest
