"""Commits operators' changes to the table.

The head row serializes all changes: a commit checks that the head is still at
the version of the local state, so the expected version of an item is compared
with its current one. Of two concurrent changes to an item, one is accepted and
the other fails with the current version. Changes that arrive during a commit
are batched into the next one.

Lost responses: a commit also checks that its own log row does not exist yet.
Log rows are never overwritten, so if a retry finds the row, its operation id
identifies the batch that wrote this version, even after later changes to the
head and the item.
"""

from typing import Callable, Final

from result import Err, Ok, Result

from hyssopring.configuration.batch import (
    AcceptedChange,
    ChangeBatch,
    ChangeCallback,
    ConfigurationChange,
    PendingChange,
)
from hyssopring.configuration.follower import TableFollower
from hyssopring.configuration.state import ConfigurationState
from hyssopring.configuration.validation import document_failure
from hyssopring.errors import ErrorKind, Failure
from hyssopring.logs import Event, log_event
from hyssopring.protocol.messages import ConfigurationUpdate
from hyssopring.store import Committed, Conflict, Row, Store

__all__ = ('ConfigurationManager',)

_MAX_BATCH_CHANGES: Final = 32
_MAX_PENDING: Final = 1000
# A conflict means that another process committed a change in between.
_MAX_CONFLICTS: Final = 40
_MAX_COMMITS: Final = 3


class ConfigurationManager:
    """Keeps the configuration of a process current and commits changes."""

    def __init__(
        self,
        state: ConfigurationState,
        store: Store,
        on_update: Callable[[ConfigurationUpdate], None],
    ) -> None:
        """Initialize the manager; ``on_update`` receives applied updates."""
        self._state = state
        self._store = store
        self._follower = TableFollower(state, store, on_update)
        self._pending: list[PendingChange] = []
        self._is_committing = False

    def poll(self) -> None:
        """Fetch the changes since the version of the local state."""
        self._follower.poll()

    def adopt(self, update: ConfigurationUpdate) -> bool:
        """Apply an update from a peer; return whether it was applied."""
        return self._follower.adopt(update)

    def change(self, change: ConfigurationChange, done: ChangeCallback) -> None:
        """Validate and commit one change; ``done`` is called once."""
        failure = document_failure(change.key, change.document)
        if failure is None and len(self._pending) >= _MAX_PENDING:
            failure = Failure(ErrorKind.OVERLOADED, 'too many changes wait')
        if failure is not None:
            done(Err(failure))
            return
        self._pending.append(PendingChange(change, done))
        self._start_next()

    def _start_next(self) -> None:
        if self._pending and not self._is_committing:
            self._is_committing = True
            # Later changes are not covered by this read of the head.
            ready = self._pending
            self._pending = []
            self._follower.catch_up(
                lambda head: self._on_caught_up(ready, head)
            )

    def _on_caught_up(
        self,
        ready: list[PendingChange],
        response: Result[Row, Failure],
    ) -> None:
        if response.is_err():
            detail = response.unwrap_err().detail
            for pending in ready:
                pending.fail(ErrorKind.STORE_UNAVAILABLE, detail)
            self._finish()
            return
        head = response.unwrap()
        if head.document['version'] != self._state.version:
            # A newer version arrived from a peer since the head was read.
            self._requeue(ready)
            return
        selected = self._select_batch(ready)
        if not selected:
            self._finish()
            return
        batch = ChangeBatch.from_pending(
            head,
            selected,
            self._state.tombstones,
        )
        self._commit(batch)

    def _select_batch(self, ready: list[PendingChange]) -> list[PendingChange]:
        """Reject outdated changes; select at most one change per item."""
        selected_by_key: dict[str, PendingChange] = {}
        deferred: list[PendingChange] = []
        for pending in ready:
            change = pending.change
            current_version = self._state.item_version(change.key)
            if current_version != change.expected_version:
                pending.reject(current_version)
                continue
            is_selected = (
                change.key not in selected_by_key
                and len(selected_by_key) < _MAX_BATCH_CHANGES
            )
            if is_selected:
                selected_by_key[change.key] = pending
            else:
                deferred.append(pending)
        self._pending = deferred + self._pending
        return list(selected_by_key.values())

    def _commit(self, batch: ChangeBatch) -> None:
        batch.commits += 1
        self._store.commit(
            batch.transaction,
            lambda response: self._on_commit_result(batch, response),
        )

    def _on_commit_result(
        self,
        batch: ChangeBatch,
        response: Result[Committed | Conflict, Failure],
    ) -> None:
        if response.is_err():
            self._retry_unconfirmed(batch, response.unwrap_err())
            return
        outcome = response.unwrap()
        if isinstance(outcome, Conflict) and not batch.wrote(outcome):
            # The batch was not committed and cannot be later: the head has
            # moved past the version that the transaction checks.
            self._requeue(batch.pending)
            return
        self._complete(batch)

    def _retry_unconfirmed(self, batch: ChangeBatch, failure: Failure) -> None:
        """Retry the same transaction, which is committed at most once."""
        if batch.commits < _MAX_COMMITS:
            self._commit(batch)
            return
        detail = f'{failure.detail}; read the item to see its version'
        for pending in batch.pending:
            pending.fail(ErrorKind.OUTCOME_UNKNOWN, detail)
        self._finish()

    def _complete(self, batch: ChangeBatch) -> None:
        update = ConfigurationUpdate(
            batch.version - 1,
            batch.version,
            batch.items,
        )
        if not self._follower.adopt(update):
            self._follower.poll()
        for pending in batch.pending:
            log_event(
                Event.CONFIGURATION_ACCEPTED,
                key=pending.change.key,
                version=batch.version,
            )
            pending.done(Ok(AcceptedChange(batch.version)))
        self._finish()

    def _requeue(self, pending_changes: list[PendingChange]) -> None:
        """Retry changes before the pending ones, up to a limit of conflicts."""
        requeued: list[PendingChange] = []
        for pending in pending_changes:
            pending.conflicts += 1
            if pending.conflicts > _MAX_CONFLICTS:
                pending.fail(
                    ErrorKind.OVERLOADED,
                    'lost too many races',
                )
            else:
                requeued.append(pending)
        self._pending = requeued + self._pending
        self._finish()

    def _finish(self) -> None:
        self._is_committing = False
        self._start_next()
