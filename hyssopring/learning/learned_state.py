"""Keeps what an owner has learned in the store, for the next owner."""

from typing import Any, Callable, Final, Iterable, Mapping, Protocol

from twisted.python.failure import Failure as TwistedFailure

from hyssopring.clock import Clock
from hyssopring.jobs.rows import (
    Committed,
    Conflict,
    Row,
    StoreRefused,
    StoreUncertain,
)
from hyssopring.jobs.scheduling_options import LearningOptions
from hyssopring.learning.pairs import Pair, PairKey
from hyssopring.learning.run_times import RunTimes
from hyssopring.learning.stored_summary import StoredSummary
from hyssopring.learning.summary import Summary
from hyssopring.learning.summary_text import (
    SummaryError,
    decode_summary,
    encode_summary,
)
from hyssopring.logs import Event, log_event

__all__ = ('LearnedState', 'LearningShard', 'PairSource')

_READ_RETRY_MS: Final = 1000.0
# Large summaries are written less often: an entry may spend 11 KB/s on all of
# its control, and 1.4% of a core.
_MAX_BYTES_PER_MS: Final = 4
_ENCODING_BACKOFF_FACTOR: Final = 200
# The log shows that summaries are written, not each of them.
_MIN_LOG_INTERVAL_MS: Final = 60_000.0
# A reason may contain a name from the row.
_MAX_DETAIL_CHARS: Final = 200


class PairSource(Protocol):
    """The model that learns the interference of pairs of images."""

    def known_pairs(self) -> Iterable[tuple[PairKey, Pair]]:
        """Return all pairs that were observed or loaded."""

    def forget(self) -> None:
        """Forget all pairs."""

    def add_learned(self, pairs: Iterable[tuple[PairKey, Pair]]) -> None:
        """Merge pairs that another owner has learned."""


class LearningShard(Protocol):
    """The owned shard whose row holds the summary."""

    shard: int
    is_dropped: bool
    stored_summary: StoredSummary

    def on_ownership_lost(self) -> None:
        """Handle that another owner has taken the shard."""


class LearnedState:
    """Reads the summary once at a takeover, and writes it while it changes.

    Nothing waits for the summary. What arrives late is merged with what was
    learned in the meantime. It is written only once the former one was read,
    as a new owner knows next to nothing.

    Attributes:
        speeds: Returns the relative speeds of workers by incarnation.
        on_speeds: Called with the speeds that were loaded.
        useless_variance: Pairs of this variance and above tell nothing.
        pair_count: Pairs in the last summary that was read or written.
    """

    def __init__(
        self,
        clock: Clock,
        wall_ms: Callable[[], float],
        options: LearningOptions,
        pairs: PairSource,
        run_times: RunTimes,
        useless_variance: float,
    ) -> None:
        """Start without a shard."""
        self.speeds: Callable[[], Mapping[str, float]] = dict
        self.on_speeds: Callable[[Mapping[str, float]], None] = _ignore_speeds
        self.useless_variance = useless_variance
        self.pair_count = 0
        self.run_times = run_times
        self._clock = clock
        self._wall_ms = wall_ms
        self._options = options
        self._pairs = pairs
        self._sync_by_shard: dict[int, _ShardSync] = {}
        self._own_text = ''
        self._dropped_ms: float | None = None

    def acquire(self, owned: LearningShard) -> None:
        """Start to read the summary of a shard that was taken."""
        sync = _ShardSync(self, self._clock, owned)
        self._sync_by_shard[owned.shard] = sync
        sync.read()

    def drop(self, shard: int) -> None:
        """Stop writing the summary of a shard."""
        self._sync_by_shard.pop(shard, None)
        self._dropped_ms = self._wall_ms()

    def tick(self) -> None:
        """Read or write what is due; call a few times a second."""
        for sync in list(self._sync_by_shard.values()):
            sync.tick()

    @property
    def save_interval_ms(self) -> float:
        """The shortest time between two writes."""
        return self._options.save_interval_ms

    def encode(self, summary: Summary) -> str:
        """Return the text to write."""
        self._own_text = encode_summary(summary)
        return self._own_text

    def summary(self) -> Summary:
        """Return what is known now."""
        return Summary(
            self._wall_ms(),
            {
                images: pair
                for images, pair in self._pairs.known_pairs()
                if pair.variance < self.useless_variance
            },
            self.run_times.to_stored(),
            dict(self.speeds()),
        )

    def load(self, text: str, shard: int) -> list[str]:
        """Merge a stored summary, unless this process has written it.

        An entry that takes the shard again finds its own evidence in the row.
        So that nothing counts twice, it goes on from what it knows if the row
        is its own, and from the row alone if a successor has written it.

        Returns:
            What in it was ignored.

        Raises:
            SummaryError: The text as a whole cannot be used.
        """
        if text == self._own_text:
            return []
        now_ms = self._wall_ms()
        stored, problems = decode_summary(text, now_ms)
        aged = stored.aged(now_ms, self.useless_variance)
        self._forget_before(stored.saved_ms)
        self._pairs.add_learned(aged.pair_by_images.items())
        self.run_times.add(aged.runs_by_key)
        self.on_speeds(aged.speed_by_boot)
        self.pair_count = len(aged.pair_by_images)
        log_event(
            Event.LEARNED_STATE_LOADED,
            shard=shard,
            pairs=len(aged.pair_by_images),
            keys=len(aged.runs_by_key),
            age_ms=int(now_ms - stored.saved_ms),
            bytes=len(text),
        )
        return problems

    def _forget_before(self, saved_ms: float) -> None:
        """Forget what a successor that wrote at this time has gone on from."""
        if self._dropped_ms is not None and saved_ms > self._dropped_ms:
            self._pairs.forget()
            self.run_times.clear()
        self._dropped_ms = None


