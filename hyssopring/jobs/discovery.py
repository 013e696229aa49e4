"""How an agent that knows no entry finds one."""

import random
from typing import Any, Final

from twisted.python.failure import Failure as TwistedFailure

from hyssopring.clock import Clock
from hyssopring.jobs.documents import EntryRow
from hyssopring.jobs.links import LinkDialler
from hyssopring.jobs.row_parser import RowParser
from hyssopring.jobs.row_keys import ENTRIES_TABLE
from hyssopring.jobs.rows import (
    Page,
    RowStore,
    StoreRefused,
    StoreUncertain,
)

__all__ = ('EntryDiscovery',)

# Seeds answer within a few ms; an agent without any entry for this long asks
# the store, again after the second time, spread over the agents.
_ALONE_MS: Final = 800.0
_AGAIN_MS: Final = 1500.0


class EntryDiscovery:
    """Reads the entries' rows while none of the known addresses answers.

    Seeds may all be stale: after a restart of everything agents dialled
    machines that were gone, and no task ran any more.
    """

    def __init__(
        self,
        clock: Clock,
        store: RowStore,
        dialler: LinkDialler,
        rng: random.Random,
    ) -> None:
        """Teach ``dialler`` what is found."""
        self._clock = clock
        self._store = store
        self._dialler = dialler
        self._rng = rng
        self._next_at = clock.now() + _ALONE_MS
        self._odd = RowParser()

    def tick(self) -> None:
        """Look at the connections; call a few times a second."""
        now = self._clock.now()
        if self._dialler.connected:
            self._next_at = now + _ALONE_MS
        elif now >= self._next_at:
            self._next_at = now + self._rng.uniform(1, 2) * _AGAIN_MS
            reading = self._store.read(ENTRIES_TABLE, '')
            reading.addCallback(self._found)
            reading.addErrback(_later)

    def _found(self, page: Page) -> None:
        rows = [self._odd.parse(EntryRow.from_text, row) for row in page.rows]
        self._dialler.add_addresses(
            row.address for row in rows if row is not None
        )


def _later(failure: TwistedFailure) -> Any:
    """The next turn tries again."""
    failure.trap(StoreRefused, StoreUncertain)
