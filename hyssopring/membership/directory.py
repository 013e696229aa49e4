"""Discovery of entries by an agent, and the choice of connections.

An agent first dials the seeds from its settings; one may be the platform's
load balancer, which leads each connection to some entry. Every connected
entry sends its list of entries, and the agent merges the lists. With no entry
connected the last lists are kept, so that agents survive the replacement of
all entries, also while the table service is down. New entries that could not
register then are found through the seeds, and the agent reports them to its
other entries.
"""

import random
from typing import Final, Iterable, Sequence

from hyssopring.clock import Clock
from hyssopring.membership.dialling import DialledAddresses
from hyssopring.membership.subset import FULL_MESH, choose_entries
from hyssopring.protocol.messages import EntryMember

__all__ = ('EntryDirectory',)

_REPORT_INTERVAL_MS: Final = 10_000.0
_MAX_SUBSETS: Final = 16

_Subset = tuple[EntryMember, ...]


class EntryDirectory:
    """The entries that an agent knows, and those it should connect to."""

    def __init__(
        self,
        clock: Clock,
        agent_id: str,
        seeds: Sequence[str],
        rng: random.Random,
        size: int = FULL_MESH,
    ) -> None:
        """Start with the seeds only.

        Args:
            clock: The process's clock.
            agent_id: Determines the subset of entries.
            seeds: Addresses from the settings.
            rng: Spreads dialling over time.
            size: Number of entries to connect to.
        """
        self._size = size
        self._clock = clock
        self._agent_id = agent_id
        self._seeds = tuple(seeds)
        self._addresses = DialledAddresses(clock, rng)
        self._members_by_source: dict[str, tuple[EntryMember, ...]] = {}
        self._last_members: tuple[EntryMember, ...] = ()
        self._reported_by_source: dict[str, set[str]] = {}
        self._reported_at: float = 0
        self._holders: tuple[str, ...] = ()
        self._pinned: frozenset[int] = frozenset()
        self._members: tuple[EntryMember, ...] | None = ()
        self._subset_by_down: dict[frozenset[str], _Subset] = {}

    @property
    def members(self) -> tuple[EntryMember, ...]:
        """All known entries, from the lists of the connected ones."""
        if self._members is None:
            lists = list(self._members_by_source.values())
            merged = {
                member for members in lists for member in members
            } or self._last_members
            ordered = sorted(
                merged, key=lambda member: (member.entry_id, member.address)
            )
            self._members = tuple(ordered)
            self._subset_by_down.clear()
        return self._members

    @property
    def connected(self) -> tuple[str, ...]:
        """Ids of the connected entries."""
        return self._addresses.connected

    def update_members(
        self,
        source: str,
        members: tuple[EntryMember, ...],
        holders: tuple[str, ...],
    ) -> None:
        """Update from the list of a connected entry.

        Args:
            source: Id of the entry.
            members: The entries that it lists.
            holders: Id of each shard's holder; empty if unknown.
        """
        if source not in self.connected:
            return
        self._members_by_source[source] = members
        self._members = None
        self._last_members = self.members
        self._release_seed(source)
        self._holders = holders or self._holders

    def pin(self, shards: Iterable[int]) -> None:
        """Keep a connection to the holders of these shards.

        Tasks that run here need lease renewals from their planners; after a
        takeover the new holder may be outside the subset.
        """
        self._pinned = frozenset(shards)

    def claim_due_addresses(self) -> list[str]:
        """Return the addresses to dial now, and mark them as being dialled."""
        connected = self.connected
        wanted = [
            member.address
            for member in self._targets()
            if member.entry_id not in connected
        ]
        due = dict.fromkeys([*wanted, *self._unlisted_seeds(bool(wanted))])
        return [
            address for address in due if self._addresses.begin_dial(address)
        ]

    def should_connect(self, address: str, entry_id: str) -> bool:
        """Whether to greet the entry that was found at an address.

        A load balancer may lead to an entry that is connected already;
        another greeting would end the older connection and its calls.
        """
        return entry_id not in self.connected

    def opened(self, address: str, entry_id: str) -> None:
        """Record that an entry has welcomed this agent at an address."""
        self._addresses.attach(address, entry_id)

    def record_lost(self, entry_id: str) -> None:
        """Record that the newest connection to an entry has ended."""
        address = self._addresses.detach(entry_id)
        self._members_by_source.pop(entry_id, None)
        self._members = None
        self._reported_by_source.pop(entry_id, None)
        if address is not None:
            self.closed(address)

    def closed(self, address: str, is_refused: bool = False) -> None:
        """Record that an address could not be connected or was not welcomed.

        Args:
            address: The address.
            is_refused: The entry rejected this agent.
        """
        is_large = len(self.members) > FULL_MESH
        self._addresses.record_failure(address, is_refused, is_large)
        self._forget_failed()

    def record_skipped(self, address: str) -> None:
        """Record that an address led to an entry connected already."""
        self._addresses.postpone(address)

    def surplus(self) -> list[str]:
        """Return connected entries to leave, once all wanted ones are up."""
        targets = {member.entry_id for member in self._targets()}
        connected = set(self.connected)
        chosen = {member.entry_id for member in self._subset_of_reachable()}
        if not chosen or chosen - connected:
            return []
        return sorted(connected - targets)

    def pending_announcements(self) -> dict[str, tuple[EntryMember, ...]]:
        """Return, by entry, the connected entries missing from its list.

        Only connected entries are reported, so that the lists do not keep a
        dead entry alive.
        """
        now_ms = self._clock.now()
        if now_ms < self._reported_at + _REPORT_INTERVAL_MS:
            return {}
        self._reported_at = now_ms
        connected = self.connected
        present = [
            member for member in self.members if member.entry_id in connected
        ]
        missing_by_source = {}
        for source, listed in self._members_by_source.items():
            reported = self._reported_by_source.setdefault(source, set())
            # Entries reported before are reported again: a report expires.
            listed_without_report_ids = {
                member.entry_id for member in listed
            } - reported
            missing = tuple(
                member
                for member in present
                if member.entry_id not in listed_without_report_ids
            )
            reported.update(member.entry_id for member in missing)
            if missing:
                missing_by_source[source] = missing
        return missing_by_source

    def _release_seed(self, entry_id: str) -> None:
        """Attribute a connection made through a seed to the entry's address.

        Otherwise a load balancer's address would stay in use while the entry
        that it first led to is running, and the agent could not find the other
        entries behind it.
        """
        own_addresses = [
            member.address
            for member in self._members_by_source[entry_id]
            if member.entry_id == entry_id
        ]
        address = self._addresses.address_of(entry_id)
        if address is None or not own_addresses or address in own_addresses:
            return
        self.record_skipped(address)
        self.opened(own_addresses[0], entry_id)

    def _targets(self) -> tuple[EntryMember, ...]:
        """Return the entries to connect to.

        These are the subset, replacements for its entries that are down, and
        the holders of pinned shards, without duplicates. The order is
        deterministic, as it determines the order of dialling.
        """
        members = self.members
        holders = {
            holder
            for shard, holder in enumerate(self._holders)
            if shard in self._pinned
        }
        targets = [
            *self._subset(frozenset()),
            *self._subset_of_reachable(),
            *(member for member in members if member.entry_id in holders),
        ]
        return tuple(dict.fromkeys(targets))

    def _subset_of_reachable(self) -> tuple[EntryMember, ...]:
        return self._subset(self._addresses.down)

    def _subset(self, down: frozenset[str]) -> _Subset:
        """Choose the subset from all entries that are not down.

        Cached until the lists change: ranking hundreds of entries on each
        tick would cost an agent more than all its other work.
        """
        members = self.members
        if down not in self._subset_by_down:
            if len(self._subset_by_down) >= _MAX_SUBSETS:
                self._subset_by_down.clear()
            reachable = [
                member for member in members if member.address not in down
            ]
            chosen = choose_entries(self._agent_id, reachable, self._size)
            self._subset_by_down[down] = chosen
        return self._subset_by_down[down]

    def _unlisted_seeds(self, is_missing: bool) -> list[str]:
        """Return the seeds that are not addresses of listed entries.

        If an entry is missing, their next dial is brought forward.
        """
        listed = {member.address for member in self.members}
        is_missing = is_missing or not self.connected
        seeds = [seed for seed in self._seeds if seed not in listed]
        if is_missing:
            self._addresses.hasten(seeds)
        return seeds

    def _forget_failed(self) -> None:
        """Remove addresses that have failed for long and are not listed."""
        listed = {
            member.address
            for members in self._members_by_source.values()
            for member in members
        }
        failed = self._addresses.forget_failed(listed, self._seeds)
        remaining = tuple(
            member
            for member in self._last_members
            if member.address not in failed
        )
        if remaining != self._last_members:
            self._last_members = remaining
            self._members = None
