"""Changes on their way into the table, together as one version."""

from dataclasses import dataclass
from typing import Callable, Final, Sequence

from result import Err, Result

from hyssopring.configuration.rows import (
    HEAD,
    ITEMS,
    LOG_LENGTH,
    log_document,
    log_key,
)
from hyssopring.errors import ErrorKind, Failure
from hyssopring.logs import Event, log_event
from hyssopring.protocol.messages import ConfigurationItem
from hyssopring.store import Check, Conflict, Put, Row, Transaction

__all__ = (
    'AcceptedChange',
    'ChangeBatch',
    'ChangeCallback',
    'ConfigurationChange',
    'WaitingChange',
)

_MAX_TOMBSTONES_DROPPED: Final = 4

ChangeCallback = Callable[[Result['AcceptedChange', Failure]], None]


@dataclass(frozen=True, slots=True)
class ConfigurationChange:
    """An operator's change; an empty document withdraws the item.

    ``expected_version`` is the item's version that the operator saw, 0 for
    a new item.
    """

    key: str
    expected_version: int
    document: str


@dataclass(frozen=True, slots=True)
class AcceptedChange:
    """The version that has this change in force."""

    version: int


@dataclass(slots=True)
class WaitingChange:
    """A change that waits for its commit, and whom to tell."""

    change: ConfigurationChange
    done: ChangeCallback
    races: int = 0

    def fail(self, kind: ErrorKind, detail: str) -> None:
        """Give up on this change."""
        self.done(Err(Failure(kind, detail)))

    def refuse(self, found: int) -> None:
        """Tell the operator that the item is at another version."""
        change = self.change
        log_event(
            Event.CONFIGURATION_CONFLICT,
            key=change.key,
            expected=change.expected_version,
            found=found,
        )
        detail = (
            f'{change.key} is at version {found}, not {change.expected_version}'
        )
        self.fail(ErrorKind.CONFLICT, detail)


@dataclass(slots=True)
class ChangeBatch:
    """Changes that are committed together as one version."""

    version: int
    transaction: Transaction
    items: tuple[ConfigurationItem, ...]
    waiting: list[WaitingChange]
    commits: int = 0

    @classmethod
    def from_waiting(
        cls,
        head: Row,
        waiting: list[WaitingChange],
        tombstones: Sequence[ConfigurationItem],
    ) -> 'ChangeBatch':
        """Build the commit of the version after the head's.

        Args:
            head: The head row as it was when the state was at its version.
            waiting: Changes of different items.
            tombstones: Withdrawn items, the oldest first.
        """
        version = head.document['version'] + 1
        items = tuple(
            ConfigurationItem(each.change.key, version, each.change.document)
            for each in waiting
        )
        puts = [
            Put(HEAD, {'version': version}),
            Put(log_key(version), log_document(items)),
        ]
        puts.extend(
            Put(
                ITEMS + item.key,
                {'version': version, 'document': item.document},
            )
            for item in items
        )
        puts.extend(_compaction(version, items, tombstones))
        transaction = Transaction(
            checks=(Check(HEAD, head.version), Check(log_key(version), 0)),
            puts=tuple(puts),
        )
        return cls(version, transaction, items, waiting)

    def is_in(self, conflict: Conflict) -> bool:
        """Whether the rows in conflict are an earlier copy of this batch."""
        row = conflict.row(log_key(self.version))
        return row is not None and row.operation == self.transaction.operation


def _compaction(
    version: int,
    items: Sequence[ConfigurationItem],
    tombstones: Sequence[ConfigurationItem],
) -> list[Put]:
    """Drop the log row and the tombstones that have grown old.

    The check on the head makes this safe: nobody has changed an item since
    this process had the whole state at the head's version.
    """
    oldest = version - LOG_LENGTH
    if oldest <= 0:
        return []
    changed = {item.key for item in items}
    dropped = [
        Put(ITEMS + item.key, None)
        for item in tombstones[:_MAX_TOMBSTONES_DROPPED]
        if item.version <= oldest and item.key not in changed
    ]
    return [Put(log_key(oldest), None), *dropped]
