"""The documents that the store's rows hold, and their JSON text.

========== ============== =============== ================================
table      part           key             written by
========== ============== =============== ================================
hs_jobs    shard          job id          the entry that accepts, once
hs_jobs    shard          job id + '/x'   an entry that cancels, once
hs_done    shard          job id          the shard's owner
hs_owner   shard          'owner'         the entry that becomes the owner
hs_owner   shard          'wait'          the entry that takes a silent
                                          owner's shard; see ``FormerOwnersRow``
hs_owner   shard          'roster'        the entry that becomes the owner;
                                          see ``RosterRow``
hs_owner   shard          'witness'       the owner, each second; see
                                          ``WitnessRow``
hs_entry   (empty)        entry id        the entry, each second
hs_agent   shard          agent id        the shard's owner, see ``Roster``;
                                          empty, or an ``AgentRow``
hs_learned shard          'summary'       the shard's owner, where learning is
                                          on; see ``learning.summary_text``
========== ============== =============== ================================
"""

import functools
import json
from dataclasses import dataclass, field
from typing import Annotated, Any, Callable, Final, TypeVar

from pydantic import BeforeValidator, TypeAdapter, ValidationError

from hyssopring.jobs.model import Job, JobState, is_task_name
from hyssopring.jobs.rows import Row
from hyssopring.numbers import are_in_range

__all__ = (
    'AgentRow',
    'EntryRow',
    'FormerOwnerProcess',
    'FormerOwnersRow',
    'JobRow',
    'MalformedRowError',
    'OwnerRow',
    'ProgressRow',
    'RosterRow',
    'WitnessRow',
)

_Document = TypeVar('_Document')

# Adapters are built when they are first needed: an agent never reads a job's
# row, whose adapter takes a twentieth of the processor time of its start.
_adapter: Callable[[Any], TypeAdapter[Any]] = functools.cache(TypeAdapter)

# Attempt numbers start at epoch * 1000 and are 64-bit integers on the wire.
_MAX_EPOCH: Final = 10**12


# Python reads and writes decimal integers of up to 4,300 digits. Smaller bit
# sets stay decimal, as the previous release reads them.
_MAX_DECIMAL_BITS: Final = 14_000
_HEX_PREFIX: Final = '0x'


def _from_hex(stored: Any) -> Any:
    is_hex = isinstance(stored, str) and stored.startswith(_HEX_PREFIX)
    return int(stored, 16) if is_hex else stored


_BitSet = Annotated[int, BeforeValidator(_from_hex)]


class MalformedRowError(Exception):
    """A row's text is not a valid document of its kind."""


@dataclass(frozen=True)
class JobRow:
    """An accepted job.

    Attributes:
        accepted_ms: When it was accepted, in ms since 1970.
        zone: The availability zone of the entry that accepted it.
    """

    job: Job
    accepted_ms: float
    zone: str = ''

    @classmethod
    def from_text(cls, text: str) -> 'JobRow':
        """Parse a row; raises MalformedRowError."""
        row = _parse(JobRow, 'job', text)
        if not are_in_range(row.accepted_ms) or not row.job.is_valid:
            raise MalformedRowError('job: invalid steps or numbers')
        return row

    def to_text(self) -> str:
        """Return the row's text."""
        return _adapter(JobRow).dump_json(self, exclude_defaults=True).decode()


