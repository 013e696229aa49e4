"""Calls that wait for a slot of a backend server, most urgent first."""

import bisect
import itertools
from typing import Iterator

from hyssopring.agent.backends import AnnouncedBackend, Backends
from hyssopring.protocol.messages import CallRequest

__all__ = ('CallQueue',)


class CallQueue:
    """Waiting calls of all services on this VM.

    A call that is withdrawn leaves at once: if it stayed until its turn came,
    a wave of cancellations would fill the queue with calls that are gone.
    """

    def __init__(self, backends: Backends) -> None:
        """Take slots from ``backends`` and count what waits there."""
        self._backends = backends
        self._arrivals = itertools.count()
        # Sorted: least (most urgent, then earliest) first.
        self._tickets: list[tuple[int, int, str]] = []
        self._request_by_id: dict[str, CallRequest] = {}

    def __len__(self) -> int:
        """Return how many calls wait."""
        return len(self._request_by_id)

    @property
    def request_ids(self) -> tuple[str, ...]:
        """The calls that wait, in their order."""
        return tuple(ticket[2] for ticket in self._tickets)

    def push(self, request: CallRequest) -> None:
        """Let a call wait."""
        ticket = (-request.urgency, next(self._arrivals), request.request_id)
        bisect.insort(self._tickets, ticket)
        self._request_by_id[request.request_id] = request
        self._backends.queued(request.service_name, 1)

    def discard(self, request_id: str) -> None:
        """Take out a call, if it waits."""
        request = self._request_by_id.pop(request_id, None)
        if request is None:
            return
        self._tickets = [
            ticket for ticket in self._tickets if ticket[2] != request_id
        ]
        self._backends.queued(request.service_name, -1)

    def ready(self) -> Iterator[tuple[str, AnnouncedBackend]]:
        """Take out each call for which a slot is free, with its backend.

        The slot must be taken before the next one is asked for.
        """
        for request_id in self.request_ids:
            request = self._request_by_id.get(request_id)
            if request is None:
                continue
            backend = self._backends.free_backend(request.service_name)
            if backend is not None:
                self.discard(request_id)
                yield request_id, backend
