"""Discovery of entries by an agent that is connected to none."""

import random
from typing import Any, Final

from twisted.python.failure import Failure as TwistedFailure

from hyssopring.clock import Clock
from hyssopring.jobs.documents import EntryRow
from hyssopring.jobs.links import LinkDialler
from hyssopring.jobs.row_keys import ENTRIES_TABLE
from hyssopring.jobs.row_parser import RowParser
from hyssopring.jobs.rows import (
    Page,
    RowStore,
    StoreRefused,
    StoreUncertain,
)

__all__ = ('EntryDiscovery',)

# Seeds answer within a few ms. An agent that starts reads the store after up to
# twice the first time without a connection, one that loses its connections
# after the second; all repeat after one to two times the third. The times are
# random, so that agents that start together do not read at once.
_FIRST_READ_MS: Final = 100.0
_NO_ENTRY_MS: Final = 800.0
_RETRY_MS: Final = 1500.0


class EntryDiscovery:
    """Reads the entries' rows from the store while no entry is connected.

    After a restart of the whole deployment all seeds may be stale: agents that
    know only those reach no entry, and no task runs.
    """

    def __init__(
        self,
        clock: Clock,
        store: RowStore,
        dialler: LinkDialler,
        rng: random.Random,
    ) -> None:
        """Pass addresses of entries to ``dialler``."""
        self._clock = clock
        self._store = store
        self._dialler = dialler
        self._rng = rng
        self._next_read_at = clock.now() + rng.uniform(1, 2) * _FIRST_READ_MS
        self._parser = RowParser()

    def tick(self) -> None:
        """Read the store if needed; call a few times a second."""
        now_ms = self._clock.now()
        if self._dialler.connected:
            self._next_read_at = now_ms + _NO_ENTRY_MS
        elif now_ms >= self._next_read_at:
            self._next_read_at = now_ms + self._rng.uniform(1, 2) * _RETRY_MS
            reading = self._store.read(ENTRIES_TABLE, '')
            reading.addCallback(self._add_addresses)
            reading.addErrback(_ignore_store_error)

    def _add_addresses(self, page: Page) -> None:
        rows = [
            self._parser.parse(EntryRow.from_text, row) for row in page.rows
        ]
        self._dialler.add_addresses(
            row.address for row in rows if row is not None
        )


def _ignore_store_error(failure: TwistedFailure) -> Any:
    """Ignore an error of the store; a later call tries again."""
    failure.trap(StoreRefused, StoreUncertain)
