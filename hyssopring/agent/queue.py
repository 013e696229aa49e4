"""Queue of the calls that wait for a slot of a backend server."""

import bisect
from dataclasses import dataclass
from typing import Final, Iterator

from hyssopring.agent.backends import AnnouncedBackend, Backends
from hyssopring.errors import ErrorKind, Failure
from hyssopring.protocol.messages import CallRequest

__all__ = ('CallQueue',)

# Calls of one service on one VM.
_MAX_WAITING: Final = 64


@dataclass(frozen=True, order=True, slots=True)
class _QueuedCall:
    """A call in the queue, ordered by urgency, then by deadline."""

    rank: int
    deadline: float
    request_id: str


class CallQueue:
    """Bounded priority queues of waiting calls, one per service on this VM.

    A flood of calls from one team fills only the queues of its own services;
    calls of other services are still accepted.

    A cancelled call is removed at once. If it stayed until it reached the
    front, a wave of cancellations would fill the queue with dead calls.
    """

    def __init__(
        self,
        backends: Backends,
        max_waiting: int = _MAX_WAITING,
    ) -> None:
        """Find slots in ``backends`` and count queued calls there."""
        self._backends = backends
        self._max_waiting = max_waiting
        self._calls_by_service: dict[str, list[_QueuedCall]] = {}
        self._service_by_id: dict[str, str] = {}

    def __len__(self) -> int:
        """Return the number of queued calls."""
        return len(self._service_by_id)

    @property
    def request_ids(self) -> tuple[str, ...]:
        """The ids of queued calls, service by service in queue order."""
        return tuple(
            queued.request_id
            for waiting in self._calls_by_service.values()
            for queued in waiting
        )

    def failure(self, request: CallRequest) -> Failure | None:
        """Return why a call may not be queued, None if it may.

        The failure contains the time in ms after which to retry.
        """
        waiting = self._calls_by_service.get(request.service_name, ())
        slot_wait_ms = self._backends.mean_slot_wait_ms(request.service_name)
        wait_ms = (len(waiting) + 1) * slot_wait_ms
        if len(waiting) >= self._max_waiting:
            detail = f'{len(waiting)} calls wait already'
        elif wait_ms >= request.budget_ms:
            detail = f'would wait {wait_ms:.0f} ms of {request.budget_ms:.0f}'
        else:
            return None
        return Failure(ErrorKind.OVERLOADED, detail, max(round(wait_ms), 1))

    def push(self, request: CallRequest, deadline: float) -> None:
        """Queue a call; its caller waits until ``deadline``."""
        queued = _QueuedCall(-request.urgency, deadline, request.request_id)
        waiting = self._calls_by_service.setdefault(request.service_name, [])
        bisect.insort(waiting, queued)
        self._service_by_id[request.request_id] = request.service_name
        self._backends.change_queued(request.service_name, 1)

    def discard(self, request_id: str) -> None:
        """Remove a call, if it is queued."""
        service_name = self._service_by_id.pop(request_id, None)
        if service_name is None:
            return
        kept = [
            queued
            for queued in self._calls_by_service[service_name]
            if queued.request_id != request_id
        ]
        self._calls_by_service[service_name] = kept
        self._backends.change_queued(service_name, -1)

    def take_ready(self) -> Iterator[tuple[str, AnnouncedBackend]]:
        """Remove each call for which a slot is free, and yield its backend.

        The slot must be occupied before the iterator is advanced.
        """
        for service_name, waiting in tuple(self._calls_by_service.items()):
            if not waiting:
                self._calls_by_service.pop(service_name)
            for queued in tuple(waiting):
                backend = self._backends.free_backend(service_name)
                if backend is None:
                    break
                self.discard(queued.request_id)
                yield queued.request_id, backend
