"""The agent's calls to backend servers and to the worker (Twisted shell)."""

import dataclasses
import json
from typing import Any, Callable

from twisted.internet.error import ConnectError, ConnectionRefusedError

from hyssopring.agent.calls import AnswerCallback
from hyssopring.agent.tasks import WorkerTask
from hyssopring.errors import ErrorKind
from hyssopring.outcomes import CallOutcome
from hyssopring.protocol.messages import (
    CallRequest,
    CallResponse,
    Header,
    Resources,
    StartTask,
)
from hyssopring.tasks import StopMode
from hyssopring.web_client import (
    FetchedAnswer,
    TruncatedAnswer,
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


def _answered(request: CallRequest, answer: FetchedAnswer) -> CallResponse:
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
    elif reason.check(TruncatedAnswer):
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

    def __init__(self, reactor: Any, url: str) -> None:
        """Talk to the worker at ``url``."""
        self._reactor = reactor
        self._url = url.rstrip('/')
        self._agent = pooled_agent(reactor, _WORKER_CONNECTIONS)

    def start(
        self,
        command: StartTask,
        lease_ms: float,
        done: Callable[[bool], None],
    ) -> None:
        """Start a task; it ends by itself when its lease is not renewed."""
        self._post(
            f'/tasks/{command.task_id}/start',
            {'command': dataclasses.asdict(command), 'lease_ms': lease_ms},
            lambda answer: done(answer is not None),
        )

    def stop(
        self,
        task_id: str,
        mode: StopMode,
        done: Callable[[str | None], None],
    ) -> None:
        """Stop a task; ``done`` gets its checkpoint, None if in doubt."""
        self._post(
            f'/tasks/{task_id}/stop',
            {'mode': mode.value},
            lambda answer: done(
                None if answer is None else answer['checkpoint'],
            ),
        )

    def throttle(self, task_id: str, share: float) -> None:
        """Leave a task this share of its processor time; the listing tells."""
        self._post(
            f'/tasks/{task_id}/throttle',
            {'share': share},
            lambda _answer: None,
        )

    def renew(self, lease_ms_by_task: dict[str, float]) -> None:
        """Extend the leases of running tasks."""
        self._post('/leases', lease_ms_by_task, lambda _answer: None)

    def list(self, done: Callable[[list[WorkerTask]], None]) -> None:
        """Read what the worker runs; nothing is called if it cannot say."""
        deferred = fetch(
            self._reactor,
            self._agent,
            'GET',
            f'{self._url}/tasks',
            timeout_ms=_WORKER_TIMEOUT_MS,
        )
        deferred.addCallbacks(
            lambda answer: done(_listing(answer.body)),
            lambda _reason: None,
        )

    def _post(
        self,
        path: str,
        document: Any,
        done: Callable[[Any | None], None],
    ) -> None:
        deferred = fetch(
            self._reactor,
            self._agent,
            'POST',
            self._url + path,
            json.dumps(document).encode(),
            _WORKER_TIMEOUT_MS,
        )
        deferred.addCallbacks(
            lambda answer: done(
                json.loads(answer.body) if answer.status == _OK else None,
            ),
            lambda _reason: done(None),
        )


def _listing(body: bytes) -> list[WorkerTask]:
    return [
        WorkerTask(
            entry['task_id'],
            entry['attempt'],
            entry['phase'],
            entry['checkpoint'],
            _command(entry['command']),
            Resources(**entry['used']),
            entry['share'],
        )
        for entry in json.loads(body)['tasks']
    ]


def _command(document: Any) -> StartTask:
    size = Resources(**document['size'])
    return StartTask(**{**document, 'size': size})
