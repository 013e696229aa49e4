"""Reads whether a job is stored, before it is rejected."""

import enum
from typing import Any, Final

from twisted.internet.defer import inlineCallbacks

from hyssopring.clock import MILLIS_PER_SECOND, Clock
from hyssopring.jobs.deadlines import answer_by
from hyssopring.jobs.row_keys import job_key
from hyssopring.jobs.rows import RowStore, StoreRefused, StoreUncertain

__all__ = ('StoredJobs', 'StoredState')

_FIRST_USUAL_MS: Final = 10.0
# How much longer than usual a read may take; callers wait for the answer.
_EXTRA_MS: Final = 100.0
_MAX_USUAL_MS: Final = 500.0
_NEWEST_SHARE: Final = 0.1


class StoredState(enum.Enum):
    """Whether a job is stored.

    UNKNOWN: The read failed, or took too long.
    """

    STORED = 'stored'
    ABSENT = 'absent'
    UNKNOWN = 'unknown'


class StoredJobs:
    """Looks up jobs in the store, for a short time only."""

    def __init__(self, reactor: Any, clock: Clock, store: RowStore) -> None:
        """Read from ``store``."""
        self._reactor = reactor
        self._clock = clock
        self._store = store
        self._usual_ms = _FIRST_USUAL_MS

    def find(self, job_id: str) -> Any:
        """Return a deferred ``StoredState``."""
        return answer_by(
            self._reactor,
            self._read(job_id),
            (self._usual_ms + _EXTRA_MS) / MILLIS_PER_SECOND,
            StoredState.UNKNOWN,
        )

    @inlineCallbacks
    def _read(self, job_id: str) -> Any:
        started_at_ms = self._clock.now()
        try:
            row = yield self._store.read_one(job_key(job_id))
        except (StoreRefused, StoreUncertain):
            return StoredState.UNKNOWN
        # Late answers count as well: the store may be slow from now on.
        took_ms = min(self._clock.now() - started_at_ms, _MAX_USUAL_MS)
        self._usual_ms += _NEWEST_SHARE * (took_ms - self._usual_ms)
        return StoredState.ABSENT if row is None else StoredState.STORED
