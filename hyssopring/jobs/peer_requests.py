"""Questions to other entries about the shards that they own."""

from typing import Any, Callable, Final, Protocol

from twisted.internet.defer import Deferred, succeed
from twisted.python.failure import Failure as TwistedFailure

from hyssopring.jobs.messages import JobsMessage

__all__ = ('PeerTransport', 'PeerRequests')

# Entries are a millisecond apart; after this time, which is assumed, the store
# is read instead.
_ASK_S: Final = 0.4


class PeerTransport(Protocol):
    """Sends messages to other entries and to agents."""

    def to_entry(self, entry_id: str, message: JobsMessage) -> bool:
        """Write a message on this entry's connection to another one."""

    def answer(self, peer_id: str, message: JobsMessage) -> bool:
        """Write a message on a connection that a peer has opened."""


class PeerRequests:
    """Numbers questions and finds the answers' askers."""

    def __init__(self, reactor: Any, peers: PeerTransport) -> None:
        """Ask by ``peers``."""
        self._reactor = reactor
        self._peers = peers
        self._number = 0
        self._asked_by_number: dict[int, Deferred] = {}

    def ask(
        self,
        entry_id: str,
        question: Callable[[int], JobsMessage],
        timeout_s: float = _ASK_S,
    ) -> Deferred:
        """Ask another entry; None if no answer comes in time."""
        self._number += 1
        number = self._number
        if not entry_id or not self._peers.to_entry(entry_id, question(number)):
            return succeed(None)
        asked: Deferred = Deferred()
        self._asked_by_number[number] = asked
        asked.addTimeout(timeout_s, self._reactor)
        asked.addErrback(self._unanswered, number)
        return asked

    def answered(self, number: int, answer: Any) -> None:
        """An answer came; one that is not waited for any more is dropped."""
        asked = self._asked_by_number.pop(number, None)
        if asked is not None:
            asked.callback(answer)

    def _unanswered(self, _failure: TwistedFailure, number: int) -> None:
        self._asked_by_number.pop(number, None)
