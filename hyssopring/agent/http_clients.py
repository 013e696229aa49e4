"""HTTP clients of backend servers and of the worker (Twisted shell)."""

import dataclasses
import json
from typing import Any, Callable, Mapping, TypeVar

from twisted.internet.error import ConnectError, ConnectionRefusedError

from hyssopring.agent.calls import ResponseCallback
from hyssopring.agent.worker import StopResponse, WorkerListing, WorkerTask
from hyssopring.errors import ErrorKind
from hyssopring.json_reader import read_json
from hyssopring.logs import Event, log_event
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
# is sent at that moment gets no response, and its outcome is unknown; so idle
# connections are closed on this side well before.
_IDLE_TIMEOUT_S = 5
_WORKER_TIMEOUT_MS = 2000.0
_MAX_WORKER_CONNECTIONS = 2
_OK = 200
_CONFLICT = 409
_MAX_LOGGED_DETAIL = 200

_Parsed = TypeVar('_Parsed')


class HttpBackendCaller:
    """Sends requests to backend servers on this VM over HTTP."""

    def __init__(self, reactor: Any) -> None:
        """Pool connections, without automatic retries by the HTTP library."""
        self._reactor = reactor
        self._agent = pooled_agent(reactor, _MAX_CONNECTIONS, _IDLE_TIMEOUT_S)

    def call(
        self,
        address: str,
        request: CallRequest,
        timeout_ms: float,
        done: ResponseCallback,
    ) -> None:
        """Send the request and call ``done`` once, with the response."""
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
            lambda response: _to_response(request, response),
            lambda reason: _to_failed_response(request, reason),
        )
        deferred.addCallback(done)


def _to_response(
    request: CallRequest, response: FetchedResponse
) -> CallResponse:
    return CallResponse(
        request.request_id,
        CallOutcome.ANSWERED.value,
        response.status,
        tuple(Header(name, text) for name, text in response.headers),
        response.body,
    )


def _to_failed_response(request: CallRequest, reason: Any) -> CallResponse:
    # After a refused connection the request has certainly not run: no byte of
    # it was sent.
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
    """Controls the platform's worker on this VM over HTTP."""

    def __init__(self, reactor: Any, url: str, session: str) -> None:
        """Send requests to the worker.

        Args:
            reactor: The Twisted reactor.
            url: The worker's base URL.
            session: Identifies this run of the agent.
        """
        self._reactor = reactor
        self._url = url.rstrip('/')
        self._session = session
        self._agent = pooled_agent(reactor, _MAX_WORKER_CONNECTIONS)
        self._is_malformed = False

    def start(
        self,
        command: StartTask,
        deadline: float,
        done: Callable[[bool | None], None],
    ) -> None:
        """Start a task.

        Args:
            command: The start.
            deadline: When the worker ends the task, on the VM's clock.
            done: Called with whether it started, None if that is unknown.
        """
        self._post(
            f'/tasks/{command.task_id}/start',
            {'command': dataclasses.asdict(command), 'until': deadline},
            lambda response: done(_is_started(response)),
        )

    def stop(
        self,
        command: StartTask,
        mode: StopMode,
        done: Callable[[StopResponse | None], None],
    ) -> None:
        """Stop an attempt and remove it from the listing.

        Args:
            command: The start of the attempt.
            mode: How to stop it.
            done: Called with its end, None if that is unknown.
        """
        self._post(
            f'/tasks/{command.task_id}/stop',
            {
                'attempt': command.attempt,
                'worker_boot': command.worker_boot,
                'mode': mode.value,
            },
            lambda response: done(self._read(response, _stop_response_of)),
        )

    def throttle(self, task_id: str, share: float) -> None:
        """Set a task's share of processor time; listings contain the result."""
        self._post(
            f'/tasks/{task_id}/throttle',
            {'share': share},
            lambda _response: None,
        )

    def renew(self, deadline_by_task: Mapping[str, float]) -> None:
        """Extend the deadlines of running tasks."""
        self._post(
            '/leases',
            {'until': dict(deadline_by_task)},
            lambda _response: None,
        )

    def list(self, done: Callable[[WorkerListing | None], None]) -> None:
        """Request a listing; ``done`` gets None if the request fails."""
        deferred = fetch(
            self._reactor,
            self._agent,
            'GET',
            f'{self._url}/tasks?session={self._session}',
            timeout_ms=_WORKER_TIMEOUT_MS,
        )
        deferred.addCallbacks(
            lambda response: done(self._read(response, _listing_of)),
            lambda _reason: done(None),
        )

    def _read(
        self,
        response: FetchedResponse | None,
        parse: Callable[[Any], _Parsed],
    ) -> _Parsed | None:
        """Parse a response; a malformed one counts as none."""
        if response is None or response.status != _OK:
            return None
        try:
            parsed = parse(read_json(response.body))
        except (ValueError, TypeError, LookupError) as error:
            self._log_malformed(error)
            return None
        self._is_malformed = False
        return parsed

    def _log_malformed(self, error: Exception) -> None:
        """Log the first of consecutive malformed responses."""
        if not self._is_malformed:
            self._is_malformed = True
            detail = repr(error)[:_MAX_LOGGED_DETAIL]
            log_event(Event.PEER_ERROR, peer='worker', detail=detail)

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


def _is_started(response: FetchedResponse | None) -> bool | None:
    if response is None or response.status not in {_OK, _CONFLICT}:
        return None
    return response.status == _OK


def _stop_response_of(document: Any) -> StopResponse:
    return StopResponse(TaskPhase(document['phase']), document['checkpoint'])


def _listing_of(document: Any) -> WorkerListing:
    tasks = tuple(
        _to_worker_task(task_document) for task_document in document['tasks']
    )
    return WorkerListing(document['boot'], tasks)


def _to_worker_task(task_document: Any) -> WorkerTask:
    return WorkerTask(
        task_document['task_id'],
        task_document['attempt'],
        task_document['phase'],
        task_document['checkpoint'],
        _to_command(task_document['command']),
        Resources(**task_document['used']),
        task_document['share'],
        task_document['until'],
    )


def _to_command(document: Any) -> StartTask:
    size = Resources(**document['size'])
    return StartTask(**{**document, 'size': size})
