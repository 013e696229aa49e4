"""Which entries an entry knows of, and tells its agents."""

from dataclasses import dataclass
from typing import Final, Sequence

from hyssopring.clock import Clock
from hyssopring.protocol.messages import EntryMember

__all__ = ('EntryRoster',)

# Agents say again every 10 s what they are connected to and the list lacks.
_HEARD_MS: Final = 35_000.0


@dataclass(frozen=True, slots=True)
class _Heard:
    member: EntryMember
    heard_at: float


class EntryRoster:
    """This entry itself, those that the table lists, and those heard of.

    While the table service is down the last list read from it stays; entries
    that could not register meanwhile are heard of from agents that are
    connected to them.
    """

    def __init__(self, clock: Clock, own: EntryMember) -> None:
        """Know only this entry."""
        self._clock = clock
        self._own = own
        self._listed: tuple[EntryMember, ...] = ()
        self._heard_by_id: dict[str, _Heard] = {}

    @property
    def members(self) -> tuple[EntryMember, ...]:
        """All known entries, in the order of their ids."""
        now = self._clock.now()
        heard = {
            entry_id: heard.member
            for entry_id, heard in self._heard_by_id.items()
            if now < heard.heard_at + _HEARD_MS
        }
        listed = {member.entry_id: member for member in self._listed}
        own = {self._own.entry_id: self._own}
        member_by_id = {**listed, **heard, **own}
        return tuple(member_by_id[each] for each in sorted(member_by_id))

    def listed(self, members: Sequence[EntryMember]) -> None:
        """Take the entries that the table has registered."""
        self._listed = tuple(members)

    def heard(self, members: Sequence[EntryMember]) -> None:
        """Take the entries that an agent says it is connected to."""
        now = self._clock.now()
        for member in members:
            self._heard_by_id[member.entry_id] = _Heard(member, now)
        for entry_id, heard in list(self._heard_by_id.items()):
            if now > heard.heard_at + _HEARD_MS:
                self._heard_by_id.pop(entry_id)
