"""A report on what jobs lost and why, from the log files of a deployment."""

from hyssopring.cli.report.day_log import DayLog, read_day_log
from hyssopring.cli.report.html_page import render_html
from hyssopring.cli.report.losses import Cause, Losses, sum_losses
from hyssopring.cli.report.text_page import render_text

__all__ = (
    'Cause',
    'DayLog',
    'Losses',
    'read_day_log',
    'render_html',
    'render_text',
    'sum_losses',
)
