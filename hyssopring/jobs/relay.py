"""Store calls through a peer, for an entry that the store turns away.

The store may refuse or ignore single VMs while it serves all others, and does
not tell them so. An owner among them could neither show that it lives nor
record an end: its jobs would wait until another entry has taken its shard,
three seconds and more. A peer makes its calls instead.

A call that was not answered may be sent again this way. Transactions carry
checks, so that a second copy changes nothing or meets its own first one, which
each caller has to expect anyway: answers get lost on the direct way, too.
"""

from dataclasses import replace
from typing import Any, Callable, Final, Protocol

from twisted.internet.defer import Deferred, inlineCallbacks
from twisted.python.failure import Failure as TwistedFailure

from hyssopring.clock import MILLIS_PER_SECOND, Clock
from hyssopring.jobs.messages import JobsMessage
from hyssopring.jobs.peer_requests import PeerTransport, PeerRequests
from hyssopring.jobs.relay_messages import (
    RelayedResponse,
    RelayedChanges,
    RelayedCommit,
    RelayedRead,
)
from hyssopring.jobs.relayed_calls import (
    IN_DOUBT,
    REFUSED,
    answer_of,
    commit_message,
    failed_answer,
    is_in_doubt,
    is_served,
    only_row,
    outcome_of,
    transaction_of,
)
from hyssopring.jobs.row_keys import ENTRIES_TABLE
from hyssopring.jobs.rows import (
    Page,
    RowKey,
    RowStore,
    StoreRefused,
    StoreUncertain,
    Transaction,
)
from hyssopring.logs import Event, log_event

__all__ = ('RelayPeers', 'RelayedStore')

# A peer's own call ends after 1.2 s.
_RELAY_S: Final = 1.5
# How often an entry that is turned away tries the direct way again, and how
# long it leaves its peers alone when none of them is served either.
_PROBE_MS: Final = 1000.0
_REST_MS: Final = 500.0
# A third of the entries may be turned away at once.
_MAX_PEERS: Final = 3
# So many peers may leave a reading in doubt, each for its own time limit.
_MAX_DOUBTS: Final = 2
# A peer that was not served is asked after the others for this long, which is
# longer than the outages seen (up to 9 s).
_DOUBT_MS: Final = 10_000.0
# An entry that was not served itself within this time refuses its peers' calls
# at once: they would wait for its time limit to hear the same.
_FAILED_MS: Final = 1000.0
_NEVER: Final = float('-inf')

Relayed = Callable[[int], JobsMessage]


class RelayPeers(PeerTransport, Protocol):
    """The entries that may be asked to make a call."""

    @property
    def connected_entries(self) -> list[str]:
        """Ids of the entries that this one has a connection to."""


