"""What an agent remembers of the calls that it has seen.

Guard: a request id that is forgotten could run twice when a late copy comes,
and an entry that asks could be told "never seen" of a call that ran. Both
would follow from bounded memory alone. Answers are kept up to a number of
bytes; their ids are kept far longer; and when ids are dropped as well, the
heartbeat up to which ids were dropped is kept. A request names the last
heartbeat that its entry had heard when it was sent, and it cannot have arrived
before that one, so "never seen" is certain for each later one. Of older ones
the agent says "unknown".
"""

from collections import OrderedDict
from dataclasses import dataclass, field

from hyssopring.protocol.messages import CallResponse

__all__ = ('MemoryLimits', 'OutcomeMemory')

_NOTHING_DROPPED = -1


@dataclass(frozen=True, slots=True)
class MemoryLimits:
    """Bounds of the memory.

    Attributes:
        answers: Whole answers kept.
        answer_bytes: Bytes of their bodies and headers.
        ids: Ids in each of two generations; the older one is dropped whole.
    """

    answers: int = 20_000
    answer_bytes: int = 16 * 1024 * 1024
    ids: int = 100_000


@dataclass(slots=True)
class _Generation:
    ids: set[str] = field(default_factory=set)
    last_sequence: int = _NOTHING_DROPPED


class OutcomeMemory:
    """Answers by request id, and the ids of calls whose answer is dropped."""

    def __init__(self, limits: MemoryLimits = MemoryLimits()) -> None:
        """Start empty: an agent keeps nothing over a restart."""
        self._limits = limits
        self._answer_by_id: OrderedDict[str, CallResponse] = OrderedDict()
        self._answer_bytes = 0
        self._young = _Generation()
        self._old = _Generation()
        self._horizon = _NOTHING_DROPPED

    def answer(self, request_id: str) -> CallResponse | None:
        """Return the kept answer of a call."""
        return self._answer_by_id.get(request_id)

    def may_know(self, request_id: str, after: int) -> bool:
        """Whether a call that arrived after this heartbeat may be known.

        False is certain: the call was never seen.
        """
        return (
            after <= self._horizon
            or request_id in self._young.ids
            or request_id in self._old.ids
        )

    def keep(self, response: CallResponse, sequence: int) -> None:
        """Remember what became of a call, as of this heartbeat."""
        request_id = response.request_id
        self._young.ids.add(request_id)
        self._young.last_sequence = sequence
        self._answer_by_id[request_id] = response
        self._answer_bytes += _size(response)
        self._drop_answers()
        if len(self._young.ids) > self._limits.ids:
            self._horizon = self._old.last_sequence
            self._old = self._young
            self._young = _Generation()

    def _drop_answers(self) -> None:
        while (
            len(self._answer_by_id) > self._limits.answers
            or self._answer_bytes > self._limits.answer_bytes
        ):
            _, dropped = self._answer_by_id.popitem(last=False)
            self._answer_bytes -= _size(dropped)


def _size(response: CallResponse) -> int:
    headers = sum(
        len(header.name) + len(header.text) for header in response.headers
    )
    return len(response.body) + headers
