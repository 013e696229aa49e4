"""Deletes claims that are days old, a bounded number at a time.

No entry looks for a key in a bucket that is three days old, whatever its
calendar within a day, so a deletion there frees no key that is in use. Entries
clean without agreement: each picks a bucket and a slice of it by chance, and a
race for the same rows is one conflict, which is left alone.
"""

import random
from typing import Callable, Sequence

from result import Err, Result

from hyssopring.errors import Failure
from hyssopring.store import Check, Put, Row, Store, Transaction

__all__ = ('ClaimCleaner',)

_FIRST_AGE_DAYS = 3
_LAST_AGE_DAYS = 9
_SLICES = 256
_MAX_ROWS = 256


class ClaimCleaner:
    """Reads one slice of an old bucket at a time and deletes its rows."""

    def __init__(
        self,
        store: Store,
        today: Callable[[], int],
        rng: random.Random,
    ) -> None:
        """Take the store and the calendar of ``ClaimTable``."""
        self._store = store
        self._today = today
        self._rng = rng

    def sweep(self) -> None:
        """Clean one slice; call every few seconds."""
        age = self._rng.randint(_FIRST_AGE_DAYS, _LAST_AGE_DAYS)
        part = self._rng.randrange(_SLICES)
        prefix = f'claims/{self._today() - age}/{part:02x}/'
        self._store.read(prefix, self._delete)

    def _delete(self, answer: Result[Sequence[Row], Failure]) -> None:
        if isinstance(answer, Err) or not answer.ok_value:
            return
        rows = answer.ok_value[:_MAX_ROWS]
        self._store.commit(
            Transaction(
                tuple(Check(row.key, row.version) for row in rows),
                tuple(Put(row.key, None) for row in rows),
            ),
            lambda _answer: None,
        )
