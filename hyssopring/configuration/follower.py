"""Follows the configuration in the table and in updates from peers."""

from typing import Callable, Final, Sequence

from result import Err, Ok, Result

from hyssopring.configuration.rows import (
    HEAD_KEY,
    ITEM_PREFIX,
    LOG_PAGE_ROWS,
    head_version,
    log_page_prefix,
    snapshot_of,
    log_update,
)
from hyssopring.configuration.state import ConfigurationState
from hyssopring.errors import ErrorKind, Failure
from hyssopring.logs import Event, log_event
from hyssopring.protocol.messages import ConfigurationUpdate
from hyssopring.store import Row, Store

__all__ = ('TableFollower',)

# With a larger lag, reading all items is cheaper than reading the log.
_MAX_LOG_LAG: Final = 5 * LOG_PAGE_ROWS
_MALFORMED_HEAD: Final = 'malformed head of the configuration'
_NO_HEAD: Final = Row(HEAD_KEY, 0, '', {'version': 0})

HeadCallback = Callable[[Result[Row, Failure]], None]


class TableFollower:
    """Polls the head row and fetches changes.

    A poll without changes is one small read. Otherwise only the log rows in
    between are read; the complete state is read only by a new process or with
    a large lag.
    """

    def __init__(
        self,
        state: ConfigurationState,
        store: Store,
        on_update: Callable[[ConfigurationUpdate], None],
    ) -> None:
        """Initialize the follower; ``on_update`` receives applied updates."""
        self._state = state
        self._store = store
        self._on_update = on_update
        self._is_reading = False
        self._logged_head_version = 0
        self._pending_callbacks: list[HeadCallback] = []

    def poll(self) -> None:
        """Fetch the changes since the version of the local state."""
        if not self._is_reading:
            self._read_head()

    def catch_up(self, done: HeadCallback) -> None:
        """Call ``done`` with a head row read after this call.

        The state is then at the head's version or newer.
        """
        self._pending_callbacks.append(done)
        if not self._is_reading:
            self._read_head()

    def adopt(self, update: ConfigurationUpdate) -> bool:
        """Apply an update from the table or a peer.

        Returns:
            Whether the update was newer and has been applied.
        """
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
        # Callers that arrive during this read need a later one.
        callbacks = self._pending_callbacks
        self._pending_callbacks = []
        self._store.read(
            HEAD_KEY, lambda response: self._on_head_read(callbacks, response)
        )

    def _on_head_read(
        self,
        callbacks: list[HeadCallback],
        response: Result[Sequence[Row], Failure],
    ) -> None:
        if response.is_err():
            self._finish(callbacks, Err(response.unwrap_err()))
            return
        head = next(iter(response.unwrap()), _NO_HEAD)
        self._advance(callbacks, head)

    def _advance(self, callbacks: list[HeadCallback], head: Row) -> None:
        version = head_version(head)
        if version is None:
            self._log_malformed(head)
            failure = Failure(ErrorKind.STORE_UNAVAILABLE, _MALFORMED_HEAD)
            self._finish(callbacks, Err(failure))
            return
        lag = version - self._state.version
        if lag <= 0:
            self._state.mark_current()
            self._finish(callbacks, Ok(head))
        elif self._state.version == 0 or lag > _MAX_LOG_LAG:
            self._read_items(callbacks, head)
        else:
            self._read_log(callbacks, head)

    def _log_malformed(self, head: Row) -> None:
        if head.version != self._logged_head_version:
            self._logged_head_version = head.version
            log_event(Event.PEER_ERROR, peer=HEAD_KEY, detail=_MALFORMED_HEAD)

    def _read_log(self, callbacks: list[HeadCallback], head: Row) -> None:
        base = self._state.version
        self._store.read(
            log_page_prefix(base + 1),
            lambda response: self._on_log_read(callbacks, head, base, response),
        )

    def _on_log_read(
        self,
        callbacks: list[HeadCallback],
        head: Row,
        base: int,
        response: Result[Sequence[Row], Failure],
    ) -> None:
        if response.is_err():
            self._finish(callbacks, Err(response.unwrap_err()))
            return
        update = log_update(base, response.unwrap())
        if update is None:
            # The log row after this version has been removed.
            self._read_items(callbacks, head)
            return
        self.adopt(update)
        self._advance(callbacks, head)

    def _read_items(self, callbacks: list[HeadCallback], head: Row) -> None:
        self._store.read(
            ITEM_PREFIX,
            lambda response: self._on_items_read(callbacks, head, response),
        )

    def _on_items_read(
        self,
        callbacks: list[HeadCallback],
        head: Row,
        response: Result[Sequence[Row], Failure],
    ) -> None:
        if response.is_err():
            self._finish(callbacks, Err(response.unwrap_err()))
            return
        self.adopt(snapshot_of(response.unwrap()))
        self._finish(callbacks, Ok(head))

    def _finish(
        self,
        callbacks: list[HeadCallback],
        response: Result[Row, Failure],
    ) -> None:
        self._is_reading = False
        for done in callbacks:
            done(response)
        if self._pending_callbacks and not self._is_reading:
            self._read_head()
