"""The rows of jobs, and their text.

========== ============== =============== ================================
table      part           key             written by
========== ============== =============== ================================
hs_jobs    shard          job id          the entry that accepts, once
hs_jobs    shard          job id + '/x'   an entry that cancels, once
hs_done    shard          job id          the shard's owner
hs_owner   shard          'owner'         whoever becomes the owner
hs_owner   shard          'wait'          who takes it from a silent owner;
                                          see ``FormerOwnersRow``
hs_owner   shard          'roster'        whoever becomes the owner; see
                                          ``RosterRow``
hs_entry   (empty)        entry id        the entry, each second
hs_agent   shard          agent id        the shard's owner, see ``Roster``;
                                          empty, or an ``AgentRow``
========== ============== =============== ================================
"""

import json
import math
from dataclasses import dataclass, field
from typing import Final, TypeVar

from pydantic import TypeAdapter, ValidationError

from hyssopring.jobs.model import Job, JobState
from hyssopring.jobs.rows import Row

__all__ = (
    'AgentRow',
    'EntryRow',
    'FormerOwnerProcess',
    'JobRow',
    'OwnerRow',
    'ProgressRow',
    'RosterRow',
    'MalformedRowError',
    'FormerOwnersRow',
)

_Document = TypeVar('_Document')

# Reigns number attempts, a thousand each, in 64 bits on the wire.
_MAX_REIGN: Final = 10**12


class MalformedRowError(Exception):
    """A row of ours that does not hold what it should."""


@dataclass(frozen=True)
class JobRow:
    """An accepted job; ``accepted_ms`` is in milliseconds since 1970."""

    job: Job
    accepted_ms: float

    @classmethod
    def from_text(cls, text: str) -> 'JobRow':
        """Read a row; raises MalformedRowError."""
        row = _read(_JOB_ROW, 'job', text)
        if not math.isfinite(row.accepted_ms) or not row.job.is_valid:
            raise MalformedRowError('job: its steps or its time cannot be')
        return row

    def to_text(self) -> str:
        """Return the row's text."""
        return _JOB_ROW.dump_json(self, exclude_defaults=True).decode()


@dataclass
class ProgressRow:
    """What has durably ended of a job.

    Attributes:
        state: A final state, or empty.
        done: By 'occurrence.step': the done tasks' indices as a bit set.
        failed: By 'occurrence.step.index': the numbers of the attempts that
            failed. An end may be heard of by two owners; it counts once.
        ended_ms: When the state became final, since 1970.
    """

    state: str = ''
    done: dict[str, int] = field(default_factory=dict)
    failed: dict[str, list[int]] = field(default_factory=dict)
    ended_ms: float = 0

    @classmethod
    def from_text(cls, text: str) -> 'ProgressRow':
        """Read a row; raises MalformedRowError."""
        row = _read(_PROGRESS_ROW, 'progress', text)
        if row.state not in _ENDS or not math.isfinite(row.ended_ms):
            raise MalformedRowError('progress: no such state or time')
        if min(row.done.values(), default=0) < 0:
            raise MalformedRowError('progress: no set of tasks')
        return row

    def to_text(self) -> str:
        """Return the row's text."""
        return json.dumps(
            {
                'state': self.state,
                'done': self.done,
                'failed': self.failed,
                'ended_ms': self.ended_ms,
            },
        )


@dataclass(frozen=True)
class OwnerRow:
    """Who owns a shard. ``incarnation`` is one process of the entry."""

    entry_id: str
    incarnation: str
    reign: int

    @classmethod
    def from_text(cls, text: str) -> 'OwnerRow':
        """Read a row; raises MalformedRowError."""
        row = _read(_OWNER_ROW, 'owner', text)
        if not 0 <= row.reign < _MAX_REIGN:
            raise MalformedRowError('owner: no such reign')
        return row

    @classmethod
    def from_row(cls, row: Row) -> 'OwnerRow':
        """Read a row; one that cannot be read names an owner nobody knows.

        Left alone, the shard would stand still for good. That owner is
        waited for like any missing one, and its agents too. Each reign
        took a commit, and versions rise with each: the row's is no lower
        than any reign before, and agents take orders of the next one.
        """
        try:
            return cls.from_text(row.text)
        except MalformedRowError:
            return cls('?', f'?{row.version}', row.version)

    def to_text(self) -> str:
        """Return the row's text."""
        return _OWNER_ROW.dump_json(self).decode()


@dataclass(frozen=True)
class FormerOwnerProcess:
    """A process that owned a shard, and may still act as its owner.

    Attributes:
        version: Its owner row's. Only a row of its entry that is newer says
            that another process has followed it.
    """

    entry_id: str
    incarnation: str
    version: int


