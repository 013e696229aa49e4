"""Promises checked inside the running program."""

from hyssopring.invariants.checks import InvariantError, Invariants

__all__ = ('InvariantError', 'Invariants')
