"""The callers' HTTP port (Twisted shell).

A caller sends any method to ``/<team>/<template>/<path>``. Optional headers:
``Idempotency-Key``, and ``Hyssopring-Deadline-Ms`` to shorten the service's
deadline. An error answer is JSON with the error kind, whether the request ran
and when to come back.
"""

import json
import uuid
from typing import Any, Callable

from twisted.web.http import Request
from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET

from hyssopring.clock import Clock
from hyssopring.entry.calls import Answer, Call
from hyssopring.entry.core import EntryCore
from hyssopring.errors import ErrorKind, Failure
from hyssopring.protocol.messages import Header

__all__ = ('CallerResource', 'WaitingCallers', 'write_failure')

_MILLIS_PER_SECOND = 1000
_SERVICE_PARTS = 2
# Headers that belong to one hop, not to the message.
_HOP_HEADERS = frozenset(
    (
        'connection',
        'content-length',
        'expect',
        'host',
        'keep-alive',
        'transfer-encoding',
        'upgrade',
    )
)


def _nothing() -> None:
    """Nobody asked to be told of new work."""


class WaitingCallers:
    """Callers' open HTTP requests by request id."""

    def __init__(self) -> None:
        """Start with none."""
        self._request_by_id: dict[str, Request] = {}
        self.on_work: Callable[[], None] = _nothing

    def add(self, request_id: str, request: Request) -> None:
        """Remember whom to answer."""
        self._request_by_id[request_id] = request
        self.on_work()

    def discard(self, request_id: str) -> None:
        """The caller has gone."""
        self._request_by_id.pop(request_id, None)

    def answer(self, request_id: str, answer: Answer) -> None:
        """Write the final answer to its own caller."""
        request = self._request_by_id.pop(request_id, None)
        if request is None:
            return
        request.setHeader('Hyssopring-Request-Id', request_id)
        if answer.failure is not None:
            write_failure(request, answer.failure)
            return
        request.setResponseCode(answer.status)
        for header in answer.headers:
            if header.name.lower() not in _HOP_HEADERS:
                request.responseHeaders.addRawHeader(header.name, header.text)
        request.setHeader('content-length', str(len(answer.body)))
        request.write(answer.body)
        request.finish()


def write_failure(request: Request, failure: Failure) -> None:
    """Write an error answer and finish the request."""
    row = failure.answer
    body = json.dumps(
        {
            'error': failure.kind.value,
            'ran': row.run_state.value,
            'detail': failure.detail,
            'retry_after_ms': row.retry_after_ms,
        }
    ).encode()
    request.setResponseCode(row.status)
    request.setHeader('content-type', 'application/json')
    request.setHeader('content-length', str(len(body)))
    if row.retry_after_ms is not None:
        seconds = -(-row.retry_after_ms // _MILLIS_PER_SECOND)
        request.setHeader('retry-after', str(seconds))
    request.write(body)
    request.finish()


class CallerResource(Resource):
    """Takes callers' requests; every path below it is a service's."""

    isLeaf = True

    def __init__(
        self,
        clock: Clock,
        core: EntryCore,
        waiting: WaitingCallers,
        default_deadline_ms: float,
    ) -> None:
        """Give requests to the core's router."""
        super().__init__()
        self._clock = clock
        self._core = core
        self._waiting = waiting
        self._default_deadline_ms = default_deadline_ms

    def render(self, request: Request) -> int:
        """Turn one HTTP request into a call."""
        path = request.uri.decode('latin-1')
        parts = path.lstrip('/').split('/', _SERVICE_PARTS)
        if len(parts) < _SERVICE_PARTS:
            failure = Failure(ErrorKind.NOT_FOUND, 'use /<team>/<template>/...')
            write_failure(request, failure)
            return NOT_DONE_YET
        service_name = '/'.join(parts[:_SERVICE_PARTS]).partition('?')[0]
        deadline_ms = self._deadline_ms(request, service_name)
        if deadline_ms is None:
            failure = Failure(ErrorKind.MALFORMED, 'Hyssopring-Deadline-Ms')
            write_failure(request, failure)
            return NOT_DONE_YET
        rest = parts[_SERVICE_PARTS] if len(parts) > _SERVICE_PARTS else ''
        call = Call(
            request_id=uuid.uuid4().hex,
            service_name=service_name,
            method=request.method.decode('latin-1'),
            path=f'/{rest}',
            headers=_headers_of(request),
            body=request.content.read(),
            deadline=self._clock.now() + deadline_ms,
            key=request.getHeader('idempotency-key') or '',
        )
        self._waiting.add(call.request_id, request)
        request.notifyFinish().addErrback(self._gone, call.request_id)
        self._core.router.submit(call)
        return NOT_DONE_YET

    def _deadline_ms(self, request: Request, service: str) -> float | None:
        policy = self._core.configuration.policy(service)
        allowed = policy.deadline_ms if policy else self._default_deadline_ms
        asked = request.getHeader('hyssopring-deadline-ms')
        if asked is None:
            return allowed
        if not asked.isdigit() or not int(asked):
            return None
        return min(float(asked), allowed)

    def _gone(self, _reason: Any, request_id: str) -> None:
        self._waiting.discard(request_id)
        self._core.router.forget(request_id)


def _headers_of(request: Request) -> tuple[Header, ...]:
    return tuple(
        Header(name.decode('latin-1'), text.decode('latin-1'))
        for name, texts in request.requestHeaders.getAllRawHeaders()
        if name.decode('latin-1').lower() not in _HOP_HEADERS
        for text in texts
    )
