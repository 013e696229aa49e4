"""Metrics of one process and its resource usage."""

from hyssopring.metrics.process import gauge_process
from hyssopring.metrics.registry import Metrics

__all__ = ('Metrics', 'gauge_process')
