"""Makes faults, ends them, and counts which work each one met."""

from soak.faults.made import Faults

__all__ = ('Faults',)
