"""The rows that an entry reads and writes to take a shard."""

from dataclasses import dataclass
from typing import Callable, Final

from hyssopring.jobs.documents import (
    FormerOwnerProcess,
    FormerOwnersRow,
    OwnerRow,
    RosterRow,
    WitnessRow,
)
from hyssopring.jobs.row_keys import (
    former_owners_key,
    owner_key,
    roster_key,
    witness_key,
)
from hyssopring.jobs.rows import Page, Row, RowCheck, RowPut, Transaction
from hyssopring.jobs.store_clock import StoreClock

__all__ = ('Takeover',)

_FIRST_EPOCH: Final = 1


@dataclass(frozen=True, slots=True)
class Takeover:
    """A shard that may be taken, as read from its rows.

    Attributes:
        version: The version of the owner row, 0 for none.
        former: The former owner, None if there never was one.
        earlier_owners: Owners before the former one that may still act.
        roster: The epochs whose owners have maintained the agents' rows.
        witness_version: The version of the former owner's ``WitnessRow``, 0
            for none.
        witness_row: That row, None if there is none of its epoch.
    """

    shard: int
    version: int
    former: OwnerRow | None
    earlier_owners: tuple[FormerOwnerProcess, ...]
    roster: RosterRow
    witness_version: int = 0
    witness_row: WitnessRow | None = None

    @classmethod
    def from_page(
        cls,
        shard: int,
        owner: Row | None,
        page: Page,
    ) -> 'Takeover':
        """Read the shard's rows next to its owner row."""
        row_by_key = {row.row_key: row for row in page.rows}
        former_row = row_by_key.get(former_owners_key(shard))
        former = OwnerRow.from_row(owner) if owner else None
        stored = row_by_key.get(witness_key(shard))
        witness_row = WitnessRow.from_row(stored)
        if witness_row and former and witness_row.reign != former.reign:
            # An owner of an earlier release has left it.
            witness_row = None
        return cls(
            shard,
            owner.version if owner else 0,
            former,
            FormerOwnersRow.from_row(former_row).reigns if former_row else (),
            RosterRow.from_row(row_by_key.get(roster_key(shard))),
            stored.version if stored else 0,
            witness_row,
        )

    @property
    def next_roster(self) -> RosterRow:
        """The roster row to write with the takeover."""
        return self.roster.for_next_owner(
            self.former.reign if self.former else 0
        )

    @property
    def epoch(self) -> int:
        """The epoch that the takeover begins."""
        return self.former.reign + 1 if self.former else _FIRST_EPOCH

    def unconfirmed_owner(
        self,
        is_dead: Callable[[FormerOwnerProcess], bool],
    ) -> FormerOwnerProcess | None:
        """Return the former owner if it may still send orders.

        It sends none after it has released the shard or was replaced by
        another process of its entry. One whose row is merely not renewed may
        be frozen or partitioned.
        """
        former = self.former
        if former is None or not former.entry_id:
            return None
        process = FormerOwnerProcess(
            former.entry_id, former.incarnation, self.version
        )
        return None if is_dead(process) else process

    def unconfirmed_owners(
        self,
        is_dead: Callable[[FormerOwnerProcess], bool],
    ) -> tuple[FormerOwnerProcess, ...]:
        """Return all former owners that may still send orders.

        The earlier ones are included, as each of them may wake up later than
        the former owner.
        """
        earlier_owners = tuple(
            process for process in self.earlier_owners if not is_dead(process)
        )
        unconfirmed_owner = self.unconfirmed_owner(is_dead)
        return (
            earlier_owners
            if unconfirmed_owner is None
            else (*earlier_owners, unconfirmed_owner)
        )

    def grants_origin_at(
        self,
        entry_id: str,
        unconfirmed: tuple[FormerOwnerProcess, ...],
        store_clock: StoreClock,
        responded_at: Callable[[str], float],
    ) -> float | None:
        """Return from when the last grants of former owners count.

        None if that is unknown: an owner before the former one may act, or the
        former one does not heed what this entry responds.

        Args:
            entry_id: This entry.
            unconfirmed: Former owners that may still send orders.
            store_clock: Has read the clock since the rows were read.
            responded_at: See ``TakeoverClaims``.
        """
        row, former = self.witness_row, self.former
        if row is None or former is None or not store_clock.is_known:
            return None
        if len(unconfirmed) != 1 or unconfirmed[0].version != self.version:
            return None
        if entry_id not in row.witnesses:
            return None
        return max(
            store_clock.shown_at(row.sent_ms), responded_at(former.entry_id)
        )

    def transaction(
        self,
        owner: OwnerRow,
        unconfirmed: tuple[FormerOwnerProcess, ...],
    ) -> Transaction:
        """Return the transaction that makes ``owner`` the owner.

        Args:
            owner: The new owner row.
            unconfirmed: Former owners that may still send orders.
        """
        row_key = owner_key(self.shard)
        puts = [
            RowPut(row_key, owner.to_text()),
            RowPut(roster_key(self.shard), self.next_roster.to_text()),
        ]
        removals = [witness_key(self.shard)] if self.witness_version else []
        if unconfirmed:
            former_row = FormerOwnersRow(unconfirmed)
            puts.append(
                RowPut(former_owners_key(self.shard), former_row.to_text())
            )
        else:
            removals.append(former_owners_key(self.shard))
        checks = (
            RowCheck(row_key, self.version),
            RowCheck(witness_key(self.shard), self.witness_version),
        )
        return Transaction(checks, tuple(puts), tuple(removals))