class RelayedStore:
    """A ``RowStore`` that goes through a peer while the direct way fails."""

    def __init__(
        self,
        reactor: Any,
        clock: Clock,
        direct: RowStore,
        peers: RelayPeers,
    ) -> None:
        """Call ``direct`` as long as it answers."""
        self._clock = clock
        self._direct = direct
        self._peers = peers
        self._questions = PeerRequests(reactor, peers)
        self._peer = ''
        self._unserved_at: dict[str, float] = {}
        self._failed_at = _NEVER
        self._is_turned_away = False
        self._probe_at = clock.now()
        self._rests_until = clock.now()

    def commit(self, transaction: Transaction) -> Any:
        """See ``RowStore``."""
        return self._call(
            lambda: self._direct.commit(transaction),
            lambda number: commit_message(number, transaction),
            doubts=1,
        )

    def read(self, table: str, part: str, first: str = '') -> Any:
        """See ``RowStore``."""
        return self._call(
            lambda: self._direct.read(table, part, first),
            lambda number: RelayedRead(number, table, part, first, False),
        )

    def read_one(self, place: RowKey) -> Any:
        """See ``RowStore``."""
        reading = self._call(
            lambda: self._direct.read_one(place),
            lambda number: RelayedRead(
                number,
                place.table,
                place.part,
                place.key,
                True,
            ),
        )
        return reading.addCallback(only_row)

    def changes(self, table: str, after: int, wait_ms: int) -> Any:
        """See ``RowStore``."""
        return self._call(
            lambda: self._direct.changes(table, after, wait_ms),
            lambda number: RelayedChanges(number, table, after, wait_ms),
            wait_ms / MILLIS_PER_SECOND,
        )

    def serve(self, message: JobsMessage, peer_id: str) -> None:
        """Make a peer's call by the direct way, and tell what came of it."""
        assert isinstance(
            message,
            RelayedCommit | RelayedRead | RelayedChanges,
        ), 'only relayed calls are served'
        number = message.number
        if self._clock.now() - self._failed_at < _FAILED_MS:
            self._peers.answer(peer_id, replace(REFUSED, number=number))
            return
        calling: Deferred = self._direct_call(message)
        calling.addCallback(answer_of, number)
        calling.addErrback(failed_answer, number)
        calling.addCallback(
            lambda answer: self._peers.answer(peer_id, answer),
        )

    def answered(self, answer: RelayedResponse) -> None:
        """A peer has made a call."""
        self._questions.answered(answer.number, answer)

    def _direct_call(self, message: JobsMessage) -> Any:
        if isinstance(message, RelayedCommit):
            return self._direct.commit(transaction_of(message))
        if isinstance(message, RelayedChanges):
            return self._direct.changes(
                message.table,
                message.after,
                message.wait_ms,
            )
        assert isinstance(message, RelayedRead), 'three kinds are relayed'
        place = RowKey(message.table, message.part, message.first)
        if message.is_single:
            return self._direct.read_one(place)
        return self._direct.read(message.table, message.part, message.first)

    @inlineCallbacks
    def _call(
        self,
        direct: Callable[[], Any],
        relayed: Relayed,
        wait_s: float = 0,
        doubts: int = _MAX_DOUBTS,
    ) -> Any:
        error: Exception | None = None
        if self._is_turned_away:
            self._probe()
        else:
            try:
                outcome = yield direct()
            except (StoreRefused, StoreUncertain) as failed:
                error = failed
                self._failed_at = self._clock.now()
            else:
                return outcome  # noqa: WPS331 -- a yield is no return value
        answer = yield self._relay(relayed, _RELAY_S + wait_s, doubts)
        if is_served(answer):
            if error is not None:
                self._turned_away(str(error))
            return outcome_of(answer)
        if is_in_doubt(answer):
            # A peer may have made the call: it is not surely refused.
            raise StoreUncertain('a peer may have made the call')
        if error is not None:
            raise error
        self._is_turned_away = False
        outcome = yield direct()
        return outcome  # noqa: WPS331 -- a yield is no return value

    @inlineCallbacks
    def _relay(self, relayed: Relayed, timeout_s: float, doubts: int) -> Any:
        """Ask peers until one is served; a deferred ``RelayedResponse``.

        After so many ``doubts`` no other peer is asked. A reading is asked of
        a second one: an entry whose first peer was not served either asked
        that one alone, again and again, and went on by an old configuration
        for seconds.
        """
        if self._clock.now() < self._rests_until:
            return REFUSED
        for peer_id in self._candidates():
            answer = yield self._ask(peer_id, relayed, timeout_s)
            if is_served(answer):
                return answer
            doubts -= is_in_doubt(answer)
            if not doubts:
                break
        else:
            answer = REFUSED
        self._rests_until = self._clock.now() + _REST_MS
        return answer

    @inlineCallbacks
    def _ask(self, peer_id: str, relayed: Relayed, timeout_s: float) -> Any:
        """Ask one peer, and note whether it is served."""
        answer = yield self._questions.ask(peer_id, relayed, timeout_s)
        if answer is None:
            answer = IN_DOUBT
        if is_served(answer):
            self._peer = peer_id
        if is_in_doubt(answer):
            self._unserved_at[peer_id] = self._clock.now()
        return answer

    def _candidates(self) -> list[str]:
        """The peer that served last comes first, one in doubt late."""
        limit = self._clock.now() - _DOUBT_MS
        ranked = sorted(
            self._peers.connected_entries,
            key=lambda entry_id: (
                self._unserved_at.get(entry_id, limit) > limit,
                entry_id != self._peer,
            ),
        )
        return ranked[:_MAX_PEERS]

    def _turned_away(self, detail: str) -> None:
        if self._is_turned_away:
            return
        self._is_turned_away = True
        self._probe_at = self._clock.now() + _PROBE_MS
        log_event(Event.STORE_RELAYED, peer=self._peer, detail=detail)

    def _probe(self) -> None:
        if self._clock.now() < self._probe_at:
            return
        self._probe_at = self._clock.now() + _PROBE_MS
        probing = self._direct.read(ENTRIES_TABLE, '')
        probing.addCallbacks(self._served_again, self._still_away)

    def _served_again(self, _page: Page) -> None:
        self._is_turned_away = False
        self._failed_at = _NEVER
        log_event(Event.STORE_DIRECT)

    def _still_away(self, failure: TwistedFailure) -> None:
        """The next probe tries again."""
        failure.trap(StoreRefused, StoreUncertain)
        self._failed_at = self._clock.now()
