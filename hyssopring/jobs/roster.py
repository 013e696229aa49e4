"""The rows of the agents that may run tasks of a shard."""

from dataclasses import replace
from typing import Callable, Collection, Final, Iterable, Mapping

from twisted.python.failure import Failure as TwistedFailure

from hyssopring.clock import Clock
from hyssopring.jobs.documents import AgentRow
from hyssopring.jobs.epoch_rows import EpochRows
from hyssopring.jobs.roster_entry import RosterEntry
from hyssopring.jobs.row_keys import agent_key
from hyssopring.jobs.row_parser import RowParser
from hyssopring.jobs.rows import (
    Committed,
    Conflict,
    Row,
    RowCheck,
    RowPut,
    RowStore,
    StoreRefused,
    StoreUncertain,
    Transaction,
)
from hyssopring.jobs.store_clock import StoreClock

__all__ = ('Roster',)

# A transaction holds at most 100 operations: two for each agent, and the
# owner check.
_MAX_AGENTS: Final = 45
# The pause after a failed write.
_RETRY_BACKOFF_MS: Final = 200.0
# A stored expiry is written again if the new one is earlier by this much.
_MIN_IMPROVEMENT_MS: Final = 500.0


class Roster:
    """One row for each agent, written by the shard's owner alone.

    An agent that leaves removes its own row while the shard is released; see
    ``RosterWithdrawal``.

    An agent is listed before it is sent its first task, and removed once
    nothing can run there any more. The next owner waits for each listed agent
    that it cannot reach. Two things keep that wait short:

    - The row of an unreachable agent sets the expiry of its grants. Without it
      each owner in a series would begin the wait anew.
    - A keeper's task is listed in the row of each agent that may run it before
      it is sent there. Without it all keepers would wait for any lost VM.

    Attributes:
        is_known: Whether the stored rows were loaded.
    """

    def __init__(
        self,
        clock: Clock,
        store: RowStore,
        shard: int,
        owner_check: RowCheck,
        epoch_rows: EpochRows,
        on_written: Callable[[], None],
    ) -> None:
        """Create a roster without rows; call ``load`` before it is used.

        Args:
            clock: Times the backoff after failed writes.
            store: Holds the rows.
            shard: The number of the shard.
            owner_check: Restricts writes to the owner of this epoch.
            epoch_rows: The epochs whose owners have maintained the rows.
            on_written: Called after each successful write.
        """
        self.is_known = False
        self._clock = clock
        self._store = store
        self._shard = shard
        self._check = owner_check
        self._epoch_rows = epoch_rows
        self._on_written = on_written
        self._entry_by_agent: dict[str, RosterEntry] = {}
        self._parser = RowParser()
        self._is_writing = False
        self._backoff_until = clock.now()

    @property
    def agents(self) -> tuple[str, ...]:
        """The agents that are durably listed."""
        return tuple(filter(self.__contains__, self._entry_by_agent))

    def __contains__(self, agent_id: str) -> bool:
        """Whether an agent is durably listed."""
        entry = self._entry_by_agent.get(agent_id)
        return entry is not None and entry.is_listed

    @property
    def is_backing_off(self) -> bool:
        """Whether writes are paused after a failure or a change of owner."""
        return self._clock.now() < self._backoff_until

    def load(self, rows: Iterable[Row], store_clock: StoreClock) -> None:
        """Load the stored rows; a second load is ignored.

        The rows of a retried load may be older than this owner's own writes.
        """
        if self.is_known:
            return
        self.is_known = True
        self._entry_by_agent = {
            row.row_key.key: self._read(row, store_clock) for row in rows
        }

    def may_grant(self, agent_id: str) -> bool:
        """Whether an agent may get a grant: its row certainly sets no expiry.

        The next owner relies on no grant being sent after a stored expiry.
        """
        entry = self._entry_by_agent.get(agent_id)
        return self.is_known and not (entry and entry.may_have_expiry)

    def grant_expires_at(self, agent_id: str) -> float | None:
        """Return when an agent's grants expire by its row, None if unknown."""
        entry = self._entry_by_agent.get(agent_id)
        return entry.grant_expires_at if entry else None

    def tasks(self, agent_id: str) -> tuple[str, ...]:
        """Return the keepers' tasks that an agent may run."""
        entry = self._entry_by_agent.get(agent_id)
        return entry.wanted.tasks if entry else ()

    def is_located(self, agent_id: str, tasks: Collection[str]) -> bool:
        """Whether the stored row of an agent certainly lists tasks."""
        entry = self._entry_by_agent.get(agent_id)
        return entry is not None and entry.certain_tasks.issuperset(tasks)

    def add(self, agents: Iterable[str]) -> None:
        """Add agents that are not listed yet."""
        for agent_id in agents:
            self._entry_by_agent.setdefault(agent_id, RosterEntry())
        self.write()

    def set_tasks(self, agent_id: str, tasks: Iterable[str]) -> None:
        """Set the keepers' tasks that an agent may run."""
        entry = self._entry_by_agent.get(agent_id)
        wanted_tasks = tuple(sorted(tasks))
        if entry is not None and entry.wanted.tasks != wanted_tasks:
            entry.want_row(replace(entry.wanted, tasks=wanted_tasks))
            self.write()

    def set_expiries(
        self,
        expiry_by_agent: Mapping[str, float],
        store_clock: StoreClock,
    ) -> None:
        """Set when the grants of unreachable agents expire.

        They get no grant before ``clear_expiry`` has removed the expiry.
        """
        if not store_clock.is_known:
            return
        for agent_id, expires_at in expiry_by_agent.items():
            entry = self._entry_by_agent.get(agent_id)
            over_ms = store_clock.latest_reading(expires_at)
            if entry is None or not _is_earlier(entry.wanted.over_ms, over_ms):
                continue
            wanted = replace(
                entry.wanted, over_ms=over_ms, reign=self._epoch_rows.row.reign
            )
            entry.grant_expires_at = expires_at
            entry.may_have_expiry = True
            entry.want_row(wanted)
        self.write()

    def clear_expiry(self, agent_id: str) -> None:
        """Remove the expiry of an agent that is reachable again."""
        entry = self._entry_by_agent.get(agent_id)
        if entry is None or not entry.may_have_expiry:
            return
        if entry.wanted.has_expiry:
            entry.want_row(replace(entry.wanted, over_ms=None, reign=0))
        self.write()

    def remove(self, agent_id: str) -> None:
        """Remove the row of an agent on which nothing can run any more.

        The check of the row's version keeps a delayed removal from deleting
        the row of an agent that was listed again since. Nothing is removed
        while a write is in flight; the next tick retries.
        """
        entry = self._entry_by_agent.get(agent_id)
        if entry is None or entry.is_dirty or self._is_writing:
            return
        self._entry_by_agent.pop(agent_id)
        row_key = agent_key(self._shard, agent_id)
        deferred = self._store.commit(
            Transaction(
                (self._check, RowCheck(row_key, entry.version)),
                (),
                (row_key,),
            ),
        )
        deferred.addErrback(_ignore_store_failure)

    def write(self) -> None:
        """Write the rows that differ from their wanted content.

        One transaction is in flight at a time. Each checks the versions of its
        rows, so that a delayed one is not applied after its successors.
        """
        if self._is_writing or self.is_backing_off or not self.is_known:
            return
        if self._epoch_rows.must_write_incomplete:
            self._epoch_rows.invalidate()
            return
        batch = [
            agent_id
            for agent_id, entry in self._entry_by_agent.items()
            if entry.is_dirty
        ][:_MAX_AGENTS]
        if not batch:
            return
        self._is_writing = True
        checks, puts = [self._check], []
        row_by_agent = {}
        for agent_id in batch:
            entry = self._entry_by_agent[agent_id]
            row_key = agent_key(self._shard, agent_id)
            row_by_agent[agent_id] = entry.begin_write()
            checks.append(RowCheck(row_key, entry.version))
            puts.append(RowPut(row_key, row_by_agent[agent_id].to_text()))
        deferred = self._store.commit(Transaction(tuple(checks), tuple(puts)))
        deferred.addCallbacks(
            self._on_write_done,
            self._on_write_failed,
            callbackArgs=(row_by_agent,),
            errbackArgs=(row_by_agent,),
        )

    def _read(self, row: Row, store_clock: StoreClock) -> RosterEntry:
        """Parse a row; ignore an expiry that may have been disregarded.

        Those are the ones written before ``epoch_rows.row.since``, the first
        epoch of the unbroken sequence that maintained the rows.
        """
        entry = RosterEntry(row.version, is_listed=True, is_dirty=False)
        stored = self._parser.parse(AgentRow.from_text, row)
        if stored is None:
            # The malformed row may have listed any task.
            self._epoch_rows.invalidate()
            return entry
        entry.wanted = stored
        entry.certain_tasks = frozenset(stored.tasks)
        if stored.over_ms is None or stored.reign < self._epoch_rows.row.since:
            entry.wanted = replace(stored, over_ms=None, reign=0)
            return entry
        entry.may_have_expiry = True
        if store_clock.is_known:
            entry.grant_expires_at = store_clock.passed_at(stored.over_ms)
        return entry

    def _on_write_done(
        self,
        outcome: Committed | Conflict,
        row_by_agent: Mapping[str, AgentRow],
    ) -> None:
        self._is_writing = False
        if isinstance(outcome, Conflict):
            self._adopt_versions(outcome, row_by_agent)
        else:
            for agent_id, entry in self._entries(row_by_agent):
                entry.record_write(row_by_agent[agent_id], outcome.version)
            self._on_written()
        self.write()

    def _adopt_versions(
        self,
        conflict: Conflict,
        agents: Iterable[str],
    ) -> None:
        """Adopt the versions in the store, so that the rows are written again.

        They differ after a write without a response that was applied.
        """
        version_by_key = {row.row_key: row.version for row in conflict.rows}
        check = self._check
        if version_by_key.get(check.row_key) != check.version:
            # Another owner has the shard; the next poll of it detects that.
            self._backoff_until = self._clock.now() + _RETRY_BACKOFF_MS
        for agent_id, entry in self._entries(agents):
            row_key = agent_key(self._shard, agent_id)
            entry.record_version(version_by_key.get(row_key, 0))

    def _on_write_failed(
        self,
        failure: TwistedFailure,
        agents: Iterable[str],
    ) -> None:
        _ignore_store_failure(failure)
        self._is_writing = False
        self._backoff_until = self._clock.now() + _RETRY_BACKOFF_MS
        for _agent_id, entry in self._entries(agents):
            entry.is_dirty = True

    def _entries(self, agents: Iterable[str]) -> list[tuple[str, RosterEntry]]:
        """Return the entries of agents that are still on the roster."""
        return [
            (agent_id, self._entry_by_agent[agent_id])
            for agent_id in agents
            if agent_id in self._entry_by_agent
        ]


def _is_earlier(stored_ms: float | None, over_ms: float) -> bool:
    """Whether an expiry is enough earlier than the stored one to be written.

    It never becomes later: the agent gets no grant once its row is written.
    """
    return stored_ms is None or over_ms < stored_ms - _MIN_IMPROVEMENT_MS


def _ignore_store_failure(failure: TwistedFailure) -> None:
    """Ignore a failed call.

    Writes are retried. A row that was not removed may prolong the next
    owner's wait.
    """
    failure.trap(StoreRefused, StoreUncertain)
