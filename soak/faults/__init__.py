"""Starts and ends faults, and counts the work that each one affected."""

from soak.faults.made import Faults

__all__ = ('Faults',)
