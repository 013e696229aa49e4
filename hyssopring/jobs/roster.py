"""The agents that may hold tasks of a shard, as its next owner reads them."""

from dataclasses import dataclass
from typing import Any, Callable, Final, Iterable, Mapping

from twisted.python.failure import Failure as TwistedFailure

from hyssopring.jobs.documents import AgentRow
from hyssopring.jobs.odd_rows import OddRows
from hyssopring.jobs.row_keys import agent_key, wait_key
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
from hyssopring.jobs.store_time import StoreTime

__all__ = ('Roster', 'RosterReigns')

# A transaction holds at most 100 entries: an agent has two, and one is the
# owner's check.
_MAX_AGENTS: Final = 45


@dataclass(frozen=True, slots=True)
class RosterReigns:
    """The reigns whose words on the roster count.

    Attributes:
        reign: The present owner's.
        since: From this one on every owner has kept to what the rows say.
    """

    reign: int
    since: int


@dataclass(slots=True)
class _Listed:
    """An agent that is durably listed.

    Attributes:
        version: Its row's.
        is_suspended: The row says, or may come to say, that the agent is away:
            no grant may be given there before that is taken back.
        over_at: When all that was granted there is over, by the clock; None
            if the row does not say so.
    """

    version: int
    is_suspended: bool = False
    over_at: float | None = None


