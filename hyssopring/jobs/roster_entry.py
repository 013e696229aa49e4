"""The known and wanted state of one agent's row."""

from dataclasses import dataclass, field

from hyssopring.jobs.documents import AgentRow

__all__ = ('RosterEntry',)


@dataclass(slots=True)
class RosterEntry:
    """One agent's row, also while a write of it is in flight.

    Attributes:
        version: The version of the row, 0 for none.
        wanted: The content to write.
        certain_tasks: The tasks that it lists whether or not the write in
            flight is applied.
        is_listed: Whether it certainly exists.
        is_dirty: Whether the wanted content must still be written.
        may_have_expiry: Whether it may set an expiry, after which the next
            owner relies on no later grant.
        grant_expires_at: When the agent's grants expire, by the clock; None
            if the row does not certainly set an expiry.
    """

    version: int = 0
    wanted: AgentRow = field(default_factory=AgentRow)
    certain_tasks: frozenset[str] = frozenset()
    is_listed: bool = False
    is_dirty: bool = True
    may_have_expiry: bool = False
    grant_expires_at: float | None = None

    def want_row(self, row: AgentRow) -> None:
        """Set the content for the next write."""
        self.wanted = row
        self.is_dirty = True

    def begin_write(self) -> AgentRow:
        """Record that a write of the wanted row begins, and return the row."""
        self.is_dirty = False
        self.certain_tasks &= frozenset(self.wanted.tasks)
        if self.wanted.has_expiry:
            self.may_have_expiry = True
        return self.wanted

    def record_version(self, version: int) -> None:
        """Record another version of the row, 0 if it does not exist."""
        self.version = version
        self.is_dirty = True
        if not version:
            self.is_listed = False
            self.certain_tasks = frozenset()

    def record_write(self, row: AgentRow, version: int) -> None:
        """Record that a write was applied."""
        self.version = version
        self.is_listed = True
        self.certain_tasks = frozenset(row.tasks)
        if not row.has_expiry:
            self.may_have_expiry = False
            self.grant_expires_at = None
