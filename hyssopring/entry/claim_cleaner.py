"""Deletes claims that are days old, a bounded number at a time.

No entry checks a key in a bucket that is three days old, as calendars differ
by a day at most, so a deletion there releases no key that is in use. Entries
don't coordinate: each picks a bucket and one of its slices at random, and a
race for the same rows is a conflict, which is ignored.
"""

import random
from typing import Callable, Sequence

from result import Err, Result

from hyssopring.errors import Failure
from hyssopring.store import Check, Put, Row, Store, Transaction

__all__ = ('ClaimCleaner',)

_MIN_AGE_DAYS = 3
_MAX_AGE_DAYS = 9
_SLICE_COUNT = 256
_MAX_ROWS = 256


class ClaimCleaner:
    """Deletes the rows of old buckets, one slice at a time."""

    def __init__(
        self,
        store: Store,
        today: Callable[[], int],
        rng: random.Random,
    ) -> None:
        """Clean the claims of ``store``.

        Args:
            store: The table service.
            today: Returns the number of the current day, as for ``ClaimTable``.
            rng: Randomness for the choice of a bucket and a slice.
        """
        self._store = store
        self._today = today
        self._rng = rng

    def sweep(self) -> None:
        """Delete the rows of one slice; call every few seconds."""
        age_days = self._rng.randint(_MIN_AGE_DAYS, _MAX_AGE_DAYS)
        slice_number = self._rng.randrange(_SLICE_COUNT)
        prefix = f'claims/{self._today() - age_days}/{slice_number:02x}/'
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
