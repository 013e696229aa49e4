"""The agent's calls to backend servers and to the worker (Twisted shell)."""

import dataclasses
import json
from typing import Any, Callable, Mapping

from twisted.internet.error import ConnectError, ConnectionRefusedError

from hyssopring.agent.calls import AnswerCallback
from hyssopring.agent.worker import StopAnswer, WorkerListing, WorkerTask
from hyssopring.errors import ErrorKind
from hyssopring.outcomes import CallOutcome
from hyssopring.protocol.messages import (
    CallRequest,
    CallResponse,
    Header,
    Resources,
    StartTask,
)
from hyssopring.tasks import StopMode, TaskPhase
from hyssopring.web_client import (
    FetchedResponse,
    TruncatedResponseError,
    fetch,
    pooled_agent,
)

__all__ = ('HttpBackendCaller', 'HttpWorker')

_MAX_CONNECTIONS = 64
# Backend servers close idle connections, often after a minute. A request that
# is written just then gets no answer, and nobody can say whether it ran: an
# idle connection is dropped on this side well before.
_IDLE_S = 5
_WORKER_TIMEOUT_MS = 2000.0
_WORKER_CONNECTIONS = 2
_OK = 200
_CONFLICT = 409


class HttpBackendCaller:
    """Sends requests to backend servers on this VM over HTTP."""

    def __init__(self, reactor: Any) -> None:
        """Pool connections; never let the library repeat a request."""
        self._reactor = reactor
        self._agent = pooled_agent(reactor, _MAX_CONNECTIONS, _IDLE_S)

    def call(
        self,
        address: str,
        request: CallRequest,
        timeout_ms: float,
        done: AnswerCallback,
    ) -> None:
        """Call ``done`` once, with what became of the request."""
        deferred = fetch(
            self._reactor,
            self._agent,
            request.method,
            f'http://{address}{request.path}',
            request.body,
            timeout_ms,
            [(header.name, header.text) for header in request.headers],
        )
        deferred.addCallbacks(
            lambda answer: _answered(request, answer),
            lambda reason: _failed(request, reason),
        )
        deferred.addCallback(done)


def _answered(request: CallRequest, answer: FetchedResponse) -> CallResponse:
    return CallResponse(
        request.request_id,
        CallOutcome.ANSWERED.value,
        answer.status,
        tuple(Header(name, text) for name, text in answer.headers),
        answer.body,
    )


def _failed(request: CallRequest, reason: Any) -> CallResponse:
    # A refused connection is certain: no byte of the request was sent.
    if reason.check(ConnectionRefusedError, ConnectError):
        outcome, kind = CallOutcome.NOT_RUN, ErrorKind.NO_BACKEND
    elif reason.check(TruncatedResponseError):
        outcome, kind = CallOutcome.FAILED, ErrorKind.TRUNCATED
    else:
        outcome, kind = CallOutcome.FAILED, ErrorKind.BACKEND_FAILED
    return CallResponse(
        request.request_id,
        outcome.value,
        error=kind.value,
        detail=reason.getErrorMessage() or reason.type.__name__,
    )


class HttpWorker:
    """Drives the platform's worker on this VM over HTTP."""

    def __init__(self, reactor: Any, url: str, session: str) -> None:
        """Talk to the worker at ``url`` under this run's session."""
        self._reactor = reactor
        self._url = url.rstrip('/')
        self._session = session
        self._agent = pooled_agent(reactor, _WORKER_CONNECTIONS)

    def start(
        self,
        command: StartTask,
        until: float,
        done: Callable[[bool | None], None],
    ) -> None:
        """Start a task; False if the worker has refused, None if in doubt."""
        self._post(
            f'/tasks/{command.task_id}/start',
            {'command': dataclasses.asdict(command), 'until': until},
            lambda answer: done(_is_started(answer)),
        )

    def stop(
        self,
        command: StartTask,
        mode: StopMode,
        done: Callable[[StopAnswer | None], None],
    ) -> None:
        """Stop an attempt and forget it; None if in doubt."""
        self._post(
            f'/tasks/{command.task_id}/stop',
            {
                'attempt': command.attempt,
                'worker_boot': command.worker_boot,
                'mode': mode.value,
            },
            lambda answer: done(_stop_answer(answer)),
        )

    def throttle(self, task_id: str, share: float) -> None:
        """Leave a task this share of its processor time; the listing tells."""
        self._post(
            f'/tasks/{task_id}/throttle',
            {'share': share},
            lambda _answer: None,
        )

    def renew(self, until_by_task: Mapping[str, float]) -> None:
        """Extend the deadlines of running tasks."""
        self._post(
            '/leases',
            {'until': dict(until_by_task)},
            lambda _answer: None,
        )

    def list(self, done: Callable[[WorkerListing | None], None]) -> None:
        """Read what the worker runs; None if it cannot say."""
        deferred = fetch(
            self._reactor,
            self._agent,
            'GET',
            f'{self._url}/tasks?session={self._session}',
            timeout_ms=_WORKER_TIMEOUT_MS,
        )
        deferred.addCallbacks(
            lambda answer: done(_listing(answer)),
            lambda _reason: done(None),
        )

    def _post(
        self,
        path: str,
        document: dict[str, Any],
        done: Callable[[FetchedResponse | None], None],
    ) -> None:
        deferred = fetch(
            self._reactor,
            self._agent,
            'POST',
            self._url + path,
            json.dumps({**document, 'session': self._session}).encode(),
            _WORKER_TIMEOUT_MS,
        )
        deferred.addCallbacks(done, lambda _reason: done(None))


def _is_started(answer: FetchedResponse | None) -> bool | None:
    if answer is None or answer.status not in {_OK, _CONFLICT}:
        return None
    return answer.status == _OK


def _stop_answer(answer: FetchedResponse | None) -> StopAnswer | None:
    if answer is None or answer.status != _OK:
        return None
    document = json.loads(answer.body)
    return StopAnswer(TaskPhase(document['phase']), document['checkpoint'])


def _listing(answer: FetchedResponse) -> WorkerListing | None:
    if answer.status != _OK:
        return None
    document = json.loads(answer.body)
    tasks = tuple(_worker_task(entry) for entry in document['tasks'])
    return WorkerListing(document['boot'], tasks)


def _worker_task(entry: Any) -> WorkerTask:
    return WorkerTask(
        entry['task_id'],
        entry['attempt'],
        entry['phase'],
        entry['checkpoint'],
        _command(entry['command']),
        Resources(**entry['used']),
        entry['share'],
        entry['until'],
    )


def _command(document: Any) -> StartTask:
    size = Resources(**document['size'])
    return StartTask(**{**document, 'size': size})
