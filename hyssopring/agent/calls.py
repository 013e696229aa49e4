"""Runs callers' requests on this VM's backend servers, each at most once.

Every request id that was ever seen is remembered (``memory``). A second copy
never runs again, and a request that an entry asked about before it came is
refused when it comes, so "not run" stays true.
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

# A non-idempotent call is waited for beyond its caller's deadline: the slot
# is taken as long as the backend works, and the caller may ask later.
_GRACE_MS = 30_000.0

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
class _OpenCall:
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
        memory: OutcomeMemory | None = None,
    ) -> None:
        """Take the collaborators."""
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
        # The latest heartbeat of this agent; its core keeps it up to date.
        self.sequence = 0

    @property
    def unfinished(self) -> int:
        """Calls that are queued or running."""
        return len(self._open_by_id)

    def serves(self, entry_id: str) -> bool:
        """Whether an entry waits for a call that is queued or running."""
        return any(
            entry_id in call.entries for call in self._open_by_id.values()
        )

    def stop(self) -> None:
        """Refuse new calls; queued and running ones finish."""
        self._is_stopping = True

    def on_call(self, entry_id: str, request: CallRequest) -> None:
        """Run a request unless this id was seen before."""
        if self._answer_known(entry_id, request.request_id, request.after):
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
        self._run(call, backend)

    def on_query(self, entry_id: str, query: OutcomeQuery) -> None:
        """Say what became of a request; one never seen is refused for good."""
        if query.peek:
            self._links.send(entry_id, self._look_up(query))
            return
        if self._answer_known(entry_id, query.request_id, query.after):
            return
        failure = Failure(ErrorKind.NO_BACKEND, 'the request never arrived')
        self._refuse(entry_id, query.request_id, failure)

    def on_cancel(self, request_id: str) -> None:
        """Drop a queued call; a running one finishes and is remembered."""
        call = self._open_by_id.get(request_id)
        if call is None or call.backend is not None:
            return
        self._withdraw(call, Failure(ErrorKind.DEADLINE, 'cancelled'))

    def tick(self) -> None:
        """Refuse queued calls that can no longer run, and fill free slots."""
        now = self._clock.now()
        for request_id in self._queue.request_ids:
            call = self._open_by_id[request_id]
            service_name = call.request.service_name
            if call.deadline <= now:
                failure = Failure(ErrorKind.DEADLINE, 'expired in the queue')
                self._withdraw(call, failure)
            elif not self._backends.has_service(service_name):
                # The backend server is leaving: the entry sends it elsewhere.
                failure = Failure(ErrorKind.NO_BACKEND, 'the backend left')
                self._withdraw(call, failure)
        self._fill_slots()

    def _look_up(self, query: OutcomeQuery) -> CallResponse:
        request_id = query.request_id
        if request_id in self._open_by_id:
            return CallResponse(request_id, CallOutcome.RUNNING.value)
        kept = self._memory.answer(request_id)
        return kept or CallResponse(request_id, CallOutcome.UNSEEN.value)

    def _answer_known(
        self,
        entry_id: str,
        request_id: str,
        after: int,
    ) -> bool:
        call = self._open_by_id.get(request_id)
        if call is not None:
            if entry_id not in call.entries:
                call.entries.append(entry_id)
            return True
        kept = self._memory.answer(request_id)
        if kept is None and self._memory.may_know(request_id, after):
            kept = _unknown(request_id, 'the answer is no longer kept')
        if kept is None:
            return False
        self._links.send(entry_id, kept)
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
            and self._memory.answer(request_id) is None,
            '"not run" is said only of a request that did not run',
            request_id,
        )
        if not is_certain:
            return
        response = _not_run(request_id, failure)
        self._memory.keep(response, self.sequence)
        load = self._backends.load(service_name)
        self._links.send(
            entry_id,
            replace(response, in_flight=load.in_flight, queued=load.queued),
        )

    def _withdraw(self, call: _OpenCall, failure: Failure) -> None:
        """End a call that waits in the queue; it never runs."""
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
        for request_id, backend in self._queue.ready():
            self._run(self._open_by_id[request_id], backend)

    def _run(self, call: _OpenCall, backend: AnnouncedBackend) -> None:
        request = call.request
        is_first = self._invariants.check(
            self._memory.answer(request.request_id) is None
            and call.backend is None,
            'a request runs at most once',
            request.request_id,
        )
        if not is_first:
            return
        call.backend = backend
        started = self._clock.now()
        self._backends.started(backend)
        left = max(call.deadline - started, 1)
        self._caller.call(
            backend.address,
            request,
            left if request.idempotent else left + _GRACE_MS,
            lambda response: self._answered(call, backend, started, response),
        )

    def _answered(
        self,
        call: _OpenCall,
        backend: AnnouncedBackend,
        started: float,
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
        self._backends.finished(backend, self._clock.now() - started)
        if response.outcome == CallOutcome.NOT_RUN.value:
            self._metrics.count('backend_refused_total')
        self._finish(call, response)
        self._fill_slots()

    def _finish(self, call: _OpenCall, response: CallResponse) -> None:
        request = call.request
        self._open_by_id.pop(request.request_id)
        self._memory.keep(response, self.sequence)
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
