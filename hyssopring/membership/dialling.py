"""Dial schedule of an agent's entries, with backoff after failures."""

import random
from dataclasses import dataclass
from typing import Collection, Final, Iterable

from hyssopring.clock import Clock

__all__ = ('DialledAddresses',)

_REDIAL_MIN_MS: Final = 200.0
_REDIAL_MAX_MS: Final = 3000.0
# In a large deployment many agents dial an entry that returns.
_REDIAL_MAX_LARGE_MS: Final = 10_000.0
_REFUSED_MIN_MS: Final = 15_000.0
_REFUSED_MAX_MS: Final = 45_000.0
# Seeds that led to a connected entry are dialled again after up to this time,
# or the shorter one while an entry is missing.
_SEED_INTERVAL_MS: Final = 30_000.0
_SEED_INTERVAL_MISSING_MS: Final = 3000.0
# An entry that has failed for this long is replaced in the subset.
_DOWN_AFTER_MS: Final = 5000.0
_FORGET_AFTER_MS: Final = 600_000.0


@dataclass(slots=True)
class _Address:
    """Dial state of one address.

    Attributes:
        next_at: When to dial next.
        entry_id: The connected entry, or empty.
        failures: Number of consecutive failures.
        failing_since: Time of the first of them; None if there are none.
    """

    address: str
    next_at: float
    entry_id: str = ''
    is_dialling: bool = False
    failures: int = 0
    failing_since: float | None = None

    def answered(self) -> None:
        """Reset the failures, as an entry has responded."""
        self.is_dialling = False
        self.failures = 0
        self.failing_since = None


class DialledAddresses:
    """The addresses of an agent's entries and when to dial each next."""

    def __init__(self, clock: Clock, rng: random.Random) -> None:
        """Start without addresses; ``rng`` spreads dialling over time."""
        self._clock = clock
        self._rng = rng
        self._state_by_address: dict[str, _Address] = {}

    @property
    def connected(self) -> tuple[str, ...]:
        """Ids of the connected entries."""
        return tuple(
            state.entry_id
            for state in self._state_by_address.values()
            if state.entry_id
        )

    @property
    def down(self) -> frozenset[str]:
        """Addresses that have failed long enough to be replaced."""
        down_since = self._clock.now() - _DOWN_AFTER_MS
        return frozenset(
            state.address
            for state in self._state_by_address.values()
            if state.failing_since is not None
            and state.failing_since < down_since
        )

    def address_of(self, entry_id: str) -> str | None:
        """Return the address of a connected entry, or None."""
        state = self._connected_to(entry_id)
        return state.address if state else None

    def begin_dial(self, address: str) -> bool:
        """Return whether to dial now; if so, mark it as being dialled."""
        state = self._state_of(address)
        is_idle = not (state.is_dialling or state.entry_id)
        is_due = is_idle and state.next_at <= self._clock.now()
        state.is_dialling = state.is_dialling or is_due
        return is_due

    def attach(self, address: str, entry_id: str) -> None:
        """Record that an entry is connected at this address only."""
        self.detach(entry_id)
        state = self._state_of(address)
        state.answered()
        state.entry_id = entry_id

    def detach(self, entry_id: str) -> str | None:
        """Record that an entry is disconnected.

        Returns:
            Its address, or None if it was not connected.
        """
        state = self._connected_to(entry_id)
        if state is None:
            return None
        state.entry_id = ''
        return state.address

    def record_failure(
        self, address: str, is_refused: bool, is_large: bool
    ) -> None:
        """Record a failure and schedule the next dial with backoff.

        Args:
            address: The address that could not be connected or used.
            is_refused: The entry rejected this agent.
            is_large: Whether more entries are known than a full mesh has.
        """
        now_ms = self._clock.now()
        state = self._state_of(address)
        state.is_dialling = False
        state.failures += 1
        if state.failing_since is None:
            state.failing_since = now_ms
        state.next_at = now_ms + self._backoff_ms(state, is_refused, is_large)

    def postpone(self, address: str) -> None:
        """Postpone a seed that led to an entry that is connected already."""
        state = self._state_of(address)
        state.answered()
        delay_ms = self._rng.uniform(_SEED_INTERVAL_MS / 2, _SEED_INTERVAL_MS)
        state.next_at = self._clock.now() + delay_ms

    def hasten(self, seeds: Iterable[str]) -> None:
        """Dial postponed seeds sooner, as an entry is missing."""
        soon_ms = self._clock.now() + _SEED_INTERVAL_MISSING_MS
        for seed in seeds:
            state = self._state_of(seed)
            if state.next_at > soon_ms and not state.failures:
                state.next_at = soon_ms

    def forget_failed(
        self,
        listed: Collection[str],
        seeds: Collection[str],
    ) -> set[str]:
        """Remove unlisted addresses that have failed for ten minutes.

        Args:
            listed: Addresses in the lists of connected entries.
            seeds: Addresses that are never removed.

        Returns:
            The unlisted addresses that have failed for ten minutes, with
            the seeds among them.
        """
        now_ms = self._clock.now()
        expired = {
            state.address
            for state in self._state_by_address.values()
            if state.address not in listed
            and state.failing_since is not None
            and now_ms >= state.failing_since + _FORGET_AFTER_MS
        }
        for address in expired.difference(seeds):
            self._state_by_address.pop(address)
        return expired

    def _state_of(self, address: str) -> _Address:
        if address not in self._state_by_address:
            self._state_by_address[address] = _Address(
                address,
                self._clock.now(),
            )
        return self._state_by_address[address]

    def _connected_to(self, entry_id: str) -> _Address | None:
        for state in self._state_by_address.values():
            if state.entry_id == entry_id:
                return state
        return None

    def _backoff_ms(
        self,
        state: _Address,
        is_refused: bool,
        is_large: bool,
    ) -> float:
        """Return the delay before the next dial, in ms.

        It is random, so that agents do not reconnect at the same time.
        """
        if is_refused:
            return self._rng.uniform(_REFUSED_MIN_MS, _REFUSED_MAX_MS)
        max_ms = _REDIAL_MAX_LARGE_MS if is_large else _REDIAL_MAX_MS
        limit_ms = min(_REDIAL_MIN_MS * 2**state.failures, max_ms)
        return self._rng.uniform(_REDIAL_MIN_MS, limit_ms)
