"""The operators' HTTP port, on Twisted.

Every path but ``/healthz`` and ``/metrics`` needs the operators' bearer token.
"""

import hmac
import json
from functools import partial
from typing import Any, Callable, Mapping

from result import Result
from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET

from hyssopring.bounded_http import BoundedRequest
from hyssopring.configuration import (
    AcceptedChange,
    ConfigurationChange,
    JobSubmission,
    parse_document,
)
from hyssopring.entry.callers import write_failure
from hyssopring.entry.core import EntryCore
from hyssopring.entry.decisions import DecisionLog
from hyssopring.entry.job_table import JobTable
from hyssopring.entry.status import (
    fleet_status,
    job_status,
    keeper_status,
    task_status,
    team_status,
)
from hyssopring.errors import ErrorKind, Failure

__all__ = ('OperatorResource',)

_OK = 200
_UNAVAILABLE = 503
_BEARER = 'Bearer '

_BuildStatus = Callable[[EntryCore], Mapping[str, Any]]
_ServePage = Callable[[BoundedRequest, str, str], None]


class OperatorResource(Resource):
    """Serves operators' requests by the first segment of their path.

    Attributes:
        is_ready: Whether the entry accepts calls; False while it stops.
    """

    isLeaf = True

    def __init__(
        self,
        core: EntryCore,
        jobs: JobTable,
        token: str,
        decisions: DecisionLog,
    ) -> None:
        """Serve the state of ``core`` to operators that have the token."""
        super().__init__()
        self._core = core
        self._job_table = jobs
        self._token = token
        self._decisions = decisions
        self.is_ready = True

    def render(self, request: BoundedRequest) -> int:
        """Handle one operator's request."""
        path = request.path.decode('latin-1').strip('/')
        if path in {'healthz', 'metrics'}:
            self._serve_public_page(request, path)
            return NOT_DONE_YET
        if not self._is_authorized(request):
            write_failure(request, Failure(ErrorKind.UNAUTHORIZED, 'token'))
            return NOT_DONE_YET
        if request.is_too_large:
            write_failure(request, Failure(ErrorKind.TOO_LARGE, 'the body'))
            return NOT_DONE_YET
        method = request.method.decode('latin-1')
        page_name, _, subpath = path.removeprefix('v1/').partition('/')
        serve_page = {
            'configuration': self._serve_configuration,
            'explain': self._serve_explanation,
            'jobs': self._serve_job,
            'keepers': self._status_page(keeper_status),
            'status': self._status_page(fleet_status),
            'tasks': self._serve_task,
            'teams': self._status_page(team_status),
        }.get(page_name)
        if serve_page is None:
            write_failure(request, Failure(ErrorKind.NOT_FOUND, path))
            return NOT_DONE_YET
        serve_page(request, method, subpath)
        return NOT_DONE_YET

    def _serve_public_page(self, request: BoundedRequest, path: str) -> None:
        if path == 'metrics':
            _write(request, _OK, self._core.metrics.render(), 'text/plain')
            return
        not_ready_reason = '' if self.is_ready else 'stopping'
        not_ready_reason = not_ready_reason or self._core.not_ready_reason
        status = _UNAVAILABLE if not_ready_reason else _OK
        _write(request, status, f'{not_ready_reason or "ready"}\n')

    def _is_authorized(self, request: BoundedRequest) -> bool:
        given_header = request.getHeader('authorization') or ''
        expected_header = _BEARER + self._token
        return hmac.compare_digest(
            given_header.encode(),
            expected_header.encode(),
        )

    def _serve_configuration(
        self, request: BoundedRequest, method: str, key: str
    ) -> None:
        if method == 'GET':
            self._serve_items(request, key)
            return
        if method not in {'PUT', 'DELETE'}:
            write_failure(request, Failure(ErrorKind.NOT_FOUND, method))
            return
        expected_version = request.getHeader('if-match') or '0'
        if not expected_version.isdigit():
            write_failure(request, Failure(ErrorKind.MALFORMED, 'If-Match'))
            return
        document = request.content.read().decode() if method == 'PUT' else ''
        self._core.configuration_keeper.change(
            ConfigurationChange(key, int(expected_version), document),
            partial(_write_change, request),
        )

    def _serve_items(self, request: BoundedRequest, key: str) -> None:
        state = self._core.configuration
        if not state.is_known:
            detail = 'no configuration yet'
            failure = Failure(ErrorKind.STORE_UNAVAILABLE, detail)
            write_failure(request, failure)
            return
        items = [
            {
                'key': item.key,
                'version': item.version,
                'document': json.loads(item.document),
            }
            for item in state.items
            if item.document and item.key.startswith(key)
        ]
        _write_json(request, {'version': state.version, 'items': items})

    def _serve_job(
        self, request: BoundedRequest, method: str, job_id: str
    ) -> None:
        if method == 'POST':
            self._submit_job(request)
        elif method == 'DELETE':
            self._job_table.cancel(job_id, partial(_write_result, request))
        elif job_id:
            self._job_table.describe(job_id, partial(_write_result, request))
        else:
            _write_json(request, job_status(self._core))

    def _serve_task(
        self, request: BoundedRequest, method: str, task_id: str
    ) -> None:
        if method == 'DELETE':
            self._job_table.cancel_task(
                task_id, partial(_write_result, request)
            )
            return
        self._serve_explanation(request, method, f'task/{task_id}')

    def _serve_explanation(
        self, request: BoundedRequest, method: str, subpath: str
    ) -> None:
        kind, _, subject = subpath.partition('/')
        _write_json(
            request,
            {
                'entry': self._core.identity.entry_id,
                'subject': subject,
                'task': (
                    task_status(self._core, subject) if kind == 'task' else None
                ),
                'decisions': self._decisions.explain(subject),
            },
        )

    def _submit_job(self, request: BoundedRequest) -> None:
        submission = parse_document(request.content.read(), JobSubmission)
        if submission.is_err():
            write_failure(request, submission.unwrap_err())
            return
        self._job_table.submit(
            submission.unwrap(),
            partial(_write_result, request),
        )

    def _status_page(self, status: _BuildStatus) -> _ServePage:
        return lambda request, _method, _rest: _write_json(
            request,
            status(self._core),
        )


def _write_change(
    request: BoundedRequest,
    answer: Result[AcceptedChange, Failure],
) -> None:
    if answer.is_err():
        write_failure(request, answer.unwrap_err())
        return
    _write_json(request, {'version': answer.unwrap().version})


def _write_result(
    request: BoundedRequest, answer: Result[Any, Failure]
) -> None:
    if answer.is_err():
        write_failure(request, answer.unwrap_err())
        return
    _write_json(request, answer.unwrap())


def _write_json(request: BoundedRequest, document: Any) -> None:
    page = f'{json.dumps(document)}\n'
    _write(request, _OK, page, 'application/json')


def _write(
    request: BoundedRequest,
    status: int,
    page: str,
    content_type: str = 'text/plain',
) -> None:
    body = page.encode()
    request.setResponseCode(status)
    request.setHeader('content-type', content_type)
    request.setHeader('content-length', str(len(body)))
    request.write(body)
    request.finish()
