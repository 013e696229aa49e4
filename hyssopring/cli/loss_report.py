"""The command that reports what jobs lost, from log files."""

import pathlib
from typing import Sequence

from hyssopring.cli.documents import usage_failure
from hyssopring.cli.output import exit_with, write_line
from hyssopring.cli.report import (
    DayLog,
    read_day_log,
    render_html,
    render_text,
    sum_losses,
)

__all__ = ('report_losses',)


def report_losses(
    paths: Sequence[str], html: str, window_s: float, late_share: float
) -> None:
    """Write what jobs lost, and why, from log files.

    Args:
        paths: The log files.
        html: The path of a page with plots; empty for none.
        window_s: The length of a window in seconds.
        late_share: What a late job is worth, as a share of one in time.
    """
    if not paths:
        exit_with(usage_failure('report: FILE is missing'))
    if window_s <= 0:
        exit_with(usage_failure('report: --window-s must be above 0'))
    if not 0 <= late_share <= 1:
        exit_with(usage_failure('report: --late-share must be from 0 to 1'))
    day = _read(paths)
    losses = sum_losses(day, window_s, late_share)
    write_line(render_text(day, losses))
    if not html:
        return
    try:
        page = render_html(day, losses)
    except ImportError:
        exit_with(
            usage_failure('report: --html needs the extra hyssopring[report]')
        )
    _write_page(html, page)


def _read(paths: Sequence[str]) -> DayLog:
    try:
        return read_day_log(paths)
    except OSError as error:
        exit_with(
            usage_failure(f'{error.filename}: cannot be read: {error.strerror}')
        )


def _write_page(path: str, page: str) -> None:
    try:
        pathlib.Path(path).write_text(page, encoding='utf-8')
    except OSError as error:
        exit_with(usage_failure(f'{path}: cannot be written: {error.strerror}'))
