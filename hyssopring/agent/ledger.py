"""Accounts for what runs on one VM; the agent alone admits.

Declared sizes are often too small. Each owner counts with the larger of its
reservation and what was last measured of it, in each dimension, so a VM that
is fuller than declared takes no further work.

Entries plan on stale knowledge and may both choose this VM at once; only a
reservation here makes a start possible, so the VM is never given more than
it holds.
"""

from typing import Mapping

from hyssopring.invariants import Invariants
from hyssopring.protocol.messages import Resources

__all__ = ('Ledger',)

_NOTHING = Resources()


class Ledger:
    """Reservations by owner against a VM's capacity."""

    def __init__(self, capacity: Resources, invariants: Invariants) -> None:
        """Start with all of ``capacity`` free."""
        self._capacity = capacity
        self._invariants = invariants
        self._size_by_owner: dict[str, Resources] = {}
        self._observed_by_owner: dict[str, Resources] = {}
        self._used = _NOTHING

    @property
    def free(self) -> Resources:
        """What is neither reserved nor used; negative on a VM over-full."""
        return self._capacity.minus(self._used)

    def observe(self, observed_by_owner: Mapping[str, Resources]) -> None:
        """Take what was measured of owners; it lags behind their use."""
        for owner, observed in observed_by_owner.items():
            if owner in self._size_by_owner:
                self._observed_by_owner[owner] = observed
        self._recount()

    def reserve(self, owner: str, size: Resources) -> bool:
        """Reserve ``size`` for a new owner; False if it does not fit."""
        if owner in self._size_by_owner or not self.free.holds(size):
            return False
        self._size_by_owner[owner] = size
        self._recount()
        return True

    def release(self, owner: str) -> None:
        """Give back an owner's reservation, if it has one."""
        if self._size_by_owner.pop(owner, None) is not None:
            self._observed_by_owner.pop(owner, None)
            self._recount()

    def _recount(self) -> None:
        reserved = _NOTHING
        used = _NOTHING
        for owner, size in self._size_by_owner.items():
            observed = self._observed_by_owner.get(owner, size)
            reserved = reserved.plus(size)
            used = used.plus(size.larger(observed))
        self._used = used
        self._invariants.check(
            self._capacity.holds(reserved),
            'no VM is given more than it holds',
            f'reserved={reserved} capacity={self._capacity}',
        )
