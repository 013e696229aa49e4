"""Relays store calls through a peer for an entry that the store rejects.

The store may refuse or ignore single VMs while it serves all others, and does
not tell them so. An owner among them could neither renew its row nor record
the end of a task: its jobs would wait until another entry had taken its
shard, which takes three seconds or more. A peer makes its calls instead.

A call without a response may be sent a second time this way. That is safe:
transactions carry checks, so that a second copy has no effect or conflicts
with the first one. Callers have to expect such a conflict anyway, as
responses of direct calls get lost, too.
"""

from dataclasses import replace
from typing import Any, Callable, Final, Protocol

from twisted.internet.defer import Deferred, inlineCallbacks
from twisted.python.failure import Failure as TwistedFailure

from hyssopring.clock import MILLIS_PER_SECOND, Clock
from hyssopring.jobs.messages import JobsMessage
from hyssopring.jobs.peer_requests import PeerRequests, PeerTransport
from hyssopring.jobs.relay_messages import (
    RelayedChanges,
    RelayedCommit,
    RelayedRead,
    RelayedResponse,
)
from hyssopring.jobs.relayed_calls import (
    REFUSED,
    UNCERTAIN,
    commit_request,
    is_store_response,
    is_uncertain,
    outcome_from_response,
    response_for_failure,
    response_for_outcome,
    single_row,
    transaction_from_request,
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

# Longer than the timeout of the peer's own call, 1.2 s.
_RELAY_TIMEOUT_S: Final = 1.5
# How often an entry that relays its calls tries a direct one again.
_PROBE_INTERVAL_MS: Final = 1000.0
# Pause in relaying after no peer got a response from the store either.
_RELAY_PAUSE_MS: Final = 500.0
# The store may reject a third of the entries at the same time.
_MAX_PEERS: Final = 3
# Peers that may leave a read without a result, each for the whole timeout.
_MAX_UNCERTAIN: Final = 2
# A peer whose call had no certain result is tried after the others for this
# long; longer than the outages seen (up to 9 s).
_DEPRIORITIZED_MS: Final = 10_000.0
# After a failed direct call an entry refuses its peers' calls for this long;
# otherwise they would wait for the whole timeout to get the same result.
_REFUSE_PEERS_MS: Final = 1000.0
_NEVER: Final = float('-inf')

RequestBuilder = Callable[[int], JobsMessage]


class RelayPeers(PeerTransport, Protocol):
    """The entries that can relay a call."""

    @property
    def connected_entries(self) -> list[str]:
        """IDs of the entries that this one has a connection to."""

    def release_of(self, entry_id: str) -> int:
        """Return the release in a connected entry's greeting, else 0."""


class RelayedStore:
    """A ``RowStore`` that relays its calls while direct ones fail."""

    def __init__(
        self,
        reactor: Any,
        clock: Clock,
        direct: RowStore,
        peers: RelayPeers,
    ) -> None:
        """Use ``direct`` as long as it responds."""
        self._clock = clock
        self._direct = direct
        self._peers = peers
        self._peer_requests = PeerRequests(reactor, peers)
        self._preferred_peer = ''
        self._uncertain_at_by_peer: dict[str, float] = {}
        self._direct_failed_at = _NEVER
        self._is_relaying = False
        self._probe_at = clock.now()
        self._relay_paused_until = clock.now()

    def commit(self, transaction: Transaction) -> Any:
        """See ``RowStore``."""
        return self._call(
            lambda: self._direct.commit(transaction),
            lambda number: commit_request(number, transaction),
            max_uncertain=1,
        )

    def read(self, table: str, part: str, first: str = '') -> Any:
        """See ``RowStore``."""
        return self._call(
            lambda: self._direct.read(table, part, first),
            lambda number: RelayedRead(number, table, part, first, False),
        )

    def read_one(self, row_key: RowKey) -> Any:
        """See ``RowStore``."""
        reading = self._call(
            lambda: self._direct.read_one(row_key),
            lambda number: RelayedRead(
                number,
                row_key.table,
                row_key.part,
                row_key.key,
                True,
            ),
        )
        return reading.addCallback(single_row)

    def changes(self, table: str, after: int, wait_ms: int) -> Any:
        """See ``RowStore``."""
        return self._call(
            lambda: self._direct.changes(table, after, wait_ms),
            lambda number: RelayedChanges(number, table, after, wait_ms),
            wait_ms / MILLIS_PER_SECOND,
        )

    def serve(self, message: JobsMessage, peer_id: str) -> None:
        """Make a peer's call directly, and send the response to the peer."""
        assert isinstance(
            message,
            RelayedCommit | RelayedRead | RelayedChanges,
        ), 'message must be a relayed call'
        number = message.number
        if self._clock.now() - self._direct_failed_at < _REFUSE_PEERS_MS:
            self._peers.send_response(peer_id, replace(REFUSED, number=number))
            return
        call: Deferred = self._call_direct(message)
        call.addCallback(response_for_outcome, number)
        call.addErrback(response_for_failure, number)
        call.addCallback(
            lambda response: self._peers.send_response(peer_id, response),
        )

    def handle_response(self, response: RelayedResponse) -> None:
        """Handle the response of a peer that has made a call."""
        self._peer_requests.handle_response(response.number, response)

    def _call_direct(self, message: JobsMessage) -> Any:
        if isinstance(message, RelayedCommit):
            return self._direct.commit(transaction_from_request(message))
        if isinstance(message, RelayedChanges):
            return self._direct.changes(
                message.table,
                message.after,
                message.wait_ms,
            )
        assert isinstance(message, RelayedRead), 'unknown relayed call'
        row_key = RowKey(message.table, message.part, message.first)
        if message.is_single:
            return self._direct.read_one(row_key)
        return self._direct.read(message.table, message.part, message.first)

    @inlineCallbacks
    def _call(
        self,
        direct: Callable[[], Any],
        build_request: RequestBuilder,
        wait_s: float = 0,
        max_uncertain: int = _MAX_UNCERTAIN,
    ) -> Any:
        error: Exception | None = None
        if self._is_relaying:
            self._probe()
        else:
            try:
                outcome = yield direct()
            except (StoreRefused, StoreUncertain) as direct_error:
                error = direct_error
                self._direct_failed_at = self._clock.now()
            else:
                return outcome  # noqa: WPS331 -- a yield is no return value
        response = yield self._relay(
            build_request,
            _RELAY_TIMEOUT_S + wait_s,
            max_uncertain,
        )
        if is_store_response(response):
            if error is not None:
                self._start_relaying(str(error))
            return outcome_from_response(response)
        if is_uncertain(response):
            # Not a certain refusal, whatever the direct call returned.
            raise StoreUncertain('a peer may have made the call')
        if error is not None:
            raise error
        self._is_relaying = False
        outcome = yield direct()
        return outcome  # noqa: WPS331 -- a yield is no return value

    @inlineCallbacks
    def _relay(
        self,
        build_request: RequestBuilder,
        timeout_s: float,
        max_uncertain: int,
    ) -> Any:
        """Try peers until the store answers; a deferred ``RelayedResponse``.

        Stops after ``max_uncertain`` peers without a certain result. A read
        is sent to a second peer: otherwise an entry whose first peer got
        no response of the store either would retry that one only, and would
        use an old configuration for seconds.
        """
        if self._clock.now() < self._relay_paused_until:
            return REFUSED
        for peer_id in self._candidates():
            response = yield self._request(peer_id, build_request, timeout_s)
            if is_store_response(response):
                return response
            max_uncertain -= is_uncertain(response)
            if not max_uncertain:
                break
        else:
            response = REFUSED
        self._relay_paused_until = self._clock.now() + _RELAY_PAUSE_MS
        return response

    @inlineCallbacks
    def _request(
        self,
        peer_id: str,
        build_request: RequestBuilder,
        timeout_s: float,
    ) -> Any:
        """Send a request to one peer, and record whether the store answered."""
        response = yield self._peer_requests.ask(
            peer_id, build_request, timeout_s
        )
        if response is None:
            response = UNCERTAIN
        if is_store_response(response):
            self._preferred_peer = peer_id
        if is_uncertain(response):
            self._uncertain_at_by_peer[peer_id] = self._clock.now()
        return response

    def _candidates(self) -> list[str]:
        """Return the peers to try, in order.

        The peer that last got a response from the store comes first; peers
        that recently gave no certain result come last.
        """
        deprioritized_since = self._clock.now() - _DEPRIORITIZED_MS
        ranked = sorted(
            self._peers.connected_entries,
            key=lambda entry_id: (
                self._uncertain_at_by_peer.get(entry_id, deprioritized_since)
                > deprioritized_since,
                entry_id != self._preferred_peer,
            ),
        )
        return ranked[:_MAX_PEERS]

    def _start_relaying(self, detail: str) -> None:
        if self._is_relaying:
            return
        self._is_relaying = True
        self._probe_at = self._clock.now() + _PROBE_INTERVAL_MS
        log_event(Event.STORE_RELAYED, peer=self._preferred_peer, detail=detail)

    def _probe(self) -> None:
        if self._clock.now() < self._probe_at:
            return
        self._probe_at = self._clock.now() + _PROBE_INTERVAL_MS
        probe = self._direct.read(ENTRIES_TABLE, '')
        probe.addCallbacks(self._on_probe_succeeded, self._on_probe_failed)

    def _on_probe_succeeded(self, _page: Page) -> None:
        self._is_relaying = False
        self._direct_failed_at = _NEVER
        log_event(Event.STORE_DIRECT)

    def _on_probe_failed(self, failure: TwistedFailure) -> None:
        """Keep relaying until a later probe succeeds."""
        failure.trap(StoreRefused, StoreUncertain)
        self._direct_failed_at = self._clock.now()
