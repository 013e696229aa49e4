"""Accounting of the resources of one VM; only the agent admits work.

Declared sizes are often too small. In each dimension, an owner counts with the
larger of its reservation and its last measured usage, so a VM that is fuller
than declared accepts no further work.

Two entries may choose this VM at once, as they plan on stale data. A task
starts only with a reservation in the ledger, so the VM is never given more
than its capacity. Work that already runs can't be refused: a backend server
that announces itself, or a task that an earlier run of the agent started. It
is counted as well; while the VM is overcommitted by it, nothing new starts.
"""

import math
from typing import Callable, Mapping

from hyssopring.invariants import Invariants
from hyssopring.logs import Event, log_event
from hyssopring.metrics import Metrics
from hyssopring.protocol.messages import Resources

__all__ = ('Ledger',)

# Amounts are integers in thousandths: the rounding errors of float sums could
# exceed a limit.
_SCALE = 1000
# Removes the rounding error of the multiplication before floor or ceil.
_DIGITS = 3
# Cores, gigabytes of memory and accelerators, each in thousandths.
_MilliAmounts = tuple[int, int, int]
_ZERO: _MilliAmounts = (0, 0, 0)


class Ledger:
    """Reservations by owner against a VM's capacity.

    Attributes:
        has_unknown_size: Whether something of unknown size runs on the VM;
            no capacity is free then.
    """

    def __init__(
        self,
        capacity: Resources,
        invariants: Invariants,
        metrics: Metrics,
    ) -> None:
        """Start with all of ``capacity`` free."""
        self._capacity = capacity
        self._limit = _amounts(capacity, math.floor)
        self._invariants = invariants
        self._metrics = metrics
        self._size_by_owner: dict[str, _MilliAmounts] = {}
        self._observed_by_owner: dict[str, _MilliAmounts] = {}
        self._reserved = _ZERO
        self._used = _ZERO
        self._is_overcommitted = False
        self.has_unknown_size = False

    @property
    def free(self) -> Resources:
        """The capacity that is neither reserved nor used.

        It is negative on an overcommitted VM, and zero while the size of
        something that runs is unknown.
        """
        if self.has_unknown_size:
            return Resources()
        cores, memory, accelerators = (
            total - used
            for total, used in zip(self._limit, self._used, strict=True)
        )
        return Resources(
            cores / _SCALE,
            memory / _SCALE,
            math.floor(accelerators / _SCALE),
        )

    @property
    def is_overcommitted(self) -> bool:
        """Whether reservations exceed the VM's capacity."""
        return self._is_overcommitted

    def observe(self, observed_by_owner: Mapping[str, Resources]) -> None:
        """Update the measured usage, which lags behind the actual usage."""
        self._observed_by_owner = {
            owner: _amounts(observed, math.ceil)
            for owner, observed in observed_by_owner.items()
            if owner in self._size_by_owner
        }
        self._recount()

    def reserve(self, owner: str, size: Resources) -> bool:
        """Reserve ``size`` for a new owner.

        Returns:
            False if it does not fit, is not positive, or the owner has a
            reservation already.
        """
        amounts = _amounts(size, math.ceil)
        is_valid = min(amounts) >= 0 and max(amounts) > 0
        if owner in self._size_by_owner or not is_valid:
            return False
        if self.has_unknown_size or not self._fits(_plus(self._used, amounts)):
            return False
        self._size_by_owner[owner] = amounts
        self._recount()
        return self._invariants.check(
            self._fits(self._reserved),
            'no VM is given more than it holds',
            f'owner={owner} reserved={self._reserved} of={self._limit}',
        )

    def adopt(self, owner: str, size: Resources) -> None:
        """Reserve ``size`` for what already runs, whether it fits or not."""
        amounts = _amounts(size, math.ceil)
        if self._size_by_owner.get(owner) != amounts:
            self._size_by_owner[owner] = amounts
            self._recount()

    def release(self, owner: str) -> None:
        """Release an owner's reservation, if it has one."""
        if self._size_by_owner.pop(owner, None) is not None:
            self._observed_by_owner.pop(owner, None)
            self._recount()

    def _fits(self, used: _MilliAmounts) -> bool:
        return all(
            amount <= total
            for amount, total in zip(used, self._limit, strict=True)
        )

    def _recount(self) -> None:
        self._reserved = _ZERO
        self._used = _ZERO
        for owner, size in self._size_by_owner.items():
            observed = self._observed_by_owner.get(owner, size)
            self._reserved = _plus(self._reserved, size)
            self._used = _plus(self._used, _larger(size, observed))
        is_over = not self._fits(self._reserved)
        if is_over != self._is_overcommitted:
            self._is_overcommitted = is_over
            self._metrics.gauge('vm_overcommitted', int(is_over))
            log_event(
                Event.VM_OVERCOMMITTED,
                is_over=is_over,
                free=self.free,
                owners=len(self._size_by_owner),
            )


def _amounts(
    size: Resources,
    rounding: Callable[[float], int],
) -> _MilliAmounts:
    return (
        rounding(round(size.cores * _SCALE, _DIGITS)),
        rounding(round(size.memory_gb * _SCALE, _DIGITS)),
        size.accelerators * _SCALE,
    )


def _plus(first: _MilliAmounts, second: _MilliAmounts) -> _MilliAmounts:
    return (
        first[0] + second[0],
        first[1] + second[1],
        first[2] + second[2],
    )


def _larger(first: _MilliAmounts, second: _MilliAmounts) -> _MilliAmounts:
    return (
        max(first[0], second[0]),
        max(first[1], second[1]),
        max(first[2], second[2]),
    )