@dataclass(frozen=True)
class FormerOwnersRow:
    """Owners before the one in the owner row that may still act."""

    reigns: tuple[FormerOwnerProcess, ...]

    @classmethod
    def from_row(cls, row: Row) -> 'FormerOwnersRow':
        """Read a row; one that cannot be read names an owner nobody knows.

        Rows of the release before have no text. That owner is never found
        dead, and is waited for as long as any silent one.
        """
        try:
            return _read(_WAIT_ROW, 'wait', row.text)
        except MalformedRowError:
            return cls(
                (FormerOwnerProcess('?', f'?{row.version}', row.version),)
            )

    def to_text(self) -> str:
        """Return the row's text."""
        return _WAIT_ROW.dump_json(self).decode()


@dataclass(frozen=True)
class RosterRow:
    """Which owners have kept to what the agents' rows say.

    Owners of the release before write no such row, and grant agents without a
    look at theirs: what was said before them does not count any more.

    Attributes:
        reign: The last one that is known to have kept to the rows.
        since: The first of those that have done so without a gap.
        is_complete: The rows name all agents that may run a lasting task.
    """

    reign: int
    since: int
    is_complete: bool = False

    @classmethod
    def from_row(cls, row: Row | None) -> 'RosterRow':
        """Read a row; one that cannot be read vouches for no reign."""
        try:
            return _read(_ROSTER_ROW, 'roster', row.text if row else '')
        except MalformedRowError:
            return cls(0, 0)

    def next(self, former_reign: int) -> 'RosterRow':
        """Return the row of the owner that follows a reign."""
        reign = former_reign + 1
        if not former_reign:
            # Nobody has ordered anything before.
            return RosterRow(reign, reign, is_complete=True)
        if self.reign != former_reign:
            return RosterRow(reign, reign)
        return RosterRow(reign, self.since, self.is_complete)

    def to_text(self) -> str:
        """Return the row's text."""
        return _ROSTER_ROW.dump_json(self).decode()


@dataclass(frozen=True)
class AgentRow:
    """An agent that may hold tasks of a shard.

    Attributes:
        over_ms: Of an agent that was away, by the store's clock: all that any
            owner had granted there is over then, unless the row has changed.
        reign: Whose word ``over_ms`` is.
        tasks: The lasting tasks that it may run, by their names.
    """

    over_ms: float | None = None
    reign: int = 0
    tasks: tuple[str, ...] = ()

    @classmethod
    def from_text(cls, text: str) -> 'AgentRow':
        """Read a row, also an empty one; raises MalformedRowError."""
        row = _read(_AGENT_ROW, 'agent', text) if text else cls()
        is_time = row.over_ms is None or math.isfinite(row.over_ms)
        if not is_time or not 0 <= row.reign < _MAX_REIGN:
            raise MalformedRowError('agent: no such time or reign')
        return row

    @property
    def is_suspended(self) -> bool:
        """Whether the agent was away."""
        return self.over_ms is not None

    def to_text(self) -> str:
        """Return the row's text, empty if it says nothing."""
        if self == AgentRow():
            return ''
        return _AGENT_ROW.dump_json(self, exclude_defaults=True).decode()


@dataclass(frozen=True)
class EntryRow:
    """A live entry.

    Attributes:
        address: Where it listens for others of the system.
        shards: Those that it owns.
        cores: What it has of processor time; planning goes to the strongest.
    """

    address: str
    incarnation: str
    shards: tuple[int, ...] = ()
    cores: float = 0

    @classmethod
    def from_text(cls, text: str) -> 'EntryRow':
        """Read a row; raises MalformedRowError."""
        row = _read(_ENTRY_ROW, 'entry', text)
        if not 0 <= row.cores < math.inf:
            raise MalformedRowError('entry: no such processor time')
        return row

    def to_text(self) -> str:
        """Return the row's text."""
        return _ENTRY_ROW.dump_json(self).decode()


def _read(adapter: TypeAdapter[_Document], kind: str, text: str) -> _Document:
    try:
        return adapter.validate_json(text)
    except ValidationError as error:
        raise MalformedRowError(f'{kind}: {error.errors()[0]}') from error


_ENDS = frozenset(
    ('', *(state.value for state in JobState if state.is_final)),
)
_JOB_ROW = TypeAdapter(JobRow)
_PROGRESS_ROW = TypeAdapter(ProgressRow)
_OWNER_ROW = TypeAdapter(OwnerRow)
_WAIT_ROW = TypeAdapter(FormerOwnersRow)
_ROSTER_ROW = TypeAdapter(RosterRow)
_AGENT_ROW = TypeAdapter(AgentRow)
_ENTRY_ROW = TypeAdapter(EntryRow)
