"""Metrics of one process, kept in HDR histograms, and what it uses."""

from hyssopring.metrics.process import gauge_process
from hyssopring.metrics.registry import Metrics

__all__ = ('Metrics', 'gauge_process')
