"""The entries that an entry knows and lists to its agents."""

from dataclasses import dataclass
from typing import Final, Sequence

from hyssopring.clock import Clock
from hyssopring.protocol.messages import EntryMember

__all__ = ('EntryRoster',)

# Agents repeat their reports of entries missing from the list every 10 s.
_REPORT_TTL_MS: Final = 35_000.0


@dataclass(frozen=True, slots=True)
class _ReportedEntry:
    """An entry that an agent has reported."""

    member: EntryMember
    reported_at: float


class EntryRoster:
    """This entry, the registered entries, and those that agents report.

    While the table service is down, the last list read from it is kept.
    Entries that cannot register meanwhile are known from the reports of
    agents that are connected to them.
    """

    def __init__(self, clock: Clock, own: EntryMember) -> None:
        """Start with this entry only."""
        self._clock = clock
        self._own = own
        self._listed: tuple[EntryMember, ...] = ()
        self._reported_by_id: dict[str, _ReportedEntry] = {}

    @property
    def members(self) -> tuple[EntryMember, ...]:
        """All known entries, in the order of their ids."""
        now_ms = self._clock.now()
        reported = {
            entry_id: report.member
            for entry_id, report in self._reported_by_id.items()
            if now_ms < report.reported_at + _REPORT_TTL_MS
        }
        listed = {member.entry_id: member for member in self._listed}
        own = {self._own.entry_id: self._own}
        member_by_id = {**listed, **reported, **own}
        return tuple(
            member_by_id[entry_id] for entry_id in sorted(member_by_id)
        )

    def set_registered(self, members: Sequence[EntryMember]) -> None:
        """Set the entries that are registered in the table."""
        self._listed = tuple(members)

    def add_reported(self, members: Sequence[EntryMember]) -> None:
        """Add entries that an agent reports to be connected to."""
        now_ms = self._clock.now()
        for member in members:
            self._reported_by_id[member.entry_id] = _ReportedEntry(
                member, now_ms
            )
        for entry_id, report in list(self._reported_by_id.items()):
            if now_ms > report.reported_at + _REPORT_TTL_MS:
                self._reported_by_id.pop(entry_id)
