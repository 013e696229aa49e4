"""Writes a planner's chunks to the table, many in one transaction.

Each transaction checks the shard's row, so a planner that was deposed can
record nothing: its writes conflict and it drops the shard.
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
    """Keeps one shard's chunks in step with the table."""

    def __init__(
        self,
        store: Store,
        held: HeldShard,
        is_current: Callable[[], bool],
        on_fenced: Callable[[int], None],
    ) -> None:
        """Write under the held shard's epoch."""
        self._store = store
        self._held = held
        self._is_current = is_current
        self._on_fenced = on_fenced
        self._is_writing = False
        self._dirty_by_key: dict[str, Chunk] = {}
        self._actions_by_key: defaultdict[str, list[_Action]]
        self._actions_by_key = defaultdict(list)
        self._chunk_keys_by_extra: dict[str, frozenset[str]] = {}
        self._ready: list[_Action] = []

    def mark(self, chunk: Chunk, action: _Action | None = None) -> None:
        """Write a chunk soon; then, and not before, run ``action``."""
        self._dirty_by_key.setdefault(chunk.key, chunk)
        if action is not None:
            self._actions_by_key[chunk.key].append(action)

    def delete_after(self, key: str, chunks: Sequence[Chunk]) -> None:
        """Delete another row no sooner than these chunks are written.

        A job of many chunks takes many transactions. With its inbox row gone
        before the last, a planner that dies in between loses tasks.
        """
        chunk_keys = frozenset(chunk.key for chunk in chunks)
        self._chunk_keys_by_extra[key] = chunk_keys

    def flush(self) -> None:
        """Write what is dirty, the oldest first; one write at a time."""
        self._run_ready()
        if self._is_writing:
            return
        batch = list(self._dirty_by_key.values())[:_MAX_CHUNKS]
        later = self._dirty_by_key.keys() - {chunk.key for chunk in batch}
        extra = [
            key
            for key, chunk_keys in self._chunk_keys_by_extra.items()
            if chunk_keys.isdisjoint(later)
        ]
        if batch or extra:
            self._write(batch, extra)

    def _write(self, batch: list[Chunk], extra: list[str]) -> None:
        self._is_writing = True
        actions_by_key: dict[str, list[_Action]] = {}
        checks = [Check(shard_key(self._held.shard), self._held.row_version)]
        puts = [Put(key, None) for key in extra]
        for chunk in batch:
            self._dirty_by_key.pop(chunk.key)
            actions_by_key[chunk.key] = self._actions_by_key.pop(chunk.key, [])
            checks.append(Check(chunk.key, chunk.row_version))
            document = None if chunk.is_forgotten else chunk.to_document()
            puts.append(Put(chunk.key, document))
        transaction = Transaction(tuple(checks), tuple(puts))
        for written in batch:
            written.operations.add(transaction.operation)
        self._store.commit(
            transaction,
            lambda answer: self._written(batch, extra, actions_by_key, answer),
        )

    def _written(
        self,
        batch: list[Chunk],
        extra: list[str],
        actions_by_key: dict[str, list[_Action]],
        answer: Result[Committed | Conflict, Failure],
    ) -> None:
        self._is_writing = False
        outcome = answer.unwrap_or(None)
        if isinstance(outcome, Committed):
            for key in extra:
                self._chunk_keys_by_extra.pop(key, None)
            for chunk in batch:
                chunk.row_version = outcome.version_by_key[chunk.key]
                chunk.operations.clear()
                self._ready.extend(actions_by_key[chunk.key])
            self._run_ready()
            return
        for unwritten in batch:
            key = unwritten.key
            self._dirty_by_key.setdefault(key, unwritten)
            newer = self._actions_by_key[key]
            self._actions_by_key[key] = actions_by_key[key] + newer
        if outcome is not None:
            self._conflict(batch, outcome)

    def _run_ready(self) -> None:
        """Run what is due now, or at the next flush under a good lease.

        The answer may come after a pause in which this planner was deposed;
        what it would send then is the next planner's to decide.
        """
        if self._is_current():
            ready = self._ready
            self._ready = []
            for action in ready:
                action()

    def _conflict(self, batch: list[Chunk], conflict: Conflict) -> None:
        """Adopt own writes whose answers were lost; else we were fenced."""
        chunk_by_key = {chunk.key: chunk for chunk in batch}
        for row in conflict.rows:
            chunk = chunk_by_key.get(row.key)
            if chunk is None or not _is_own(chunk, row):
                self._on_fenced(self._held.shard)
                return
            chunk.row_version = row.version


def _is_own(chunk: Chunk, row: Row) -> bool:
    is_deleted = chunk.is_forgotten and not row.version
    return is_deleted or row.operation in chunk.operations
