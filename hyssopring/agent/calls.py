"""Execution of callers' requests on this VM's backend servers, at most once.

Every request id is remembered (see ``memory``), so a copy of a request never
runs. If an entry queries a request that has not arrived, the response is "not
run" and the request is refused when it arrives, so that the response stays
true.
"""

from dataclasses import dataclass, field, replace
from typing import Callable, Protocol

from hyssopring.agent.backends import AnnouncedBackend, Backends
from hyssopring.agent.memory import OutcomeMemory
from hyssopring.agent.queue import CallQueue
from hyssopring.clock import Clock
from hyssopring.errors import ErrorKind, Failure
from hyssopring.invariants import Invariants
from hyssopring.logs import Event, log_event
from hyssopring.metrics import Metrics
from hyssopring.outcomes import CallOutcome
from hyssopring.protocol.messages import (
    CallRequest,
    CallResponse,
    Message,
    OutcomeQuery,
)

__all__ = ('BackendCaller', 'CallExecutor', 'EntryLinks')

# A non-idempotent call may run beyond its caller's deadline: it occupies the
# slot while the backend server works, and its outcome may be queried later.
_NON_IDEMPOTENT_GRACE_MS = 30_000.0

ResponseCallback = Callable[[CallResponse], None]


class BackendCaller(Protocol):
    """Sends one request to a backend server."""

    def call(
        self,
        address: str,
        request: CallRequest,
        timeout_ms: float,
        done: ResponseCallback,
    ) -> None:
        """Send the request and call ``done`` once, with the response."""


class EntryLinks(Protocol):
    """Sends messages to connected entries."""

    def send(self, entry_id: str, message: Message) -> bool:
        """Send a message; return False if the entry is not connected."""


@dataclass(slots=True)
class _OpenCall:
    """A queued or running call.

    Attributes:
        deadline: When the caller stops waiting, in ms of the VM's clock.
        entries: The entries that receive the response.
        backend: The backend server that runs it, None while it is queued.
    """

    request: CallRequest
    deadline: float
    entries: list[str] = field(default_factory=list)
    backend: AnnouncedBackend | None = None