@dataclass
class ProgressRow:
    """Durable record of the ended tasks of a job.

    Attributes:
        state: A final state, or empty.
        done: By 'occurrence.step': the indices of the done tasks as a bit
            set; a long one is hexadecimal text in the row.
        failed: By 'occurrence.step.index': the numbers of the attempts that
            failed. Numbers, not a count: two owners may receive the same
            report, and the failure counts once.
        ended_ms: When the state became final, in ms since 1970.
    """

    state: str = ''
    done: dict[str, _BitSet] = field(default_factory=dict)
    failed: dict[str, list[int]] = field(default_factory=dict)
    ended_ms: float = 0

    @classmethod
    def from_text(cls, text: str) -> 'ProgressRow':
        """Parse a row; raises MalformedRowError."""
        row = _parse(ProgressRow, 'progress', text)
        fields = _parse(dict[str, Any], 'progress', text)
        if not fields.keys() >= {'state', 'done'}:
            # Otherwise any object would be a job of which nothing is done.
            raise MalformedRowError('progress: state or done is missing')
        if row.state not in _FINAL_STATE_TEXTS or not are_in_range(
            row.ended_ms
        ):
            raise MalformedRowError('progress: invalid state or ended_ms')
        if min(row.done.values(), default=0) < 0:
            raise MalformedRowError('progress: negative bit set in done')
        return row

    def to_text(self) -> str:
        """Return the row's text."""
        return json.dumps(
            {
                'state': self.state,
                'done': {
                    name: _bits_value(bits) for name, bits in self.done.items()
                },
                'failed': self.failed,
                'ended_ms': self.ended_ms,
            },
        )


@dataclass(frozen=True)
class OwnerRow:
    """The owner of a shard.

    Attributes:
        incarnation: Identifies one process of the entry.
        reign: The owner's epoch.
    """

    entry_id: str
    incarnation: str
    reign: int

    @classmethod
    def from_text(cls, text: str) -> 'OwnerRow':
        """Parse a row; raises MalformedRowError."""
        row = _parse(OwnerRow, 'owner', text)
        if not 0 <= row.reign < _MAX_EPOCH:
            raise MalformedRowError('owner: reign out of range')
        return row

    @classmethod
    def from_row(cls, row: Row) -> 'OwnerRow':
        """Parse a row; a malformed one yields an unknown owner.

        If a malformed row were skipped, the shard would never get an owner
        again. The unknown owner and its agents are waited for like any
        silent ones. Its epoch is the row's version: each epoch took a
        commit and each commit raises the version, so no former epoch is
        higher, and agents accept orders of the next one.
        """
        try:
            return cls.from_text(row.text)
        except MalformedRowError:
            return cls('?', f'?{row.version}', row.version)

    def to_text(self) -> str:
        """Return the row's text."""
        return _adapter(OwnerRow).dump_json(self).decode()


@dataclass(frozen=True)
class FormerOwnerProcess:
    """A process that owned a shard and may still act as its owner.

    Attributes:
        version: Version of its owner row. Only a newer row of its entry
            shows that another process has replaced it.
    """

    entry_id: str
    incarnation: str
    version: int


@dataclass(frozen=True)
class FormerOwnersRow:
    """Owners before the one in the owner row.

    Attributes:
        reigns: Those that may still act as owner.
    """

    reigns: tuple[FormerOwnerProcess, ...]

    @classmethod
    def from_row(cls, row: Row) -> 'FormerOwnersRow':
        """Parse a row; a malformed one yields an unknown former owner.

        Rows of the previous release have no text. The unknown owner is
        never found dead, and is waited for as long as any silent one.
        """
        try:
            return _parse(FormerOwnersRow, 'wait', row.text)
        except MalformedRowError:
            return cls(
                (FormerOwnerProcess('?', f'?{row.version}', row.version),)
            )

    def to_text(self) -> str:
        """Return the row's text."""
        return _adapter(FormerOwnersRow).dump_json(self).decode()


@dataclass(frozen=True)
class RosterRow:
    """Which owners of a shard have maintained the agents' rows.

    Owners of the previous release write no such row and send grants to
    agents without reading the agents' rows. Rows that were written before
    such an owner are therefore not relied on.

    Attributes:
        reign: Last epoch that is known to have maintained the rows.
        since: First epoch of the unbroken sequence that ends with ``reign``.
        is_complete: The rows list every agent that may run a keeper task.
    """

    reign: int
    since: int
    is_complete: bool = False

    @classmethod
    def from_row(cls, row: Row | None) -> 'RosterRow':
        """Parse a row; a missing or malformed one covers no epoch."""
        try:
            return _parse(RosterRow, 'roster', row.text if row else '')
        except MalformedRowError:
            return cls(0, 0)

    def for_next_owner(self, former_epoch: int) -> 'RosterRow':
        """Return the row for the next owner.

        Args:
            former_epoch: Epoch of the former owner, 0 if there was none.
        """
        epoch = former_epoch + 1
        if not former_epoch:
            # No earlier owner has started any task.
            return RosterRow(epoch, epoch, is_complete=True)
        if self.reign != former_epoch:
            return RosterRow(epoch, epoch)
        return RosterRow(epoch, self.since, self.is_complete)

    def to_text(self) -> str:
        """Return the row's text."""
        return _adapter(RosterRow).dump_json(self).decode()


