"""Accounts for what runs on one VM; the agent alone admits.

Entries plan on stale knowledge and may both choose this VM at once; only a
reservation here makes a start possible, so the VM is never given more than
it holds.
"""

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
        self._used = _NOTHING

    @property
    def free(self) -> Resources:
        """What is not reserved."""
        return self._capacity.minus(self._used)

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
            self._recount()

    def _recount(self) -> None:
        used = _NOTHING
        for size in self._size_by_owner.values():
            used = used.plus(size)
        self._used = used
        self._invariants.check(
            self._capacity.holds(used),
            'no VM is given more than it holds',
            f'used={used} capacity={self._capacity}',
        )
