"""Calls that wait for a slot of a backend server, most urgent first."""

import bisect
from dataclasses import dataclass
from typing import Final, Iterator

from hyssopring.agent.backends import AnnouncedBackend, Backends
from hyssopring.errors import ErrorKind, Failure
from hyssopring.protocol.messages import CallRequest

__all__ = ('CallQueue',)

_MAX_WAITING: Final = 64


@dataclass(frozen=True, order=True, slots=True)
class _Ticket:
    """Sorts the most urgent first, then the earliest deadline."""

    rank: int
    deadline: float
    request_id: str


class CallQueue:
    """One bounded lane of waiting calls for each service on this VM.

    Guards against the flood of one team: it fills its own service's lane,
    and calls of other services are still taken.

    A call that is withdrawn leaves at once: if it stayed until its turn came,
    a wave of cancellations would fill the queue with calls that are gone.
    """

    def __init__(
        self,
        backends: Backends,
        max_waiting: int = _MAX_WAITING,
    ) -> None:
        """Take slots from ``backends`` and count what waits there."""
        self._backends = backends
        self._max_waiting = max_waiting
        self._lane_by_service: dict[str, list[_Ticket]] = {}
        self._service_by_id: dict[str, str] = {}

    def __len__(self) -> int:
        """Return how many calls wait."""
        return len(self._service_by_id)

    @property
    def request_ids(self) -> tuple[str, ...]:
        """The calls that wait, service by service in their order."""
        return tuple(
            ticket.request_id
            for lane in self._lane_by_service.values()
            for ticket in lane
        )

    def failure(self, request: CallRequest) -> Failure | None:
        """Say why a call may not wait, with the time to come back."""
        lane = self._lane_by_service.get(request.service_name, ())
        slot_ms = self._backends.slot_ms(request.service_name)
        wait_ms = (len(lane) + 1) * slot_ms
        if len(lane) >= self._max_waiting:
            detail = f'{len(lane)} calls wait already'
        elif wait_ms >= request.budget_ms:
            detail = f'would wait {wait_ms:.0f} ms of {request.budget_ms:.0f}'
        else:
            return None
        return Failure(ErrorKind.OVERLOADED, detail, max(round(wait_ms), 1))

    def push(self, request: CallRequest, deadline: float) -> None:
        """Let a call wait; nobody waits for it after ``deadline``."""
        ticket = _Ticket(-request.urgency, deadline, request.request_id)
        lane = self._lane_by_service.setdefault(request.service_name, [])
        bisect.insort(lane, ticket)
        self._service_by_id[request.request_id] = request.service_name
        self._backends.queued(request.service_name, 1)

    def discard(self, request_id: str) -> None:
        """Take out a call, if it waits."""
        service_name = self._service_by_id.pop(request_id, None)
        if service_name is None:
            return
        kept = [
            ticket
            for ticket in self._lane_by_service[service_name]
            if ticket.request_id != request_id
        ]
        self._lane_by_service[service_name] = kept
        self._backends.queued(service_name, -1)

    def ready(self) -> Iterator[tuple[str, AnnouncedBackend]]:
        """Take out each call for which a slot is free, with its backend.

        The slot must be taken before the next one is asked for.
        """
        for service_name, lane in tuple(self._lane_by_service.items()):
            if not lane:
                self._lane_by_service.pop(service_name)
            for ticket in tuple(lane):
                backend = self._backends.free_backend(service_name)
                if backend is None:
                    break
                self.discard(ticket.request_id)
                yield ticket.request_id, backend