@dataclass(frozen=True)
class WitnessRow:
    """Until when an owner's grants may count; see ``grant_origin``.

    Owners of earlier releases write none.

    Attributes:
        reign: Epoch of the owner.
        sent_ms: When the row was sent, by the store's clock at the latest.
        witnesses: IDs of the entries that may have told the owner later that
            they had not taken the shard.
    """

    reign: int
    sent_ms: float
    witnesses: tuple[str, ...] = ()

    @classmethod
    def from_row(cls, row: Row | None) -> 'WitnessRow | None':
        """Parse a row; None if it is missing or malformed."""
        if row is None:
            return None
        try:
            witness_row = _parse(WitnessRow, 'witness', row.text)
        except MalformedRowError:
            return None
        return witness_row if are_in_range(witness_row.sent_ms) else None

    def to_text(self) -> str:
        """Return the row's text."""
        return _adapter(WitnessRow).dump_json(self).decode()


@dataclass(frozen=True)
class AgentRow:
    """An agent that may run tasks of a shard.

    Attributes:
        over_ms: Set for an agent that was unreachable: the time, by the
            store's clock, when all grants of any owner to it have
            expired, unless the row has changed since.
        reign: Epoch of the owner that wrote ``over_ms``.
        tasks: Names of the keeper tasks that it may run.
    """

    over_ms: float | None = None
    reign: int = 0
    tasks: tuple[str, ...] = ()

    @classmethod
    def from_text(cls, text: str) -> 'AgentRow':
        """Parse a row, which may be empty; raises MalformedRowError."""
        row = _parse(AgentRow, 'agent', text) if text else cls()
        is_time = row.over_ms is None or are_in_range(row.over_ms)
        if not is_time or not 0 <= row.reign < _MAX_EPOCH:
            raise MalformedRowError('agent: invalid over_ms or reign')
        if not all(map(is_task_name, row.tasks)):
            raise MalformedRowError('agent: invalid name of a task')
        return row

    @property
    def has_expiry(self) -> bool:
        """Whether the agent was unreachable when the row was written."""
        return self.over_ms is not None

    def to_text(self) -> str:
        """Return the row's text; empty if all values are defaults."""
        if self == AgentRow():
            return ''
        return (
            _adapter(AgentRow).dump_json(self, exclude_defaults=True).decode()
        )


@dataclass(frozen=True)
class EntryRow:
    """A live entry.

    Attributes:
        address: Address where it accepts agents and other entries.
        incarnation: Identifies one process of the entry.
        shards: The shards that it owns.
        cores: Number of cores that it may use, fractions included; the
            entry with the most is preferred as owner.
    """

    address: str
    incarnation: str
    shards: tuple[int, ...] = ()
    cores: float = 0

    @classmethod
    def from_text(cls, text: str) -> 'EntryRow':
        """Parse a row; raises MalformedRowError."""
        row = _parse(EntryRow, 'entry', text)
        if row.cores < 0 or not are_in_range(row.cores):
            raise MalformedRowError('entry: cores out of range')
        return row

    def to_text(self) -> str:
        """Return the row's text."""
        return _adapter(EntryRow).dump_json(self).decode()


def _bits_value(bits: int) -> int | str:
    return bits if bits.bit_length() <= _MAX_DECIMAL_BITS else hex(bits)


def _parse(document_class: type[_Document], kind: str, text: str) -> _Document:
    try:
        document: _Document = _adapter(document_class).validate_json(text)
    except ValidationError as error:
        raise MalformedRowError(f'{kind}: {error.errors()[0]}') from error
    return document


_FINAL_STATE_TEXTS = frozenset(
    ('', *(state.value for state in JobState if state.is_final)),
)
