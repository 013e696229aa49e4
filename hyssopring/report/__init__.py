"""A report on what jobs lost and why, from the log files of a deployment."""

from hyssopring.report.day_log import DayLog, read_day_log
from hyssopring.report.html_page import render_html
from hyssopring.report.losses import Cause, Losses, sum_losses
from hyssopring.report.text_page import render_text

__all__ = (
    'Cause',
    'DayLog',
    'Losses',
    'read_day_log',
    'render_html',
    'render_text',
    'sum_losses',
)
