"""The callers' HTTP port, on Twisted.

A caller sends any method to ``/<team>/<template>/<path>``. An error answer is
JSON with the error kind, whether the request ran, when to retry, and, if the
outcome is unknown, the path of an inquiry: ``GET /outcome/<request id>``. Each
answer has the request id as a header. ``GET /healthz`` returns to a balancer
whether it should send requests here.
"""

import json
import re
import uuid
from typing import Any, Callable

from twisted.web.http import NO_BODY_CODES, Request
from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET

from hyssopring.bounded_http import BoundedRequest
from hyssopring.clock import Clock
from hyssopring.entry.calls import Answer
from hyssopring.entry.core import EntryCore
from hyssopring.entry.http_calls import (
    HttpRequest,
    call_from_http,
    end_to_end,
)
from hyssopring.entry.inquiries import Inquiry
from hyssopring.errors import ErrorKind, Failure
from hyssopring.protocol.connection import prove
from hyssopring.protocol.messages import Header

__all__ = ('CallerResource', 'WaitingCallers', 'write_failure')

_OUTCOME = re.compile(rb'/outcome/([0-9a-f]{32})')
_PROOF_DIGITS = 32
_OK = 200
_UNAVAILABLE = 503


def _ignore_work() -> None:
    """Do nothing; the default for ``WaitingCallers.on_work``."""


class WaitingCallers:
    """Callers' open HTTP requests by request id.

    Attributes:
        on_work: Called when a request is added.
    """

    def __init__(self, secret: str) -> None:
        """Start empty; ``secret`` signs the links of inquiries."""
        self._secret = secret
        self._request_by_id: dict[str, Request] = {}
        self.on_work: Callable[[], None] = _ignore_work

    def add(self, request_id: str, request: Request) -> None:
        """Add a request that awaits its answer."""
        self._request_by_id[request_id] = request
        self.on_work()

    def discard(self, request_id: str) -> None:
        """Remove a request whose caller disconnected."""
        self._request_by_id.pop(request_id, None)

    def answer(self, request_id: str, answer: Answer) -> None:
        """Write the final answer to the request's caller."""
        request = self._request_by_id.pop(request_id, None)
        if request is None:
            return
        if answer.failure is None:
            write_answer(request, answer)
        else:
            write_failure(request, answer.failure, self._outcome_link(answer))

    def proof(self, request_id: str, agent_id: str) -> str:
        """Return the signature of an inquiry's link."""
        return prove(self._secret, f'outcome {request_id}', agent_id)[
            :_PROOF_DIGITS
        ]

    def _outcome_link(self, answer: Answer) -> str:
        if not answer.outcome_agent_id:
            return ''
        request_id = answer.outcome_request_id
        agent_id = answer.outcome_agent_id
        link = f'/outcome/{request_id}?agent={agent_id}'
        if not answer.is_outcome_final:
            return link
        proof = self.proof(request_id, agent_id)
        return f'{link}&proof={proof}'


def write_answer(request: Request, answer: Answer) -> None:
    """Write a backend server's complete answer and finish the request."""
    request.setResponseCode(answer.status)
    headers = end_to_end(answer.headers)
    names = {header.name.lower() for header in headers}
    for name in names:
        # The backend server's Date and Server headers replace Twisted's.
        request.responseHeaders.removeHeader(name)
    for header in headers:
        request.responseHeaders.addRawHeader(
            header.name.encode('latin-1'),
            header.text.encode('latin-1'),
        )
    has_body = answer.status not in NO_BODY_CODES and request.method != b'HEAD'
    if has_body:
        request.setHeader('content-length', str(len(answer.body)))
        request.write(answer.body)
    request.finish()


def write_failure(request: Request, failure: Failure, link: str = '') -> None:
    """Write an error answer and finish the request."""
    document = failure.document
    if link:
        document['ask'] = link
    body = json.dumps(document).encode()
    request.setResponseCode(failure.answer.status)
    request.setHeader('content-type', 'application/json')
    request.setHeader('content-length', str(len(body)))
    if failure.retry_after_s is not None:
        request.setHeader('retry-after', str(failure.retry_after_s))
    request.write(body)
    request.finish()


