"""Invariants that are checked at run time."""

from hyssopring.invariants.checks import InvariantError, Invariants

__all__ = ('InvariantError', 'Invariants')