class Roster:
    """One row for each agent, written by the shard's owner alone.

    An agent is listed before it is sent its first task, and struck off once
    nothing there can run any more. A next owner waits for each listed agent
    that it cannot reach. The row of one that is away says until when: without
    it each owner of a series would begin the wait anew, and all that their
    predecessors had accepted would wait with it.
    """

    def __init__(
        self,
        store: RowStore,
        shard: int,
        owner_check: RowCheck,
        reigns: RosterReigns,
        on_listed: Callable[[], None],
        owes_wait: bool = False,
    ) -> None:
        """Write under ``owner_check``; ``on_listed`` hears of new rows.

        ``owes_wait`` says that a former owner may still act, and that the
        store says so to next owners until ``waited``.
        """
        self.owes_wait = owes_wait
        self.is_known = False
        self._is_clearing = False
        self._store = store
        self._shard = shard
        self._check = owner_check
        self._reigns = reigns
        self._on_listed = on_listed
        self._listed_by_agent: dict[str, _Listed] = {}
        self._version_by_unlisted: dict[str, int] = {}
        self._odd = OddRows()
        self._is_adding = False
        self._is_suspending = False
        self._readmitting: set[str] = set()

    @property
    def agents(self) -> tuple[str, ...]:
        """The agents that are durably listed."""
        return tuple(self._listed_by_agent)

    def __contains__(self, agent_id: str) -> bool:
        """Whether an agent is durably listed."""
        return agent_id in self._listed_by_agent

    def loaded(self, rows: Iterable[Row], store_time: StoreTime) -> None:
        """Take over the stored rows."""
        self.is_known = True
        self._listed_by_agent = {
            row.place.key: self._read(row, store_time) for row in rows
        }

    def may_grant(self, agent_id: str) -> bool:
        """Whether the agent's row lets it be granted."""
        listed = self._listed_by_agent.get(agent_id)
        return self.is_known and not (listed and listed.is_suspended)

    def over_at(self, agent_id: str) -> float | None:
        """When all that an agent was granted is over, None if not known."""
        listed = self._listed_by_agent.get(agent_id)
        return listed.over_at if listed else None

    def add(self, agents: Iterable[str]) -> None:
        """List agents; call again while some are not listed."""
        missing = [each for each in agents if each not in self]
        if not missing or self._is_adding:
            return
        self._is_adding = True
        batch = missing[:_MAX_AGENTS]
        checks, puts = [self._check], []
        for agent_id in batch:
            # A removal that is still to be carried out must not follow.
            place = agent_key(self._shard, agent_id)
            version = self._version_by_unlisted.get(agent_id, 0)
            checks.append(RowCheck(place, version))
            puts.append(RowPut(place, ''))
        adding = self._store.commit(Transaction(tuple(checks), tuple(puts)))
        adding.addCallbacks(self._added, _retried, callbackArgs=(batch,))
        adding.addBoth(self._settled)

    def suspend(
        self,
        over_at_by_agent: Mapping[str, float],
        store_time: StoreTime,
    ) -> None:
        """Say of agents that are away when all granted there is over.

        From the call on they get no grant until ``readmit`` has taken it back:
        a write without an answer may be carried out late.
        """
        batch = {
            agent_id: over_at
            for agent_id, over_at in over_at_by_agent.items()
            if agent_id in self
        }
        if not batch or self._is_suspending or not store_time.is_known:
            return
        batch = dict(list(batch.items())[:_MAX_AGENTS])
        self._is_suspending = True
        checks, puts = [self._check], []
        for agent_id, over_at in batch.items():
            listed = self._listed_by_agent[agent_id]
            listed.is_suspended = True
            place = agent_key(self._shard, agent_id)
            checks.append(RowCheck(place, listed.version))
            told = AgentRow(store_time.latest(over_at), self._reigns.reign)
            puts.append(RowPut(place, told.to_text()))
        suspending = self._store.commit(Transaction(tuple(checks), tuple(puts)))
        suspending.addCallbacks(
            self._suspended, _retried, callbackArgs=(batch,)
        )
        suspending.addBoth(self._suspending_settled)

    def readmit(self, agent_id: str) -> None:
        """Take back what its row says: the agent is here again."""
        listed = self._listed_by_agent.get(agent_id)
        if listed is None or not listed.is_suspended:
            return
        if agent_id in self._readmitting:
            return
        self._readmitting.add(agent_id)
        place = agent_key(self._shard, agent_id)
        # Whether an earlier write is still to be carried out or not, it does
        # not follow this one: each checks the row's version.
        readmitting = self._store.commit(
            Transaction(
                (self._check, RowCheck(place, listed.version)),
                (RowPut(place, ''),),
            ),
        )
        readmitting.addCallbacks(
            self._readmitted,
            _retried,
            callbackArgs=(agent_id,),
        )
        readmitting.addBoth(self._readmitting_settled, agent_id)

    def waited(self) -> None:
        """No former owner acts any more: next owners need not wait for it."""
        if not self.owes_wait or self._is_clearing:
            return
        self._is_clearing = True
        place = wait_key(self._shard)
        clearing = self._store.commit(Transaction((self._check,), (), (place,)))
        clearing.addCallbacks(self._cleared, _retried)
        clearing.addBoth(self._clearing_settled)

    def strike(self, agent_id: str) -> None:
        """Take an agent off the list, on which nothing can run any more.

        The row's version is checked: a write that is carried out late must
        not remove the row of an agent that has been listed again since.
        """
        listed = self._listed_by_agent.pop(agent_id, None)
        if listed is None:
            return
        place = agent_key(self._shard, agent_id)
        striking = self._store.commit(
            Transaction(
                (self._check, RowCheck(place, listed.version)),
                (),
                (place,),
            ),
        )
        striking.addErrback(_retried)

    def _read(self, row: Row, store_time: StoreTime) -> _Listed:
        """Read a row; what owners before ``since`` said may be outdated."""
        listed = _Listed(row.version)
        told = self._odd.read(AgentRow.from_text, row) if row.text else None
        if told is None or told.reign < self._reigns.since:
            return listed
        listed.is_suspended = True
        if store_time.is_known:
            listed.over_at = store_time.reached(told.over_ms)
        return listed

    def _added(self, outcome: Committed | Conflict, batch: list[str]) -> None:
        if isinstance(outcome, Conflict):
            version_by_agent = self._versions(outcome)
            for missing in batch:
                version = version_by_agent.get(missing, 0)
                self._version_by_unlisted[missing] = version
            return
        for agent_id in batch:
            self._version_by_unlisted.pop(agent_id, None)
            self._listed_by_agent[agent_id] = _Listed(outcome.version)
        self._on_listed()

    def _versions(self, conflict: Conflict) -> dict[str, int]:
        """Return the versions of agents' rows that a check has found."""
        return {
            row.place.key: row.version
            for row in conflict.rows
            if row.place == agent_key(self._shard, row.place.key)
        }

    def _found(self, conflict: Conflict, batch: Iterable[str]) -> None:
        """Take the versions of rows that have others than were known.

        A write without an answer was carried out after all. An agent without
        a row is to be listed again.
        """
        version_by_agent = self._versions(conflict)
        for agent_id in batch:
            version = version_by_agent.get(agent_id)
            if version is None:
                self._listed_by_agent.pop(agent_id, None)
            elif agent_id in self:
                self._listed_by_agent[agent_id].version = version

    def _suspended(
        self,
        outcome: Committed | Conflict,
        batch: Mapping[str, float],
    ) -> None:
        if isinstance(outcome, Conflict):
            self._found(outcome, batch)
            return
        for agent_id, over_at in batch.items():
            listed = self._listed_by_agent.get(agent_id)
            # An answer that was overtaken by the next write says nothing.
            if listed is not None and listed.version < outcome.version:
                listed.version = outcome.version
                listed.over_at = over_at

    def _readmitted(
        self,
        outcome: Committed | Conflict,
        agent_id: str,
    ) -> None:
        if isinstance(outcome, Conflict):
            self._found(outcome, (agent_id,))
            return
        self._listed_by_agent[agent_id] = _Listed(outcome.version)
        self._on_listed()

    def _settled(self, _done: Any) -> None:
        self._is_adding = False

    def _suspending_settled(self, _done: Any) -> None:
        self._is_suspending = False

    def _readmitting_settled(self, _done: Any, agent_id: str) -> None:
        self._readmitting.discard(agent_id)

    def _cleared(self, outcome: Committed | Conflict) -> None:
        self.owes_wait = not isinstance(outcome, Committed)

    def _clearing_settled(self, _done: Any) -> None:
        self._is_clearing = False


def _retried(failure: TwistedFailure) -> None:
    """The next turn tries again; what stays listed costs the next owner."""
    failure.trap(StoreRefused, StoreUncertain)