class CallExecutor:
    """Admits, queues, runs and remembers calls.

    Attributes:
        last_heartbeat: Sequence number of the agent's latest heartbeat.
    """

    def __init__(
        self,
        clock: Clock,
        backends: Backends,
        links: EntryLinks,
        caller: BackendCaller,
        metrics: Metrics,
        memory: OutcomeMemory | None = None,
    ) -> None:
        """Connect the ports to entries and backend servers.

        Args:
            clock: The VM's clock, in milliseconds.
            backends: The backend servers on this VM.
            links: Sends messages to entries.
            caller: Sends requests to backend servers.
            metrics: Counters of the process.
            memory: The outcomes of past calls; empty by default.
        """
        self._clock = clock
        self._backends = backends
        self._links = links
        self._caller = caller
        self._metrics = metrics
        self._invariants = Invariants(metrics)
        self._memory = memory or OutcomeMemory()
        self._open_by_id: dict[str, _OpenCall] = {}
        self._queue = CallQueue(backends)
        self._is_stopping = False
        # Set by the core with each heartbeat.
        self.last_heartbeat = 0

    @property
    def unfinished(self) -> int:
        """The number of calls that are queued or running."""
        return len(self._open_by_id)

    def is_awaited_by(self, entry_id: str) -> bool:
        """Whether an entry waits for the response of an open call."""
        return any(
            entry_id in call.entries for call in self._open_by_id.values()
        )

    def stop(self) -> None:
        """Refuse new calls; open calls finish."""
        self._is_stopping = True

    def on_call(self, entry_id: str, request: CallRequest) -> None:
        """Run or queue a request unless its id was seen before."""
        if self._resolve_known(entry_id, request.request_id, request.after):
            log_event(
                Event.REQUEST_DUPLICATE_REFUSED,
                request=request.request_id,
                entry=entry_id,
            )
            return
        failure = self._admission_failure(request)
        if failure is not None:
            self._refuse(
                entry_id,
                request.request_id,
                failure,
                request.service_name,
            )
            return
        deadline = self._clock.now() + request.budget_ms
        call = _OpenCall(request, deadline, [entry_id])
        self._open_by_id[request.request_id] = call
        backend = self._backends.free_backend(request.service_name)
        if backend is None:
            self._queue.push(request, deadline)
            return
        self._start_call(call, backend)

    def on_query(self, entry_id: str, query: OutcomeQuery) -> None:
        """Send the outcome of a request.

        A request that was never seen is refused when it arrives later, unless
        the query is a ``peek``.
        """
        if query.peek:
            self._links.send(entry_id, self._current_outcome(query))
            return
        if self._resolve_known(entry_id, query.request_id, query.after):
            return
        failure = Failure(ErrorKind.NO_BACKEND, 'the request never arrived')
        self._refuse(entry_id, query.request_id, failure)

    def on_cancel(self, request_id: str) -> None:
        """Remove a queued call; a running one finishes and is remembered."""
        call = self._open_by_id.get(request_id)
        if call is None or call.backend is not None:
            return
        self._reject_queued(call, Failure(ErrorKind.DEADLINE, 'cancelled'))

    def tick(self) -> None:
        """Refuse queued calls that can no longer run, then fill free slots."""
        now_ms = self._clock.now()
        for request_id in self._queue.request_ids:
            call = self._open_by_id[request_id]
            service_name = call.request.service_name
            if call.deadline <= now_ms:
                failure = Failure(ErrorKind.DEADLINE, 'expired in the queue')
                self._reject_queued(call, failure)
            elif not self._backends.has_service(service_name):
                # The entry sends the call to another VM.
                failure = Failure(ErrorKind.NO_BACKEND, 'the backend left')
                self._reject_queued(call, failure)
        self._fill_slots()

    def _current_outcome(self, query: OutcomeQuery) -> CallResponse:
        request_id = query.request_id
        if request_id in self._open_by_id:
            return CallResponse(request_id, CallOutcome.RUNNING.value)
        remembered = self._memory.response_to(request_id)
        return remembered or CallResponse(request_id, CallOutcome.UNSEEN.value)

    def _resolve_known(
        self,
        entry_id: str,
        request_id: str,
        after: int,
    ) -> bool:
        """Send the outcome of a known request; False if it is unknown.

        An entry that asks about an open call receives its response later.
        """
        call = self._open_by_id.get(request_id)
        if call is not None:
            if entry_id not in call.entries:
                call.entries.append(entry_id)
            return True
        remembered = self._memory.response_to(request_id)
        if remembered is None and self._memory.may_have_seen(request_id, after):
            remembered = _unknown(request_id, 'the answer is no longer kept')
        if remembered is None:
            return False
        self._links.send(entry_id, remembered)
        return True

    def _admission_failure(self, request: CallRequest) -> Failure | None:
        if self._is_stopping:
            return Failure(ErrorKind.STOPPING, 'agent is stopping')
        if request.budget_ms <= 0:
            return Failure(ErrorKind.DEADLINE, 'no time is left')
        if not self._backends.has_service(request.service_name):
            return Failure(ErrorKind.NO_BACKEND, request.service_name)
        if self._backends.free_backend(request.service_name) is not None:
            return None
        return self._queue.failure(request)

    def _refuse(
        self,
        entry_id: str,
        request_id: str,
        failure: Failure,
        service_name: str = '',
    ) -> None:
        is_certain = self._invariants.check(
            request_id not in self._open_by_id
            and self._memory.response_to(request_id) is None,
            '"not run" is said only of a request that did not run',
            request_id,
        )
        if not is_certain:
            return
        response = _not_run(request_id, failure)
        self._memory.add(response, self.last_heartbeat)
        load = self._backends.load(service_name)
        self._links.send(
            entry_id,
            replace(response, in_flight=load.in_flight, queued=load.queued),
        )

    def _reject_queued(self, call: _OpenCall, failure: Failure) -> None:
        """End a queued call without running it."""
        request_id = call.request.request_id
        is_certain = self._invariants.check(
            call.backend is None,
            '"not run" is said only of a request that did not run',
            request_id,
        )
        if is_certain:
            self._queue.discard(request_id)
            self._finish(call, _not_run(request_id, failure))

    def _fill_slots(self) -> None:
        for request_id, backend in self._queue.take_ready():
            self._start_call(self._open_by_id[request_id], backend)

    def _start_call(self, call: _OpenCall, backend: AnnouncedBackend) -> None:
        request = call.request
        is_first = self._invariants.check(
            self._memory.response_to(request.request_id) is None
            and call.backend is None,
            'a request runs at most once',
            request.request_id,
        )
        if not is_first:
            return
        call.backend = backend
        started_at = self._clock.now()
        self._backends.on_call_started(backend)
        remaining_ms = max(call.deadline - started_at, 1)
        self._caller.call(
            backend.address,
            request,
            remaining_ms
            if request.idempotent
            else remaining_ms + _NON_IDEMPOTENT_GRACE_MS,
            lambda response: self._on_response(
                call, backend, started_at, response
            ),
        )

    def _on_response(
        self,
        call: _OpenCall,
        backend: AnnouncedBackend,
        started_at: float,
        response: CallResponse,
    ) -> None:
        request_id = call.request.request_id
        is_own = self._invariants.check(
            response.request_id == request_id
            and self._open_by_id.get(request_id) is call,
            'one outcome per call, under its own id',
            request_id,
        )
        if not is_own:
            return
        self._backends.on_call_finished(backend, self._clock.now() - started_at)
        if response.outcome == CallOutcome.NOT_RUN.value:
            self._metrics.count('backend_refused_total')
        self._finish(call, response)
        self._fill_slots()

    def _finish(self, call: _OpenCall, response: CallResponse) -> None:
        request = call.request
        self._open_by_id.pop(request.request_id)
        self._memory.add(response, self.last_heartbeat)
        load = self._backends.load(request.service_name)
        reply = replace(response, in_flight=load.in_flight, queued=load.queued)
        for entry_id in call.entries:
            self._links.send(entry_id, reply)


def _not_run(request_id: str, failure: Failure) -> CallResponse:
    return CallResponse(
        request_id,
        CallOutcome.NOT_RUN.value,
        error=failure.kind.value,
        detail=failure.detail,
        retry_after_ms=failure.answer.retry_after_ms or 0,
    )


def _unknown(request_id: str, detail: str) -> CallResponse:
    return CallResponse(
        request_id,
        CallOutcome.UNKNOWN.value,
        error=ErrorKind.OUTCOME_UNKNOWN.value,
        detail=detail,
    )
