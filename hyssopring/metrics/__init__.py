"""Metrics of one process, kept in HDR histograms."""

from hyssopring.metrics.registry import Metrics

__all__ = ('Metrics',)
