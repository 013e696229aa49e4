"""Bounded memory of the calls that an agent has received.

If the agent dropped a request id, a late copy could run a second time, and a
query could get the response "never seen" for a call that ran. To prevent both
with bounded memory, responses are kept up to a number of bytes and their ids
far longer. When ids are dropped as well, the agent keeps the sequence number
of the last heartbeat up to which they were dropped. A request contains the
last heartbeat that its entry had received when it was sent, and so it can't
have arrived before that heartbeat: "never seen" is certain for requests after
the kept one. For older ones the response is "unknown".
"""

from collections import OrderedDict
from dataclasses import dataclass, field

from hyssopring.protocol.messages import CallResponse

__all__ = ('MemoryLimits', 'OutcomeMemory')

# Less than each sequence number of a heartbeat.
_NOTHING_DROPPED = -1


@dataclass(frozen=True, slots=True)
class MemoryLimits:
    """Limits of the memory.

    Attributes:
        responses: Number of responses.
        response_bytes: Total bytes of their bodies and headers.
        ids: Ids in each of two generations; the older one is dropped at once.
    """

    responses: int = 20_000
    response_bytes: int = 16 * 1024 * 1024
    ids: int = 100_000


@dataclass(slots=True)
class _Generation:
    """Request ids, and the last heartbeat at which one was added."""

    ids: set[str] = field(default_factory=set)
    last_sequence: int = _NOTHING_DROPPED


class OutcomeMemory:
    """Responses by request id, and ids of calls whose response was dropped."""

    def __init__(self, limits: MemoryLimits = MemoryLimits()) -> None:
        """Start empty: nothing is kept across restarts of the agent."""
        self._limits = limits
        self._response_by_id: OrderedDict[str, CallResponse] = OrderedDict()
        self._response_bytes = 0
        self._young = _Generation()
        self._old = _Generation()
        self._horizon = _NOTHING_DROPPED

    def response_to(self, request_id: str) -> CallResponse | None:
        """Return the stored response of a call, None if there is none."""
        return self._response_by_id.get(request_id)

    def may_have_seen(self, request_id: str, after: int) -> bool:
        """Whether a request may have been received before.

        False is certain.

        Args:
            request_id: The id of the request.
            after: A heartbeat that was sent before the request was.
        """
        return (
            after <= self._horizon
            or request_id in self._young.ids
            or request_id in self._old.ids
        )

    def add(self, response: CallResponse, sequence: int) -> None:
        """Store the response of a call.

        Args:
            response: The response, under the id of its request.
            sequence: The agent's latest heartbeat.
        """
        request_id = response.request_id
        self._young.ids.add(request_id)
        self._young.last_sequence = sequence
        self._response_by_id[request_id] = response
        self._response_bytes += _size(response)
        self._drop_responses()
        if len(self._young.ids) > self._limits.ids:
            self._horizon = self._old.last_sequence
            self._old = self._young
            self._young = _Generation()

    def _drop_responses(self) -> None:
        while (
            len(self._response_by_id) > self._limits.responses
            or self._response_bytes > self._limits.response_bytes
        ):
            _, dropped = self._response_by_id.popitem(last=False)
            self._response_bytes -= _size(dropped)


def _size(response: CallResponse) -> int:
    headers = sum(
        len(header.name) + len(header.text) for header in response.headers
    )
    return len(response.body) + headers
