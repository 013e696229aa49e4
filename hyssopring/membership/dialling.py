"""When an agent dials each entry's address, and which do not answer."""

import random
from dataclasses import dataclass
from typing import Collection, Final, Iterable

from hyssopring.clock import Clock

__all__ = ('DialledAddresses',)

_REDIAL_MIN_MS: Final = 200.0
_REDIAL_MAX_MS: Final = 3000.0
# With many entries the agents of one that comes back are many, too.
_REDIAL_MAX_LARGE_MS: Final = 10_000.0
_REFUSED_MIN_MS: Final = 15_000.0
_REFUSED_MAX_MS: Final = 45_000.0
# Seeds are dialled again in this time, sooner while an entry is missing.
_SEED_MS: Final = 30_000.0
_SEED_SOON_MS: Final = 3000.0
# An entry that has not answered for this long is replaced in the subset.
_DOWN_MS: Final = 5000.0
_FORGET_MS: Final = 600_000.0


@dataclass(slots=True)
class _Address:
    """What is known of one address.

    Attributes:
        entry_id: The entry at its other end while connected.
        failing_since: When it first failed in a row, None if it did not.
    """

    address: str
    next_at: float
    entry_id: str = ''
    is_dialling: bool = False
    attempts: int = 0
    failing_since: float | None = None

    def answered(self) -> None:
        """Note that an entry was found here."""
        self.is_dialling = False
        self.attempts = 0
        self.failing_since = None


class DialledAddresses:
    """The addresses of one agent's entries, by when to dial them next."""

    def __init__(self, clock: Clock, rng: random.Random) -> None:
        """Know no address; ``rng`` spreads the dialling over time."""
        self._clock = clock
        self._rng = rng
        self._address_by_text: dict[str, _Address] = {}

    @property
    def connected(self) -> tuple[str, ...]:
        """Ids of the connected entries."""
        return tuple(
            known.entry_id
            for known in self._address_by_text.values()
            if known.entry_id
        )

    @property
    def down(self) -> frozenset[str]:
        """Addresses that have failed for so long that others replace them."""
        down_since = self._clock.now() - _DOWN_MS
        return frozenset(
            known.address
            for known in self._address_by_text.values()
            if known.failing_since is not None
            and known.failing_since < down_since
        )

    def address_of(self, entry_id: str) -> str | None:
        """Return the address that a connected entry was reached at."""
        known = self._connected_to(entry_id)
        return known.address if known else None

    def dial(self, address: str) -> bool:
        """Whether to dial now; if so, it counts as being dialled."""
        known = self._known(address)
        is_idle = not (known.is_dialling or known.entry_id)
        is_due = is_idle and known.next_at <= self._clock.now()
        known.is_dialling = known.is_dialling or is_due
        return is_due

    def attach(self, address: str, entry_id: str) -> None:
        """An entry is connected at this address, and at no other."""
        self.detach(entry_id)
        known = self._known(address)
        known.answered()
        known.entry_id = entry_id

    def detach(self, entry_id: str) -> str | None:
        """An entry is not connected any more; return its address."""
        known = self._connected_to(entry_id)
        if known is None:
            return None
        known.entry_id = ''
        return known.address

    def fail(self, address: str, is_refused: bool, is_large: bool) -> None:
        """Dial again after a pause that grows with each failure in a row."""
        now = self._clock.now()
        known = self._known(address)
        known.is_dialling = False
        known.attempts += 1
        if known.failing_since is None:
            known.failing_since = now
        known.next_at = now + self._pause(known, is_refused, is_large)

    def rest(self, address: str) -> None:
        """Dial a seed that led to a connected entry again much later."""
        known = self._known(address)
        known.answered()
        pause = self._rng.uniform(_SEED_MS / 2, _SEED_MS)
        known.next_at = self._clock.now() + pause

    def hasten(self, seeds: Iterable[str]) -> None:
        """Dial seeds that rest soon: an entry is missing."""
        soon = self._clock.now() + _SEED_SOON_MS
        for seed in seeds:
            known = self._known(seed)
            if known.next_at > soon and not known.attempts:
                known.next_at = soon

    def forget_failed(
        self,
        listed: Collection[str],
        seeds: Collection[str],
    ) -> set[str]:
        """Drop what has failed for long and no connected entry lists.

        Seeds are never dropped.

        Returns:
            All that have failed for long and are not listed.
        """
        now = self._clock.now()
        gone = {
            known.address
            for known in self._address_by_text.values()
            if known.address not in listed
            and known.failing_since is not None
            and now >= known.failing_since + _FORGET_MS
        }
        for address in gone.difference(seeds):
            self._address_by_text.pop(address)
        return gone

    def _known(self, address: str) -> _Address:
        if address not in self._address_by_text:
            self._address_by_text[address] = _Address(
                address,
                self._clock.now(),
            )
        return self._address_by_text[address]

    def _connected_to(self, entry_id: str) -> _Address | None:
        for known in self._address_by_text.values():
            if known.entry_id == entry_id:
                return known
        return None

    def _pause(
        self,
        known: _Address,
        is_refused: bool,
        is_large: bool,
    ) -> float:
        """Spread over time, so that agents do not return in step."""
        if is_refused:
            return self._rng.uniform(_REFUSED_MIN_MS, _REFUSED_MAX_MS)
        highest = _REDIAL_MAX_LARGE_MS if is_large else _REDIAL_MAX_MS
        ceiling = min(_REDIAL_MIN_MS * 2**known.attempts, highest)
        return self._rng.uniform(_REDIAL_MIN_MS, ceiling)
