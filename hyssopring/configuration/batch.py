"""Batches of changes that are committed as one version."""

from dataclasses import dataclass
from typing import Callable, Final, Sequence

from result import Err, Result

from hyssopring.configuration.rows import (
    HEAD_KEY,
    ITEM_PREFIX,
    MAX_LOG_ROWS,
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
    'PendingChange',
)

_MAX_TOMBSTONES_PER_COMMIT: Final = 4

ChangeCallback = Callable[[Result['AcceptedChange', Failure]], None]


@dataclass(frozen=True, slots=True)
class ConfigurationChange:
    """A change by an operator; an empty document withdraws the item.

    ``expected_version`` is the version of the item that the change is based
    on, 0 for a new item.
    """

    key: str
    expected_version: int
    document: str


@dataclass(frozen=True, slots=True)
class AcceptedChange:
    """The result of a change: the version that contains it."""

    version: int


@dataclass(slots=True)
class PendingChange:
    """A change that is not committed yet.

    Attributes:
        change: The change.
        done: Called once with the result.
        conflicts: How often its commit failed because of another change.
    """

    change: ConfigurationChange
    done: ChangeCallback
    conflicts: int = 0

    def fail(self, kind: ErrorKind, detail: str) -> None:
        """Report a failure to the caller."""
        self.done(Err(Failure(kind, detail)))

    def reject(self, current_version: int) -> None:
        """Fail with CONFLICT because the item is at another version."""
        change = self.change
        log_event(
            Event.CONFIGURATION_CONFLICT,
            key=change.key,
            expected=change.expected_version,
            found=current_version,
        )
        detail = (
            f'{change.key} is at version {current_version}, '
            f'not {change.expected_version}'
        )
        self.fail(ErrorKind.CONFLICT, detail)


@dataclass(slots=True)
class ChangeBatch:
    """Changes that are committed as one version.

    Attributes:
        version: The configuration version that the commit writes.
        transaction: The checks and writes of the commit.
        items: The changed items.
        pending: The changes.
        commits: How often the commit has been attempted.
    """

    version: int
    transaction: Transaction
    items: tuple[ConfigurationItem, ...]
    pending: list[PendingChange]
    commits: int = 0

    @classmethod
    def from_pending(
        cls,
        head: Row,
        pending: list[PendingChange],
        tombstones: Sequence[ConfigurationItem],
    ) -> 'ChangeBatch':
        """Build the batch that writes the version after that of the head.

        Args:
            head: The head row; the local state is at its version.
            pending: Changes to distinct items.
            tombstones: Withdrawn items, oldest first.
        """
        version = head.document['version'] + 1
        items = tuple(
            ConfigurationItem(
                pending_change.change.key,
                version,
                pending_change.change.document,
            )
            for pending_change in pending
        )
        puts = [
            Put(HEAD_KEY, {'version': version}),
            Put(log_key(version), log_document(items)),
        ]
        puts.extend(
            Put(
                ITEM_PREFIX + item.key,
                {'version': version, 'document': item.document},
            )
            for item in items
        )
        puts.extend(_compaction_puts(version, items, tombstones))
        transaction = Transaction(
            checks=(Check(HEAD_KEY, head.version), Check(log_key(version), 0)),
            puts=tuple(puts),
        )
        return cls(version, transaction, items, pending)

    def wrote(self, conflict: Conflict) -> bool:
        """Return whether an earlier commit of this batch wrote the rows."""
        row = conflict.row(log_key(self.version))
        return row is not None and row.operation == self.transaction.operation


def _compaction_puts(
    version: int,
    items: Sequence[ConfigurationItem],
    tombstones: Sequence[ConfigurationItem],
) -> list[Put]:
    """Return the removals of the expired log row and of old tombstones.

    The check on the head makes this safe: no item has changed since this
    process had the complete state at the version of the head.
    """
    expired_version = version - MAX_LOG_ROWS
    if expired_version <= 0:
        return []
    changed_keys = {item.key for item in items}
    tombstone_removals = [
        Put(ITEM_PREFIX + item.key, None)
        for item in tombstones[:_MAX_TOMBSTONES_PER_COMMIT]
        if item.version <= expired_version and item.key not in changed_keys
    ]
    return [Put(log_key(expired_version), None), *tombstone_removals]
