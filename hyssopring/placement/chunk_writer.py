"""Write a planner's chunks to the table, many in one transaction.

Each transaction checks the version of the shard's row. A planner that has
lost the shard gets a conflict, records nothing and drops the shard.
"""

from collections import defaultdict
from typing import Callable, Sequence

from result import Result

from hyssopring.errors import Failure
from hyssopring.leases import HeldShard
from hyssopring.leases.shards import shard_key
from hyssopring.placement.records import Chunk
from hyssopring.store import (
    Check,
    Committed,
    Conflict,
    Put,
    Row,
    Store,
    Transaction,
)

__all__ = ('ChunkWriter',)

_MAX_CHUNKS = 64

_Action = Callable[[], None]


class ChunkWriter:
    """Write one shard's modified chunks to the table."""

    def __init__(
        self,
        store: Store,
        held: HeldShard,
        is_current: Callable[[], bool],
        on_fenced: Callable[[int], None],
    ) -> None:
        """Create a writer.

        Args:
            store: The table store.
            held: The shard, with the epoch and row version to write under.
            is_current: Whether this planner still holds a valid lease.
            on_fenced: Called with the shard when a write shows that another
                planner has taken it.
        """
        self._store = store
        self._held = held
        self._is_current = is_current
        self._on_fenced = on_fenced
        self._is_writing = False
        self._dirty_by_key: dict[str, Chunk] = {}
        self._actions_by_key: defaultdict[str, list[_Action]]
        self._actions_by_key = defaultdict(list)
        self._chunk_keys_by_deletion: dict[str, frozenset[str]] = {}
        self._due_actions: list[_Action] = []

    def mark_dirty(self, chunk: Chunk, action: _Action | None = None) -> None:
        """Schedule a chunk to be written; run ``action`` once it is stored."""
        self._dirty_by_key.setdefault(chunk.key, chunk)
        if action is not None:
            self._actions_by_key[chunk.key].append(action)

    def delete_row_after(self, key: str, chunks: Sequence[Chunk]) -> None:
        """Delete a row no earlier than these chunks are written.

        A job of many chunks takes several transactions. If its inbox row were
        deleted before the last one, a planner that crashes in between would
        lose tasks.
        """
        chunk_keys = frozenset(chunk.key for chunk in chunks)
        self._chunk_keys_by_deletion[key] = chunk_keys

    def flush(self) -> None:
        """Write modified chunks, oldest first, one transaction at a time."""
        self._run_due_actions()
        if self._is_writing:
            return
        batch = list(self._dirty_by_key.values())[:_MAX_CHUNKS]
        remaining = self._dirty_by_key.keys() - {chunk.key for chunk in batch}
        deletions = [
            key
            for key, chunk_keys in self._chunk_keys_by_deletion.items()
            if chunk_keys.isdisjoint(remaining)
        ]
        if batch or deletions:
            self._write(batch, deletions)

    def _write(self, batch: list[Chunk], deletions: list[str]) -> None:
        self._is_writing = True
        actions_by_key: dict[str, list[_Action]] = {}
        checks = [Check(shard_key(self._held.shard), self._held.row_version)]
        puts = [Put(key, None) for key in deletions]
        for chunk in batch:
            self._dirty_by_key.pop(chunk.key)
            actions_by_key[chunk.key] = self._actions_by_key.pop(chunk.key, [])
            checks.append(Check(chunk.key, chunk.row_version))
            document = None if chunk.is_deleted else chunk.to_document()
            puts.append(Put(chunk.key, document))
        transaction = Transaction(tuple(checks), tuple(puts))
        for written in batch:
            written.unconfirmed_writes.add(transaction.operation)
        self._store.commit(
            transaction,
            lambda response: self._on_written(
                batch, deletions, actions_by_key, response
            ),
        )

    def _on_written(
        self,
        batch: list[Chunk],
        deletions: list[str],
        actions_by_key: dict[str, list[_Action]],
        response: Result[Committed | Conflict, Failure],
    ) -> None:
        self._is_writing = False
        outcome = response.unwrap_or(None)
        if isinstance(outcome, Committed):
            for key in deletions:
                self._chunk_keys_by_deletion.pop(key, None)
            for chunk in batch:
                chunk.row_version = outcome.version_by_key[chunk.key]
                chunk.unconfirmed_writes.clear()
                self._due_actions.extend(actions_by_key[chunk.key])
            self._run_due_actions()
            return
        for unwritten in batch:
            key = unwritten.key
            self._dirty_by_key.setdefault(key, unwritten)
            newer_actions = self._actions_by_key[key]
            self._actions_by_key[key] = actions_by_key[key] + newer_actions
        if outcome is not None:
            self._handle_conflict(batch, outcome)

    def _run_due_actions(self) -> None:
        """Run due actions if the lease is valid, else keep them.

        The store may answer after a pause in which another planner took the
        shard. Only that planner may then send commands to agents.
        """
        if self._is_current():
            due_actions = self._due_actions
            self._due_actions = []
            for action in due_actions:
                action()

    def _handle_conflict(self, batch: list[Chunk], conflict: Conflict) -> None:
        """Accept own writes whose answers were lost; else report fencing."""
        chunk_by_key = {chunk.key: chunk for chunk in batch}
        for row in conflict.rows:
            chunk = chunk_by_key.get(row.key)
            if chunk is None or not _is_own(chunk, row):
                self._on_fenced(self._held.shard)
                return
            chunk.row_version = row.version


def _is_own(chunk: Chunk, row: Row) -> bool:
    is_deletion = chunk.is_deleted and not row.version
    return is_deletion or row.operation in chunk.unconfirmed_writes
