"""Accounts for what runs on one VM; the agent alone admits.

Declared sizes are often too small. Each owner counts with the larger of its
reservation and what was last measured of it, in each dimension, so a VM that
is fuller than declared takes no further work.

Entries plan on stale knowledge and may both choose this VM at once; only a
reservation here makes a start possible, so the VM is never given more than
it holds. What runs already cannot be refused: a backend server that announces
itself, a task that an earlier run of the agent has started. It is counted all
the same; while the VM is over-committed that way, nothing new starts.
"""

import math
from typing import Callable, Mapping

from hyssopring.invariants import Invariants
from hyssopring.logs import Event, log_event
from hyssopring.metrics import Metrics
from hyssopring.protocol.messages import Resources

__all__ = ('Ledger',)

# Counted in whole thousandths: sums of floats would drift past a limit.
_SCALE = 1000
_DIGITS = 3
_Amounts = tuple[int, int, int]
_NOTHING: _Amounts = (0, 0, 0)


class Ledger:
    """Reservations by owner against a VM's capacity."""

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
        self._size_by_owner: dict[str, _Amounts] = {}
        self._observed_by_owner: dict[str, _Amounts] = {}
        self._reserved = _NOTHING
        self._used = _NOTHING
        self._is_over = False
        self.has_unknown = False

    @property
    def free(self) -> Resources:
        """What is neither reserved nor used; negative on a VM over-full.

        Nothing is, while the size of something that runs is unknown.
        """
        if self.has_unknown:
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
    def is_over(self) -> bool:
        """Whether what was adopted or announced exceeds the VM."""
        return self._is_over

    def observe(self, observed_by_owner: Mapping[str, Resources]) -> None:
        """Take what was measured of owners; it lags behind their use."""
        self._observed_by_owner = {
            owner: _amounts(observed, math.ceil)
            for owner, observed in observed_by_owner.items()
            if owner in self._size_by_owner
        }
        self._recount()

    def reserve(self, owner: str, size: Resources) -> bool:
        """Reserve ``size`` for a new owner; False if it does not fit."""
        amounts = _amounts(size, math.ceil)
        is_sane = min(amounts) >= 0 and max(amounts) > 0
        if owner in self._size_by_owner or not is_sane:
            return False
        if self.has_unknown or not self._fits(_plus(self._used, amounts)):
            return False
        self._size_by_owner[owner] = amounts
        self._recount()
        return self._invariants.check(
            self._fits(self._reserved),
            'no VM is given more than it holds',
            f'owner={owner} reserved={self._reserved} of={self._limit}',
        )

    def adopt(self, owner: str, size: Resources) -> None:
        """Count what runs already, whether it fits or not."""
        amounts = _amounts(size, math.ceil)
        if self._size_by_owner.get(owner) != amounts:
            self._size_by_owner[owner] = amounts
            self._recount()

    def release(self, owner: str) -> None:
        """Give back an owner's reservation, if it has one."""
        if self._size_by_owner.pop(owner, None) is not None:
            self._observed_by_owner.pop(owner, None)
            self._recount()

    def _fits(self, used: _Amounts) -> bool:
        return all(
            part <= total for part, total in zip(used, self._limit, strict=True)
        )

    def _recount(self) -> None:
        self._reserved = _NOTHING
        self._used = _NOTHING
        for owner, size in self._size_by_owner.items():
            observed = self._observed_by_owner.get(owner, size)
            self._reserved = _plus(self._reserved, size)
            self._used = _plus(self._used, _larger(size, observed))
        is_over = not self._fits(self._reserved)
        if is_over != self._is_over:
            self._is_over = is_over
            self._metrics.gauge('vm_overcommitted', int(is_over))
            log_event(
                Event.VM_OVERCOMMITTED,
                is_over=is_over,
                free=self.free,
                owners=len(self._size_by_owner),
            )


def _amounts(
    size: Resources,
    to_whole: Callable[[float], int],
) -> _Amounts:
    return (
        to_whole(round(size.cores * _SCALE, _DIGITS)),
        to_whole(round(size.memory_gb * _SCALE, _DIGITS)),
        size.accelerators * _SCALE,
    )


def _plus(first: _Amounts, second: _Amounts) -> _Amounts:
    return (
        first[0] + second[0],
        first[1] + second[1],
        first[2] + second[2],
    )


def _larger(first: _Amounts, second: _Amounts) -> _Amounts:
    return (
        max(first[0], second[0]),
        max(first[1], second[1]),
        max(first[2], second[2]),
    )
