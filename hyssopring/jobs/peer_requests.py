"""Requests to other entries about the shards that they own."""

from typing import Any, Callable, Final, Protocol

from twisted.internet.defer import Deferred, succeed
from twisted.python.failure import Failure as TwistedFailure

from hyssopring.jobs.messages import JobsMessage

__all__ = ('PeerRequests', 'PeerTransport')

# Round trips between entries take about a millisecond. After this timeout the
# store is read instead.
_TIMEOUT_S: Final = 0.4


class PeerTransport(Protocol):
    """Sends messages to other entries and to agents."""

    def send_to_entry(self, entry_id: str, message: JobsMessage) -> bool:
        """Send a message to another entry; return False if not connected."""

    def send_response(self, peer_id: str, message: JobsMessage) -> bool:
        """Send a message on a connection that a peer has opened."""


class PeerRequests:
    """Numbers requests and matches responses to them."""

    def __init__(self, reactor: Any, peers: PeerTransport) -> None:
        """Send requests by ``peers``."""
        self._reactor = reactor
        self._peers = peers
        self._number = 0
        self._response_by_number: dict[int, Deferred] = {}

    def ask(
        self,
        entry_id: str,
        make_request: Callable[[int], JobsMessage],
        timeout_s: float = _TIMEOUT_S,
    ) -> Deferred:
        """Send a request to another entry.

        Args:
            entry_id: The other entry, empty if there is none.
            make_request: Returns the message of the given request number.

        Returns:
            A deferred of the answer; None if the entry is not connected or
            does not answer in time.
        """
        self._number += 1
        number = self._number
        if not entry_id or not self._peers.send_to_entry(
            entry_id, make_request(number)
        ):
            return succeed(None)
        response: Deferred = Deferred()
        self._response_by_number[number] = response
        response.addTimeout(timeout_s, self._reactor)
        response.addErrback(self._forget_request, number)
        return response

    def handle_response(self, number: int, answer: Any) -> None:
        """Pass an answer to its request; drop it after the timeout."""
        response = self._response_by_number.pop(number, None)
        if response is not None:
            response.callback(answer)

    def _forget_request(self, _failure: TwistedFailure, number: int) -> None:
        self._response_by_number.pop(number, None)
