"""Keeps one process's configuration in step with the table and with peers."""

from typing import Callable, Final, Sequence

from result import Err, Ok, Result

from hyssopring.configuration.rows import (
    HEAD,
    ITEMS,
    LOG_PAGE,
    log_page,
    snapshot_of,
    step_forward,
)
from hyssopring.configuration.state import ConfigurationState
from hyssopring.errors import Failure
from hyssopring.logs import Event, log_event
from hyssopring.protocol.messages import ConfigurationUpdate
from hyssopring.store import Row, Store

__all__ = ('TableFollower',)

# Further behind than this, reading all items is cheaper than the log.
_MAX_LOG_LAG: Final = 5 * LOG_PAGE
_NO_HEAD: Final = Row(HEAD, 0, '', {'version': 0})

HeadCallback = Callable[[Result[Row, Failure]], None]


class TableFollower:
    """Follows the head row: one small read when nothing has changed.

    When the head has moved, only the log rows in between are read; the whole
    state only by a fresh process or one that is far behind.
    """

    def __init__(
        self,
        state: ConfigurationState,
        store: Store,
        on_update: Callable[[ConfigurationUpdate], None],
    ) -> None:
        """Tell ``on_update`` of each step forward."""
        self._state = state
        self._store = store
        self._on_update = on_update
        self._is_reading = False
        self._waiting: list[HeadCallback] = []

    def poll(self) -> None:
        """Read the head, and what has changed since."""
        if not self._is_reading:
            self._read_head()

    def catch_up(self, done: HeadCallback) -> None:
        """Call ``done`` with a head row read after this call.

        The state is then at the head's version or newer.
        """
        self._waiting.append(done)
        if not self._is_reading:
            self._read_head()

    def adopt(self, update: ConfigurationUpdate) -> bool:
        """Step forward by an update from the table or from a peer."""
        before = self._state.version
        if not self._state.apply(update):
            return False
        log_event(
            Event.CONFIGURATION_APPLIED,
            version=update.version,
            before=before,
            items=len(update.items),
        )
        self._on_update(self._state.update_since(before))
        return True

    def _read_head(self) -> None:
        self._is_reading = True
        # Only those who asked before this read may rely on what it finds.
        waiting = self._waiting
        self._waiting = []
        self._store.read(HEAD, lambda answer: self._head_read(waiting, answer))

    def _head_read(
        self,
        waiting: list[HeadCallback],
        answer: Result[Sequence[Row], Failure],
    ) -> None:
        if answer.is_err():
            self._finish(waiting, Err(answer.unwrap_err()))
            return
        head = next(iter(answer.unwrap()), _NO_HEAD)
        self._advance(waiting, head)

    def _advance(self, waiting: list[HeadCallback], head: Row) -> None:
        lag = head.document['version'] - self._state.version
        if lag <= 0:
            self._state.confirm()
            self._finish(waiting, Ok(head))
        elif self._state.version == 0 or lag > _MAX_LOG_LAG:
            self._read_items(waiting, head)
        else:
            self._read_log(waiting, head)

    def _read_log(self, waiting: list[HeadCallback], head: Row) -> None:
        base = self._state.version
        self._store.read(
            log_page(base + 1),
            lambda answer: self._log_read(waiting, head, base, answer),
        )

    def _log_read(
        self,
        waiting: list[HeadCallback],
        head: Row,
        base: int,
        answer: Result[Sequence[Row], Failure],
    ) -> None:
        if answer.is_err():
            self._finish(waiting, Err(answer.unwrap_err()))
            return
        update = step_forward(base, answer.unwrap())
        if update is None:
            # The log no longer reaches back to this version.
            self._read_items(waiting, head)
            return
        self.adopt(update)
        self._advance(waiting, head)

    def _read_items(self, waiting: list[HeadCallback], head: Row) -> None:
        self._store.read(
            ITEMS,
            lambda answer: self._items_read(waiting, head, answer),
        )

    def _items_read(
        self,
        waiting: list[HeadCallback],
        head: Row,
        answer: Result[Sequence[Row], Failure],
    ) -> None:
        if answer.is_err():
            self._finish(waiting, Err(answer.unwrap_err()))
            return
        self.adopt(snapshot_of(answer.unwrap()))
        self._finish(waiting, Ok(head))

    def _finish(
        self,
        waiting: list[HeadCallback],
        answer: Result[Row, Failure],
    ) -> None:
        self._is_reading = False
        for done in waiting:
            done(answer)
        if self._waiting and not self._is_reading:
            self._read_head()