class _ShardSync:
    """The summary in the row of one shard, under one epoch."""

    def __init__(
        self, state: LearnedState, clock: Clock, owned: LearningShard
    ) -> None:
        self._state = state
        self._clock = clock
        self._owned = owned
        self._row = owned.stored_summary
        self._saved = Summary()
        self._is_read = False
        self._is_busy = False
        self._next_call_ms = clock.now()
        self._next_log_ms = clock.now()

    def tick(self) -> None:
        """Read or write if it is time to."""
        is_waiting = self._clock.now() < self._next_call_ms
        if is_waiting or self._is_busy or self._owned.is_dropped:
            return
        if self._is_read:
            self._write_if_changed()
        else:
            self.read()

    def read(self) -> None:
        """Read the row; a later tick retries."""
        self._is_busy = True
        reading = self._row.read()
        reading.addCallbacks(self._on_read, self._on_read_failed)
        reading.addBoth(self._finish_call)

    def _on_read(self, row: Row | None) -> None:
        self._is_read = True
        if row is None or self._owned.is_dropped:
            return
        try:
            problems = self._state.load(row.text, self._owned.shard)
        except SummaryError as error:
            problems = [str(error)]
        if problems:
            log_event(
                Event.LEARNED_STATE_IGNORED,
                shard=self._owned.shard,
                problems=len(problems),
                detail=problems[0][:_MAX_DETAIL_CHARS],
            )

    def _on_read_failed(self, failure: TwistedFailure) -> None:
        failure.trap(StoreRefused, StoreUncertain)
        self._next_call_ms = self._clock.now() + _READ_RETRY_MS

    def _write_if_changed(self) -> None:
        started_at_ms = self._clock.now()
        summary = self._state.summary()
        text = ''
        if summary.has_changed_since(self._saved):
            text = self._state.encode(summary)
            self._write(text, summary)
        took_ms = self._clock.now() - started_at_ms
        self._next_call_ms = started_at_ms + max(
            self._state.save_interval_ms,
            len(text) / _MAX_BYTES_PER_MS,
            _ENCODING_BACKOFF_FACTOR * took_ms,
        )

    def _write(self, text: str, summary: Summary) -> None:
        self._is_busy = True
        writing = self._row.write(text)
        writing.addCallbacks(
            self._on_written,
            _ignore_store_failure,
            callbackArgs=(text, summary),
        )
        writing.addBoth(self._finish_call)

    def _on_written(
        self, outcome: Committed | Conflict, text: str, summary: Summary
    ) -> None:
        if isinstance(outcome, Conflict):
            if not self._owned.is_dropped:
                self._owned.on_ownership_lost()
            return
        self._saved = summary
        self._state.pair_count = len(summary.pair_by_images)
        if self._clock.now() >= self._next_log_ms:
            self._next_log_ms = self._clock.now() + _MIN_LOG_INTERVAL_MS
            log_event(
                Event.LEARNED_STATE_SAVED,
                shard=self._owned.shard,
                pairs=len(summary.pair_by_images),
                keys=len(summary.runs_by_key),
                bytes=len(text),
            )

    def _finish_call(self, _done: Any) -> None:
        self._is_busy = False


def _ignore_store_failure(failure: TwistedFailure) -> None:
    """Ignore a failed write; the next one carries everything."""
    failure.trap(StoreRefused, StoreUncertain)


def _ignore_speeds(_speed_by_boot: Mapping[str, float]) -> None:
    """Ignore the speeds of workers where nothing uses them."""
