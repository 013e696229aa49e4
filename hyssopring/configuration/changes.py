"""Accepts operators' changes into the table.

All changes are put in one order by the head row: a commit checks that the
head has not moved since this process had the whole state at that version, so
what an operator expects is compared with what is in force at that moment. Of
two racing operators one wins and the other is told the current version.
Changes that arrive while a commit is under way go together into the next.

A lost answer: the commit also checks that its own log row does not exist
yet. Log rows are never overwritten, so when a retry finds that row there,
its operation id says for certain whose change took that version, also when
others have since changed the head and the item.
"""

from typing import Callable, Final

from result import Err, Ok, Result

from hyssopring.configuration.batch import (
    AcceptedChange,
    ChangeBatch,
    ChangeCallback,
    ConfigurationChange,
    WaitingChange,
)
from hyssopring.configuration.follower import TableFollower
from hyssopring.configuration.state import ConfigurationState
from hyssopring.configuration.validation import document_failure
from hyssopring.errors import ErrorKind, Failure
from hyssopring.logs import Event, log_event
from hyssopring.protocol.messages import ConfigurationUpdate
from hyssopring.store import Committed, Conflict, Row, Store

__all__ = ('ConfigurationKeeper',)

_MAX_BATCH: Final = 32
_MAX_WAITING: Final = 1000
# Each lost race means that another's change was accepted meanwhile.
_MAX_RACES: Final = 40
_MAX_COMMITS: Final = 3


class ConfigurationKeeper:
    """Keeps one process's configuration in step; accepts changes to it."""

    def __init__(
        self,
        state: ConfigurationState,
        store: Store,
        on_update: Callable[[ConfigurationUpdate], None],
    ) -> None:
        """Follow the table; tell ``on_update`` of each step forward."""
        self._state = state
        self._store = store
        self._follower = TableFollower(state, store, on_update)
        self._waiting: list[WaitingChange] = []
        self._is_busy = False

    def poll(self) -> None:
        """Read the head; fetch what has changed since."""
        self._follower.poll()

    def adopt(self, update: ConfigurationUpdate) -> bool:
        """Step forward by an update from a peer."""
        return self._follower.adopt(update)

    def change(self, change: ConfigurationChange, done: ChangeCallback) -> None:
        """Validate and commit one change; ``done`` is called once."""
        failure = document_failure(change.key, change.document)
        if failure is None and len(self._waiting) >= _MAX_WAITING:
            failure = Failure(ErrorKind.OVERLOADED, 'too many changes wait')
        if failure is not None:
            done(Err(failure))
            return
        self._waiting.append(WaitingChange(change, done))
        self._next()

    def _next(self) -> None:
        if self._waiting and not self._is_busy:
            self._is_busy = True
            # What arrives after this read was asked for waits for the next.
            ready = self._waiting
            self._waiting = []
            self._follower.catch_up(lambda head: self._caught_up(ready, head))

    def _caught_up(
        self,
        ready: list[WaitingChange],
        answer: Result[Row, Failure],
    ) -> None:
        if answer.is_err():
            detail = answer.unwrap_err().detail
            for waiting in ready:
                waiting.fail(ErrorKind.STORE_UNAVAILABLE, detail)
            self._end()
            return
        head = answer.unwrap()
        if head.document['version'] != self._state.version:
            # A peer has told of a newer version since the head was read.
            self._again(ready)
            return
        chosen = self._choose(ready)
        if not chosen:
            self._end()
            return
        batch = ChangeBatch.from_waiting(
            head,
            chosen,
            self._state.tombstones,
        )
        self._commit(batch)

    def _choose(self, ready: list[WaitingChange]) -> list[WaitingChange]:
        """Refuse what expects another version; one change per item."""
        chosen: dict[str, WaitingChange] = {}
        left: list[WaitingChange] = []
        for waiting in ready:
            change = waiting.change
            found = self._state.item_version(change.key)
            if found != change.expected_version:
                waiting.refuse(found)
                continue
            is_next = change.key not in chosen and len(chosen) < _MAX_BATCH
            if is_next:
                chosen[change.key] = waiting
            else:
                left.append(waiting)
        self._waiting = left + self._waiting
        return list(chosen.values())

    def _commit(self, batch: ChangeBatch) -> None:
        batch.commits += 1
        self._store.commit(
            batch.transaction,
            lambda answer: self._committed(batch, answer),
        )

    def _committed(
        self,
        batch: ChangeBatch,
        answer: Result[Committed | Conflict, Failure],
    ) -> None:
        if answer.is_err():
            self._in_doubt(batch, answer.unwrap_err())
            return
        outcome = answer.unwrap()
        if isinstance(outcome, Conflict) and not batch.is_in(outcome):
            # Certain: this batch took no effect and never will, as the head
            # has moved past the version that it was checked against.
            self._again(batch.waiting)
            return
        self._accept(batch)

    def _in_doubt(self, batch: ChangeBatch, failure: Failure) -> None:
        """Commit the same transaction again: it takes effect once at most."""
        if batch.commits < _MAX_COMMITS:
            self._commit(batch)
            return
        detail = f'{failure.detail}; read the item to see its version'
        for waiting in batch.waiting:
            waiting.fail(ErrorKind.OUTCOME_UNKNOWN, detail)
        self._end()

    def _accept(self, batch: ChangeBatch) -> None:
        update = ConfigurationUpdate(
            batch.version - 1,
            batch.version,
            batch.items,
        )
        if not self._follower.adopt(update):
            self._follower.poll()
        for waiting in batch.waiting:
            log_event(
                Event.CONFIGURATION_ACCEPTED,
                key=waiting.change.key,
                version=batch.version,
            )
            waiting.done(Ok(AcceptedChange(batch.version)))
        self._end()

    def _again(self, losers: list[WaitingChange]) -> None:
        """Put changes that lost a race to the front, a few times over."""
        kept: list[WaitingChange] = []
        for waiting in losers:
            waiting.races += 1
            if waiting.races > _MAX_RACES:
                waiting.fail(ErrorKind.OVERLOADED, 'lost too many races')
            else:
                kept.append(waiting)
        self._waiting = kept + self._waiting
        self._end()

    def _end(self) -> None:
        self._is_busy = False
        self._next()
