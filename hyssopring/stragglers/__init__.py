"""Copies of straggling tasks, and workers that are slower than their peers."""

from hyssopring.stragglers.run_time_source import RunTimeSource
from hyssopring.stragglers.stragglers import Stragglers

__all__ = ('RunTimeSource', 'Stragglers')
