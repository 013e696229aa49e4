"""The agents that may hold tasks of a shard, as its next owner reads them."""

from dataclasses import replace
from typing import Callable, Collection, Final, Iterable, Mapping

from twisted.python.failure import Failure as TwistedFailure

from hyssopring.clock import Clock
from hyssopring.jobs.documents import AgentRow
from hyssopring.jobs.row_parser import RowParser
from hyssopring.jobs.epoch_rows import EpochRows
from hyssopring.jobs.roster_entry import RosterEntry
from hyssopring.jobs.row_keys import agent_key
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

# A transaction holds at most 100 entries: an agent has two, and one is the
# owner's check.
_MAX_AGENTS: Final = 45
# After a failed write nothing is written for this long.
_REST_MS: Final = 200.0
# A wait that ends sooner than was written is written again if it saves this.
_SHORTER_MS: Final = 500.0


class Roster:
    """One row for each agent, written by the shard's owner alone.

    An agent is listed before it is sent its first task, and struck off once
    nothing there can run any more. A next owner waits for each listed agent
    that it cannot reach. Two things keep that wait short:

    - The row of an agent that is away says until when. Without it each owner
      of a series would begin the wait anew.
    - A lasting task stands in the row of each agent that may run it, before
      it is sent there. Without it all of them would wait for any lost VM.
    """

    def __init__(
        self,
        clock: Clock,
        store: RowStore,
        shard: int,
        owner_check: RowCheck,
        reigns: EpochRows,
        on_written: Callable[[], None],
    ) -> None:
        """Write under ``owner_check``; ``on_written`` hears of new rows.

        Args:
            clock: Spaces writes that fail.
            store: Holds the rows.
            shard: The shard.
            owner_check: Lets the owner of this reign alone write.
            reigns: Which reigns have kept to the rows.
            on_written: Called whenever a row says what it is to say.
        """
        self.is_known = False
        self._clock = clock
        self._store = store
        self._shard = shard
        self._check = owner_check
        self._reigns = reigns
        self._on_written = on_written
        self._entry_by_agent: dict[str, RosterEntry] = {}
        self._odd = RowParser()
        self._is_writing = False
        self._rests_until = clock.now()

    @property
    def agents(self) -> tuple[str, ...]:
        """The agents that are durably listed."""
        return tuple(filter(self.__contains__, self._entry_by_agent))

    def __contains__(self, agent_id: str) -> bool:
        """Whether an agent is durably listed."""
        entry = self._entry_by_agent.get(agent_id)
        return entry is not None and entry.is_listed

    @property
    def is_failing(self) -> bool:
        """Whether the last write has failed a moment ago."""
        return self._clock.now() < self._rests_until

    def loaded(self, rows: Iterable[Row], store_time: StoreClock) -> None:
        """Take over the stored rows.

        Those of a load that is tried again are left: this owner alone writes
        rows, and has changed some since, perhaps after they were read.
        """
        if self.is_known:
            return
        self.is_known = True
        self._entry_by_agent = {
            row.row_key.key: self._read(row, store_time) for row in rows
        }

    def may_grant(self, agent_id: str) -> bool:
        """Whether the agent's row lets it be granted."""
        entry = self._entry_by_agent.get(agent_id)
        return self.is_known and not (entry and entry.may_be_suspended)

    def over_at(self, agent_id: str) -> float | None:
        """When all that an agent was granted is over, None if not known."""
        entry = self._entry_by_agent.get(agent_id)
        return entry.over_at if entry else None

    def tasks(self, agent_id: str) -> tuple[str, ...]:
        """Return the lasting tasks that an agent may run."""
        entry = self._entry_by_agent.get(agent_id)
        return entry.wanted.tasks if entry else ()

    def is_located(self, agent_id: str, tasks: Collection[str]) -> bool:
        """Whether lasting tasks surely stand in an agent's row."""
        entry = self._entry_by_agent.get(agent_id)
        return entry is not None and entry.sure_tasks.issuperset(tasks)

    def add(self, agents: Iterable[str]) -> None:
        """List agents that are not listed yet."""
        for agent_id in agents:
            self._entry_by_agent.setdefault(agent_id, RosterEntry())
        self.write()

    def locate(self, agent_id: str, tasks: Iterable[str]) -> None:
        """Say which lasting tasks an agent may run."""
        entry = self._entry_by_agent.get(agent_id)
        told = tuple(sorted(tasks))
        if entry is not None and entry.wanted.tasks != told:
            entry.want(replace(entry.wanted, tasks=told))
            self.write()

    def set_expiries(
        self,
        over_at_by_agent: Mapping[str, float],
        store_time: StoreClock,
    ) -> None:
        """Say of agents that are away when all granted there is over.

        They get no grant before ``readmit`` has taken it back.
        """
        if not store_time.is_known:
            return
        for agent_id, over_at in over_at_by_agent.items():
            entry = self._entry_by_agent.get(agent_id)
            over_ms = store_time.latest_reading(over_at)
            if entry is None or not _is_news(entry.wanted.over_ms, over_ms):
                continue
            told = replace(
                entry.wanted, over_ms=over_ms, reign=self._reigns.row.reign
            )
            entry.over_at = over_at
            entry.may_be_suspended = True
            entry.want(told)
        self.write()

    def readmit(self, agent_id: str) -> None:
        """Take back that an agent is away: it is here again."""
        entry = self._entry_by_agent.get(agent_id)
        if entry is None or not entry.may_be_suspended:
            return
        if entry.wanted.is_suspended:
            entry.want(replace(entry.wanted, over_ms=None, reign=0))
        self.write()

    def remove(self, agent_id: str) -> None:
        """Take an agent off the list, on which nothing can run any more.

        The row's version is checked: a write that is carried out late must
        not remove the row of an agent that has been listed again since. While
        rows are being written nothing is struck; the next turn tries again.
        """
        entry = self._entry_by_agent.get(agent_id)
        if entry is None or entry.is_dirty or self._is_writing:
            return
        self._entry_by_agent.pop(agent_id)
        place = agent_key(self._shard, agent_id)
        striking = self._store.commit(
            Transaction(
                (self._check, RowCheck(place, entry.version)),
                (),
                (place,),
            ),
        )
        striking.addErrback(_retried)

    def write(self) -> None:
        """Write the rows that do not say what they are to say.

        One transaction is under way at a time, and each checks the versions:
        one that is carried out late does not follow its successors.
        """
        if self._is_writing or self.is_failing or not self.is_known:
            return
        if self._reigns.is_void:
            self._reigns.void()
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
            place = agent_key(self._shard, agent_id)
            row_by_agent[agent_id] = entry.sent()
            checks.append(RowCheck(place, entry.version))
            puts.append(RowPut(place, row_by_agent[agent_id].to_text()))
        writing = self._store.commit(Transaction(tuple(checks), tuple(puts)))
        writing.addCallbacks(
            self._written,
            self._unwritten,
            callbackArgs=(row_by_agent,),
            errbackArgs=(row_by_agent,),
        )

    def _read(self, row: Row, store_time: StoreClock) -> RosterEntry:
        """Read a row; what owners before ``since`` said may be outdated."""
        entry = RosterEntry(row.version, is_listed=True, is_dirty=False)
        told = self._odd.parse(AgentRow.from_text, row)
        if told is None:
            # It may have listed any task.
            self._reigns.void()
            return entry
        entry.wanted = told
        entry.sure_tasks = frozenset(told.tasks)
        if told.over_ms is None or told.reign < self._reigns.row.since:
            entry.wanted = replace(told, over_ms=None, reign=0)
            return entry
        entry.may_be_suspended = True
        if store_time.is_known:
            entry.over_at = store_time.passed_at(told.over_ms)
        return entry

    def _written(
        self,
        outcome: Committed | Conflict,
        row_by_agent: Mapping[str, AgentRow],
    ) -> None:
        self._is_writing = False
        if isinstance(outcome, Conflict):
            self._take_versions(outcome, row_by_agent)
        else:
            for agent_id, entry in self._entries(row_by_agent):
                entry.written(row_by_agent[agent_id], outcome.version)
            self._on_written()
        self.write()

    def _take_versions(
        self,
        conflict: Conflict,
        agents: Iterable[str],
    ) -> None:
        """Write again on the versions that a check has found.

        A write without an answer was carried out after all.
        """
        version_by_place = {row.row_key: row.version for row in conflict.rows}
        check = self._check
        if version_by_place.get(check.row_key) != check.version:
            # Another owner has the shard; the next reading of it tells.
            self._rests_until = self._clock.now() + _REST_MS
        for agent_id, entry in self._entries(agents):
            place = agent_key(self._shard, agent_id)
            entry.found(version_by_place.get(place, 0))

    def _unwritten(
        self,
        failure: TwistedFailure,
        agents: Iterable[str],
    ) -> None:
        _retried(failure)
        self._is_writing = False
        self._rests_until = self._clock.now() + _REST_MS
        for _agent_id, entry in self._entries(agents):
            entry.is_dirty = True

    def _entries(self, agents: Iterable[str]) -> list[tuple[str, RosterEntry]]:
        """Return the entries of agents; a new reading may have fewer."""
        return [
            (agent_id, self._entry_by_agent[agent_id])
            for agent_id in agents
            if agent_id in self._entry_by_agent
        ]


def _is_news(told_ms: float | None, over_ms: float) -> bool:
    """Whether a row should tell an agent's time.

    It never becomes later: the agent gets no grant once its row is written.
    """
    return told_ms is None or over_ms < told_ms - _SHORTER_MS


def _retried(failure: TwistedFailure) -> None:
    """The next turn tries again; what stays listed costs the next owner."""
    failure.trap(StoreRefused, StoreUncertain)
