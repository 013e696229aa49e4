"""How an agent finds the entries, and which it keeps connections to.

Seeds from the settings come first; one of them may be the platform's
balancer, behind which each connection lands on some entry. Every connected
entry sends its list. The lists of all connected entries are put together;
when no entry is left, the last lists are kept, so that agents outlive the
replacement of all entries, also while the table service is down. Fresh
entries that could not register then are found through the seeds, and each
agent tells its other entries of them.
"""

import random
from typing import Final, Iterable, Sequence

from hyssopring.clock import Clock
from hyssopring.membership.dialling import DialledAddresses
from hyssopring.membership.subset import FULL_MESH, choose_entries
from hyssopring.protocol.messages import EntryMember

__all__ = ('EntryDirectory',)

_TELL_MS: Final = 10_000.0
_MAX_SUBSETS: Final = 16

_Subset = tuple[EntryMember, ...]


class EntryDirectory:
    """The entries that one agent knows, wants and is connected to."""

    def __init__(
        self,
        clock: Clock,
        agent_id: str,
        seeds: Sequence[str],
        rng: random.Random,
        size: int = FULL_MESH,
    ) -> None:
        """Know only the seeds; ``rng`` spreads the dialling over time.

        Args:
            clock: The process's clock.
            agent_id: The subset follows from it.
            seeds: Addresses from the settings.
            rng: Seeded by the caller.
            size: How many entries to connect to.
        """
        self._size = size
        self._clock = clock
        self._agent_id = agent_id
        self._seeds = tuple(seeds)
        self._addresses = DialledAddresses(clock, rng)
        self._members_by_source: dict[str, tuple[EntryMember, ...]] = {}
        self._kept: tuple[EntryMember, ...] = ()
        self._told_by_source: dict[str, set[str]] = {}
        self._told_at: float = 0
        self._holders: tuple[str, ...] = ()
        self._pinned: frozenset[int] = frozenset()
        self._members: tuple[EntryMember, ...] | None = ()
        self._subset_by_down: dict[frozenset[str], _Subset] = {}

    @property
    def members(self) -> tuple[EntryMember, ...]:
        """All entries known, from the lists of those connected."""
        if self._members is None:
            lists = list(self._members_by_source.values())
            found = {member for each in lists for member in each} or self._kept
            by_id = sorted(
                found, key=lambda each: (each.entry_id, each.address)
            )
            self._members = tuple(by_id)
            self._subset_by_down.clear()
        return self._members

    @property
    def connected(self) -> tuple[str, ...]:
        """Ids of the connected entries."""
        return self._addresses.connected

    def learn(
        self,
        source: str,
        members: tuple[EntryMember, ...],
        holders: tuple[str, ...],
    ) -> None:
        """Take the list of a connected entry."""
        if source not in self.connected:
            return
        self._members_by_source[source] = members
        self._members = None
        self._kept = self.members
        self._free_seed(source)
        self._holders = holders or self._holders

    def pin(self, shards: Iterable[int]) -> None:
        """Keep a connection to the holders of these shards.

        The tasks that run here live on their planners' grants; after a
        takeover the new holder may lie outside the subset.
        """
        self._pinned = frozenset(shards)

    def due(self) -> list[str]:
        """Return the addresses to dial now, and count them as being dialled."""
        connected = self.connected
        wanted = [
            member.address
            for member in self._targets()
            if member.entry_id not in connected
        ]
        due = dict.fromkeys([*wanted, *self._due_seeds(bool(wanted))])
        return [each for each in due if self._addresses.dial(each)]

    def greets(self, address: str, entry_id: str) -> bool:
        """Whether to greet the entry found at an address.

        A balancer may lead to an entry that is connected already; greeting
        it again would end the older connection and the calls on it.
        """
        return entry_id not in self.connected

    def opened(self, address: str, entry_id: str) -> None:
        """An entry has welcomed this agent, on the newest connection to it."""
        self._addresses.attach(address, entry_id)

    def lost(self, entry_id: str) -> None:
        """The newest connection to an entry has ended."""
        address = self._addresses.detach(entry_id)
        self._members_by_source.pop(entry_id, None)
        self._members = None
        self._told_by_source.pop(entry_id, None)
        if address is not None:
            self.closed(address)

    def closed(self, address: str, is_refused: bool = False) -> None:
        """A connection ended before it was welcomed, or was not made."""
        is_large = len(self.members) > FULL_MESH
        self._addresses.fail(address, is_refused, is_large)
        self._forget()

    def skipped(self, address: str) -> None:
        """The address led to an entry that is connected already."""
        self._addresses.rest(address)

    def surplus(self) -> list[str]:
        """Return connected entries to leave: all wanted ones are there."""
        targets = {member.entry_id for member in self._targets()}
        connected = set(self.connected)
        chosen = {member.entry_id for member in self._chosen_of_those_up()}
        if not chosen or chosen - connected:
            return []
        return sorted(connected - targets)

    def to_tell(self) -> dict[str, tuple[EntryMember, ...]]:
        """Return, by entry, the connected entries that its list lacks.

        Only an entry that this agent is connected to is told of, so that a
        dead one does not stay in the lists by being passed on.
        """
        now = self._clock.now()
        if now < self._told_at + _TELL_MS:
            return {}
        self._told_at = now
        connected = self.connected
        here = [each for each in self.members if each.entry_id in connected]
        lacking_by_source = {}
        for source, listed in self._members_by_source.items():
            told = self._told_by_source.setdefault(source, set())
            own = {member.entry_id for member in listed} - told
            lacking = tuple(each for each in here if each.entry_id not in own)
            told.update(member.entry_id for member in lacking)
            if lacking:
                lacking_by_source[source] = lacking
        return lacking_by_source

    def _free_seed(self, entry_id: str) -> None:
        """Count a connection made through a seed as one to the entry itself.

        Else a balancer's address would stay taken for as long as the entry
        that it first led to lives, and the entries behind it would be seen
        by no agent that did not happen to land on them.
        """
        own = [
            member.address
            for member in self._members_by_source[entry_id]
            if member.entry_id == entry_id
        ]
        address = self._addresses.address_of(entry_id)
        if address is None or not own or address in own:
            return
        self.skipped(address)
        self.opened(own[0], entry_id)

    def _targets(self) -> tuple[EntryMember, ...]:
        """The subset, a replacement for each that is down, and holders.

        In that order and without repeats, the same in each run: the order of
        dialling follows from it.
        """
        members = self.members
        holders = {
            holder
            for shard, holder in enumerate(self._holders)
            if shard in self._pinned
        }
        targets = [
            *self._subset(frozenset()),
            *self._chosen_of_those_up(),
            *(member for member in members if member.entry_id in holders),
        ]
        return tuple(dict.fromkeys(targets))

    def _chosen_of_those_up(self) -> tuple[EntryMember, ...]:
        return self._subset(self._addresses.down)

    def _subset(self, down: frozenset[str]) -> _Subset:
        """Choose among all but the addresses that are down.

        Kept until the lists change: ranking hundreds of entries in each turn
        would cost an agent more than all else that it does.
        """
        members = self.members
        if down not in self._subset_by_down:
            if len(self._subset_by_down) >= _MAX_SUBSETS:
                self._subset_by_down.clear()
            is_up = [each for each in members if each.address not in down]
            chosen = choose_entries(self._agent_id, is_up, self._size)
            self._subset_by_down[down] = chosen
        return self._subset_by_down[down]

    def _due_seeds(self, is_missing: bool) -> list[str]:
        """Seeds that are listed entries' addresses count as those."""
        listed = {member.address for member in self.members}
        is_missing = is_missing or not self.connected
        seeds = [seed for seed in self._seeds if seed not in listed]
        if is_missing:
            self._addresses.hasten(seeds)
        return seeds

    def _forget(self) -> None:
        """Drop what has failed for long and no connected entry lists."""
        listed = {
            member.address
            for each in self._members_by_source.values()
            for member in each
        }
        gone = self._addresses.forget_failed(listed, self._seeds)
        kept = tuple(each for each in self._kept if each.address not in gone)
        if kept != self._kept:
            self._kept = kept
            self._members = None
