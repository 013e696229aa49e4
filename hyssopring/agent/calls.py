"""Runs callers' requests on this VM's backend servers, each at most once.

Every request id that was ever seen is remembered: as queued, running,
answered (with the answer) or refused. A second copy never runs again, and a
request that an entry asked about before it came is refused when it comes, so
"not run" stays true.
"""

import heapq
import itertools
from collections import OrderedDict
from dataclasses import dataclass, field, replace
from typing import Callable, Protocol

from hyssopring.agent.backends import AnnouncedBackend, Backends
from hyssopring.clock import Clock
from hyssopring.errors import ErrorKind, Failure
from hyssopring.invariants import Invariants
from hyssopring.metrics import Metrics
from hyssopring.outcomes import CallOutcome
from hyssopring.protocol.messages import CallRequest, CallResponse, Message

__all__ = ('BackendCaller', 'CallExecutor', 'EntryLinks')

_MAX_QUEUE = 64
_MAX_KEPT = 20_000
_MAX_KEPT_BYTES = 16 * 1024 * 1024
_RETRY_AFTER_MS = 250

AnswerCallback = Callable[[CallResponse], None]


class BackendCaller(Protocol):
    """Sends one request to a backend server."""

    def call(
        self,
        address: str,
        request: CallRequest,
        timeout_ms: float,
        done: AnswerCallback,
    ) -> None:
        """Call ``done`` once, with what became of the request."""


class EntryLinks(Protocol):
    """Sends messages to connected entries."""

    def send(self, entry_id: str, message: Message) -> bool:
        """Write a message; False if the entry is not connected."""


@dataclass(slots=True)
class _RunningCall:
    request: CallRequest
    deadline: float
    entries: list[str] = field(default_factory=list)
    backend: AnnouncedBackend | None = None


