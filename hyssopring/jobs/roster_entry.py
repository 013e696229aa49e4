"""One agent's row, as it may be while a write of it is under way."""

from dataclasses import dataclass, field

from hyssopring.jobs.documents import AgentRow

__all__ = ('RosterEntry',)


@dataclass(slots=True)
class RosterEntry:
    """One agent's row.

    Attributes:
        version: Its version, 0 for none.
        wanted: What it is to say.
        sure_tasks: What it surely lists, whichever write is carried out.
        is_listed: It surely exists.
        is_dirty: It does not say yet what it is to say.
        may_be_suspended: It may say that the agent is away.
        over_at: When all that was granted there is over, by the clock; None
            if the row does not surely say so.
    """

    version: int = 0
    wanted: AgentRow = field(default_factory=AgentRow)
    sure_tasks: frozenset[str] = frozenset()
    is_listed: bool = False
    is_dirty: bool = True
    may_be_suspended: bool = False
    over_at: float | None = None

    def want(self, row: AgentRow) -> None:
        """Let the row say this from its next write on."""
        self.wanted = row
        self.is_dirty = True

    def sent(self) -> AgentRow:
        """Note that a write of the wanted row is under way; return it."""
        self.is_dirty = False
        self.sure_tasks &= frozenset(self.wanted.tasks)
        if self.wanted.is_suspended:
            self.may_be_suspended = True
        return self.wanted

    def found(self, version: int) -> None:
        """Note that the row has another version; 0 that there is none."""
        self.version = version
        self.is_dirty = True
        if not version:
            self.is_listed = False
            self.sure_tasks = frozenset()

    def written(self, row: AgentRow, version: int) -> None:
        """Note that a write was carried out."""
        self.version = version
        self.is_listed = True
        self.sure_tasks = frozenset(row.tasks)
        if not row.is_suspended:
            self.may_be_suspended = False
            self.over_at = None
