"""What an entry reads of a shard and writes to become its owner."""

from dataclasses import dataclass
from typing import Callable, Final

from hyssopring.jobs.documents import (
    FormerOwnerProcess,
    OwnerRow,
    RosterRow,
    FormerOwnersRow,
)
from hyssopring.jobs.row_keys import owner_key, roster_key, former_owners_key
from hyssopring.jobs.rows import Page, Row, RowCheck, RowPut, Transaction

__all__ = ('Takeover',)

_FIRST_REIGN: Final = 1


@dataclass(frozen=True, slots=True)
class Takeover:
    """A shard that may be taken.

    Attributes:
        version: The owner row's, 0 for none.
        former: Its owner, None if it never had one.
        earlier: Owners before that one that may still act.
        roster: Who vouches for the agents' rows.
    """

    shard: int
    version: int
    former: OwnerRow | None
    earlier: tuple[FormerOwnerProcess, ...]
    roster: RosterRow

    @classmethod
    def from_page(
        cls,
        shard: int,
        owner: Row | None,
        page: Page,
    ) -> 'Takeover':
        """Read the shard's rows beside its owner row."""
        row_by_place = {row.row_key: row for row in page.rows}
        wait = row_by_place.get(former_owners_key(shard))
        return cls(
            shard,
            owner.version if owner else 0,
            OwnerRow.from_row(owner) if owner else None,
            FormerOwnersRow.from_row(wait).reigns if wait else (),
            RosterRow.from_row(row_by_place.get(roster_key(shard))),
        )

    @property
    def next_roster(self) -> RosterRow:
        """Who vouches for the agents' rows once the shard is taken."""
        return self.roster.next(self.former.reign if self.former else 0)

    @property
    def reign(self) -> int:
        """The reign of whoever takes the shard."""
        return self.former.reign + 1 if self.former else _FIRST_REIGN

    def silent(
        self,
        is_dead: Callable[[FormerOwnerProcess], bool],
    ) -> FormerOwnerProcess | None:
        """Return the former owner if it may still order.

        It orders nothing more once it has given the shard up, or another
        process has followed it under its entry's name. One that is only
        silent may be frozen or cut off.
        """
        former = self.former
        if former is None or not former.entry_id:
            return None
        reign = FormerOwnerProcess(
            former.entry_id, former.incarnation, self.version
        )
        return None if is_dead(reign) else reign

    def in_doubt(
        self,
        is_dead: Callable[[FormerOwnerProcess], bool],
    ) -> tuple[FormerOwnerProcess, ...]:
        """Return all former owners that may still order.

        Without the earlier ones the next owner would wait too little for one
        before its former one that was silent and then wakes.
        """
        earlier = tuple(each for each in self.earlier if not is_dead(each))
        silent = self.silent(is_dead)
        return earlier if silent is None else (*earlier, silent)

    def transaction(
        self,
        owner: OwnerRow,
        in_doubt: tuple[FormerOwnerProcess, ...],
    ) -> Transaction:
        """Return what takes the shard for an owner."""
        place = owner_key(self.shard)
        puts = [
            RowPut(place, owner.to_text()),
            RowPut(roster_key(self.shard), self.next_roster.to_text()),
        ]
        removals = []
        if in_doubt:
            wait = FormerOwnersRow(in_doubt)
            puts.append(RowPut(former_owners_key(self.shard), wait.to_text()))
        else:
            removals.append(former_owners_key(self.shard))
        check = RowCheck(place, self.version)
        return Transaction((check,), tuple(puts), tuple(removals))
