"""The agents that may hold tasks of a shard, as its next owner reads them."""

from typing import Any, Callable, Final, Iterable

from twisted.python.failure import Failure as TwistedFailure

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

__all__ = ('Roster',)

# A transaction holds at most 100 entries, and one is the owner's check.
_MAX_AGENTS: Final = 90


class Roster:
    """One row for each agent, written by the shard's owner alone.

    An agent is listed before it is sent its first task, and struck off once
    nothing there can run any more. A next owner waits for each listed agent
    that it cannot reach: one that is gone for good and stays listed would hold
    up, at each change of owner, all tasks that wait to start again.
    """

    def __init__(
        self,
        store: RowStore,
        shard: int,
        owner_check: RowCheck,
        on_listed: Callable[[], None],
        owes_wait: bool = False,
    ) -> None:
        """Write under ``owner_check``; ``on_listed`` hears of new rows.

        ``owes_wait`` says that a former owner may still act, and that the
        store says so to next owners until ``waited``.
        """
        self.owes_wait = owes_wait
        self._is_clearing = False
        self._store = store
        self._shard = shard
        self._check = owner_check
        self._on_listed = on_listed
        self._version_by_agent: dict[str, int] = {}
        self._is_adding = False

    @property
    def agents(self) -> tuple[str, ...]:
        """The agents that are durably listed."""
        return tuple(self._version_by_agent)

    def __contains__(self, agent_id: str) -> bool:
        """Whether an agent is durably listed."""
        return agent_id in self._version_by_agent

    def loaded(self, rows: Iterable[Row]) -> set[str]:
        """Take over the stored rows; return the agents that they name."""
        self._version_by_agent = {row.place.key: row.version for row in rows}
        return set(self._version_by_agent)

    def add(self, agents: Iterable[str]) -> None:
        """List agents; call again while some are not listed."""
        missing = [each for each in agents if each not in self]
        if not missing or self._is_adding:
            return
        self._is_adding = True
        batch = missing[:_MAX_AGENTS]
        puts = tuple(
            RowPut(agent_key(self._shard, agent_id), '') for agent_id in batch
        )
        adding = self._store.commit(Transaction((self._check,), puts))
        adding.addCallbacks(self._added, _retried, callbackArgs=(batch,))
        adding.addBoth(self._settled)

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
        version = self._version_by_agent.pop(agent_id, None)
        if version is None:
            return
        place = agent_key(self._shard, agent_id)
        striking = self._store.commit(
            Transaction(
                (self._check, RowCheck(place, version)),
                (),
                (place,),
            ),
        )
        striking.addErrback(_retried)

    def _added(self, outcome: Committed | Conflict, batch: list[str]) -> None:
        if isinstance(outcome, Committed):
            for agent_id in batch:
                self._version_by_agent[agent_id] = outcome.version
            self._on_listed()

    def _settled(self, _done: Any) -> None:
        self._is_adding = False

    def _cleared(self, outcome: Committed | Conflict) -> None:
        self.owes_wait = not isinstance(outcome, Committed)

    def _clearing_settled(self, _done: Any) -> None:
        self._is_clearing = False


def _retried(failure: TwistedFailure) -> None:
    """An agent is added again; one that stays listed costs the next owner."""
    failure.trap(StoreRefused, StoreUncertain)
