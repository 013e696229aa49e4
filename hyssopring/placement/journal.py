"""Writes a planner's chunks to the table, many in one transaction.

Each transaction checks the shard's row, so a planner that was deposed can
record nothing: its writes conflict and it drops the shard.
"""

from typing import Callable, Iterable

from result import Result

from hyssopring.errors import Failure
from hyssopring.leases import HeldShard
from hyssopring.leases.shards import shard_key
from hyssopring.placement.records import Chunk
from hyssopring.store.rows import (
    Check,
    Committed,
    Conflict,
    Put,
    Store,
    Transaction,
)

__all__ = ('Journal',)

_MAX_CHUNKS = 64


class Journal:
    """Keeps one shard's chunks in step with the table."""

    def __init__(
        self,
        store: Store,
        held: HeldShard,
        on_fenced: Callable[[int], None],
    ) -> None:
        """Write under the held shard's epoch."""
        self._store = store
        self._held = held
        self._on_fenced = on_fenced
        self._is_writing = False
        self._waiting: list[Callable[[], None]] = []
        self._extra_puts: list[Put] = []

    def also_delete(self, key: str) -> None:
        """Delete another row in the next transaction."""
        self._extra_puts.append(Put(key, None))

    def when_written(self, action: Callable[[], None]) -> None:
        """Run ``action`` after the present state of the chunks is safe."""
        self._waiting.append(action)

    def flush(self, chunks: Iterable[Chunk]) -> None:
        """Write the dirty chunks, unless a write is under way."""
        if self._is_writing:
            return
        dirty = [chunk for chunk in chunks if chunk.is_dirty]
        batch = dirty[:_MAX_CHUNKS]
        # An action waits for all chunks that were dirty when it was asked
        # for; it runs only with the write that leaves none behind.
        actions: list[Callable[[], None]] = []
        if len(batch) == len(dirty):
            actions = self._waiting
            self._waiting = []
        if not batch and not self._extra_puts:
            _run(actions)
            return
        self._write(batch, actions)

    def _write(
        self,
        batch: list[Chunk],
        actions: list[Callable[[], None]],
    ) -> None:
        self._is_writing = True
        extra = self._extra_puts
        self._extra_puts = []
        for chunk in batch:
            chunk.is_dirty = False
        checks = [Check(shard_key(self._held.shard), self._held.row_version)]
        checks.extend(Check(chunk.key, chunk.row_version) for chunk in batch)
        puts = [Put(chunk.key, chunk.to_document()) for chunk in batch]
        transaction = Transaction(tuple(checks), tuple(puts + extra))
        for chunk in batch:
            chunk.operations.add(transaction.operation)
        self._store.commit(
            transaction,
            lambda answer: self._written(batch, extra, actions, answer),
        )

    def _written(
        self,
        batch: list[Chunk],
        extra: list[Put],
        actions: list[Callable[[], None]],
        answer: Result[Committed | Conflict, Failure],
    ) -> None:
        self._is_writing = False
        outcome = answer.unwrap_or(None)
        if isinstance(outcome, Committed):
            for chunk in batch:
                chunk.row_version = outcome.version_by_key[chunk.key]
                chunk.operations.clear()
            _run(actions)
            return
        for chunk in batch:
            chunk.is_dirty = True
        self._extra_puts = extra + self._extra_puts
        self._waiting = actions + self._waiting
        if outcome is not None:
            self._conflict(batch, outcome)

    def _conflict(self, batch: list[Chunk], conflict: Conflict) -> None:
        """Adopt own writes whose answers were lost; else we were fenced."""
        chunk_by_key = {chunk.key: chunk for chunk in batch}
        for row in conflict.rows:
            chunk = chunk_by_key.get(row.key)
            if chunk is None or row.operation not in chunk.operations:
                self._on_fenced(self._held.shard)
                return
            chunk.row_version = row.version


def _run(actions: list[Callable[[], None]]) -> None:
    for action in actions:
        action()