class CallerResource(Resource):
    """Handles callers' requests.

    Attributes:
        is_ready: Whether the entry accepts requests; False while it stops.
    """

    isLeaf = True

    def __init__(
        self,
        clock: Clock,
        core: EntryCore,
        waiting: WaitingCallers,
        default_deadline_ms: float,
    ) -> None:
        """Route requests through ``core``.

        Args:
            clock: The clock for deadlines.
            core: The entry's logic.
            waiting: The requests that await their answer.
            default_deadline_ms: Deadline for services that are unknown.
        """
        super().__init__()
        self._clock = clock
        self._core = core
        self._waiting = waiting
        self._default_deadline_ms = default_deadline_ms
        self.is_ready = True

    def render(self, request: BoundedRequest) -> int:
        """Handle one HTTP request."""
        request_id = uuid.uuid4().hex
        request.setHeader('Hyssopring-Request-Id', request_id)
        if not self.is_ready:
            # Makes the balancer move its connections to other entries.
            request.setHeader('connection', 'close')
        if request.path == b'/healthz':
            self._answer_health_check(request)
            return NOT_DONE_YET
        if request.is_too_large:
            write_failure(request, Failure(ErrorKind.TOO_LARGE, 'the body'))
            return NOT_DONE_YET
        outcome_match = _OUTCOME.fullmatch(request.path)
        if outcome_match is None:
            self._submit(request, request_id)
        else:
            self._inquire(request, request_id, outcome_match[1].decode())
        return NOT_DONE_YET

    def _answer_health_check(self, request: BoundedRequest) -> None:
        not_ready_reason = (
            self._core.not_ready_reason if self.is_ready else 'stopping'
        )
        answer = Answer(
            _UNAVAILABLE if not_ready_reason else _OK,
            body=f'{not_ready_reason or "ready"}\n'.encode(),
        )
        write_answer(request, answer)

    def _submit(self, request: BoundedRequest, request_id: str) -> None:
        call = call_from_http(
            _http_request(request),
            request_id,
            self._clock.now(),
            self._deadline_ms,
        )
        if call.is_err():
            write_failure(request, call.unwrap_err())
            return
        self._await_answer(request, request_id)
        self._core.router.submit(call.unwrap())

    def _inquire(
        self,
        request: BoundedRequest,
        request_id: str,
        subject: str,
    ) -> None:
        agent_id = _query_argument(request, b'agent')
        expected = self._waiting.proof(subject, agent_id)
        is_final = _query_argument(request, b'proof') == expected
        self._await_answer(request, request_id)
        self._core.router.inquire(
            Inquiry(subject, agent_id, is_final),
            lambda answer: self._waiting.answer(request_id, answer),
        )

    def _await_answer(self, request: BoundedRequest, request_id: str) -> None:
        self._waiting.add(request_id, request)
        request.notifyFinish().addErrback(self._on_disconnect, request_id)

    def _deadline_ms(self, service_name: str) -> float:
        policy = self._core.configuration.policy(service_name)
        return policy.deadline_ms if policy else self._default_deadline_ms

    def _on_disconnect(self, _reason: Any, request_id: str) -> None:
        self._waiting.discard(request_id)
        self._core.router.cancel(request_id)


def _http_request(request: BoundedRequest) -> HttpRequest:
    headers = tuple(
        Header(name.decode('latin-1'), text.decode('latin-1'))
        for name, texts in request.requestHeaders.getAllRawHeaders()
        for text in texts
    )
    body = request.content.read()
    # A second copy would be held until the response.
    request.discard_body()
    return HttpRequest(request.method, request.uri, headers, body)


def _query_argument(request: BoundedRequest, name: bytes) -> str:
    return request.args.get(name, [b''])[0].decode('latin-1')