class CallExecutor:
    """Admits, queues, runs and remembers calls."""

    def __init__(
        self,
        clock: Clock,
        backends: Backends,
        links: EntryLinks,
        caller: BackendCaller,
        metrics: Metrics,
    ) -> None:
        """Take the collaborators."""
        self._clock = clock
        self._backends = backends
        self._links = links
        self._caller = caller
        self._metrics = metrics
        self._invariants = Invariants(metrics)
        self._running_by_id: dict[str, _RunningCall] = {}
        self._queue: list[tuple[int, int, str]] = []
        self._arrivals = itertools.count()
        self._kept_by_id: OrderedDict[str, CallResponse] = OrderedDict()
        self._kept_bytes = 0
        self._has_forgotten = False
        self._is_stopping = False

    @property
    def unfinished(self) -> int:
        """Calls that are queued or running."""
        return len(self._running_by_id)

    def stop(self) -> None:
        """Refuse new calls; queued and running ones finish."""
        self._is_stopping = True

    def on_call(self, entry_id: str, request: CallRequest) -> None:
        """Run a request unless this id was seen before."""
        if self._answer_known(entry_id, request.request_id):
            return
        failure = self._admission_failure(request)
        if failure is not None:
            self._refuse(entry_id, request.request_id, failure)
            return
        deadline = self._clock.now() + request.budget_ms
        call = _RunningCall(request, deadline, [entry_id])
        self._running_by_id[request.request_id] = call
        backend = self._backends.free_backend(request.service_name)
        if backend is None:
            self._enqueue(call)
            return
        self._run(call, backend)

    def on_query(self, entry_id: str, request_id: str) -> None:
        """Say what became of a request; one never seen is refused for good."""
        if self._answer_known(entry_id, request_id):
            return
        if self._has_forgotten:
            # Its answer may be one of those dropped to bound the memory.
            self._links.send(
                entry_id,
                CallResponse(
                    request_id,
                    CallOutcome.UNKNOWN.value,
                    error=ErrorKind.OUTCOME_UNKNOWN.value,
                    detail='the agent no longer remembers',
                ),
            )
            return
        failure = Failure(ErrorKind.NO_BACKEND, 'the request never arrived')
        self._refuse(entry_id, request_id, failure)

    def on_cancel(self, request_id: str) -> None:
        """Drop a queued call; a running one finishes and is remembered."""
        call = self._running_by_id.get(request_id)
        if call is None or call.backend is not None:
            return
        self._finish(
            call,
            _not_run(request_id, Failure(ErrorKind.DEADLINE, 'cancelled')),
        )

    def tick(self) -> None:
        """Refuse queued calls whose time is up, and fill free slots."""
        now = self._clock.now()
        for call in list(self._running_by_id.values()):
            if call.backend is None and call.deadline <= now:
                failure = Failure(ErrorKind.DEADLINE, 'expired in the queue')
                self._finish(call, _not_run(call.request.request_id, failure))
        self._fill_slots()

    def _answer_known(self, entry_id: str, request_id: str) -> bool:
        call = self._running_by_id.get(request_id)
        if call is not None:
            if entry_id not in call.entries:
                call.entries.append(entry_id)
            return True
        kept = self._kept_by_id.get(request_id)
        if kept is None:
            return False
        self._links.send(entry_id, kept)
        return True

    def _admission_failure(self, request: CallRequest) -> Failure | None:
        if self._is_stopping:
            return Failure(ErrorKind.STOPPING, 'agent is stopping')
        if not self._backends.has_service(request.service_name):
            return Failure(ErrorKind.NO_BACKEND, request.service_name)
        if len(self._queue) >= _MAX_QUEUE:
            return Failure(
                ErrorKind.OVERLOADED,
                'the queue is full',
                _RETRY_AFTER_MS,
            )
        return None

    def _refuse(
        self,
        entry_id: str,
        request_id: str,
        failure: Failure,
    ) -> None:
        response = _not_run(request_id, failure)
        self._keep(response)
        self._links.send(entry_id, response)

    def _enqueue(self, call: _RunningCall) -> None:
        heapq.heappush(
            self._queue,
            (
                -call.request.urgency,
                next(self._arrivals),
                call.request.request_id,
            ),
        )
        self._backends.queued(call.request.service_name, 1)

    def _fill_slots(self) -> None:
        waiting: list[tuple[int, int, str]] = []
        while self._queue:
            ticket = heapq.heappop(self._queue)
            call = self._running_by_id.get(ticket[2])
            if call is None or call.backend is not None:
                continue
            backend = self._backends.free_backend(call.request.service_name)
            if backend is None:
                waiting.append(ticket)
                continue
            self._backends.queued(call.request.service_name, -1)
            self._run(call, backend)
        for ticket in waiting:
            heapq.heappush(self._queue, ticket)

    def _run(self, call: _RunningCall, backend: AnnouncedBackend) -> None:
        request = call.request
        fresh = self._invariants.check(
            request.request_id not in self._kept_by_id and call.backend is None,
            'a request runs at most once',
            request.request_id,
        )
        if not fresh:
            return
        call.backend = backend
        started = self._clock.now()
        self._backends.started(backend)
        self._caller.call(
            backend.address,
            request,
            max(call.deadline - started, 1),
            lambda response: self._answered(call, backend, started, response),
        )

    def _answered(
        self,
        call: _RunningCall,
        backend: AnnouncedBackend,
        started: float,
        response: CallResponse,
    ) -> None:
        self._backends.finished(backend, self._clock.now() - started)
        if response.outcome == CallOutcome.NOT_RUN.value:
            self._metrics.count('backend_refused_total')
        self._finish(call, response)
        self._fill_slots()

    def _finish(self, call: _RunningCall, response: CallResponse) -> None:
        request = call.request
        if call.backend is None:
            self._backends.queued(request.service_name, -1)
        self._running_by_id.pop(request.request_id, None)
        self._keep(response)
        load = self._backends.load(request.service_name)
        reply = replace(response, in_flight=load.in_flight, queued=load.queued)
        for entry_id in call.entries:
            self._links.send(entry_id, reply)

    def _keep(self, response: CallResponse) -> None:
        self._kept_by_id[response.request_id] = response
        self._kept_bytes += len(response.body)
        while (
            len(self._kept_by_id) > _MAX_KEPT
            or self._kept_bytes > _MAX_KEPT_BYTES
        ):
            _, dropped = self._kept_by_id.popitem(last=False)
            self._kept_bytes -= len(dropped.body)
            self._has_forgotten = True


def _not_run(request_id: str, failure: Failure) -> CallResponse:
    return CallResponse(
        request_id,
        CallOutcome.NOT_RUN.value,
        error=failure.kind.value,
        detail=failure.detail,
        retry_after_ms=failure.answer.retry_after_ms or 0,
    )
