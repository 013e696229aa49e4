"""HTTP endpoint for callers: submit, cancel and query jobs."""

import json
import math
import re
from typing import Annotated, Any, Final

from pydantic import (
    BaseModel,
    ConfigDict,
    FailFast,
    Field,
    ValidationError,
)
from pydantic import alias_generators
from result import Result
from twisted.internet.defer import Deferred
from twisted.python.failure import Failure as TwistedFailure
from twisted.web.http import Request
from twisted.web.resource import Resource

from hyssopring.clock import MILLIS_PER_SECOND, Clock
from hyssopring.errors import ErrorKind, Failure
from hyssopring.jobs.job_api import JobApi
from hyssopring.jobs.model import Job, JobState, Queue, Schedule, Size, Step
from hyssopring.jobs.queues import QueueTable
from hyssopring.logs import Event, log_event
from hyssopring.platform.json_values import check_value_count
from hyssopring.platform.leaf_site import NOT_DONE_YET

__all__ = ('CallersResource', 'read_job')

_JOB_ID: Final = re.compile('[0-9a-f]{16}')
_DEADLINE_HEADER: Final = 'deadline-ms'
_DEADLINE: Final = re.compile('[0-9]{1,12}')
_DEFAULT_DEADLINE_MS: Final = 3000.0
# Shares of a caller's deadline after which a response is sent in any case. The
# rest of a submission's deadline is left for another attempt at another entry.
_SUBMIT_SHARE: Final = 0.45
_CANCEL_SHARE: Final = 0.85
_STATUS_GONE: Final = 410
# A row with the job holds half as many bytes.
_MAX_VALUES: Final = 131_072


class _Model(BaseModel):
    model_config = ConfigDict(alias_generator=alias_generators.to_camel)


class _Step(_Model):
    """One step; clients omit fields that are 0, false or empty.

    ``Step.saves`` is sent as checkpointing, ``rack`` as affinity, ``label`` as
    requirements, and ``max_per_worker`` as antiAffinity.
    """

    count: int = Field(ge=1, le=100_000)
    cpu: int = 0
    mem_mb: int = 0
    gpu: int = 0
    estimate_ms: int = 0
    after: Annotated[tuple[int, ...], FailFast()] = ()
    gang: bool = False
    locality_sensitive: bool = False
    requirements: str = ''
    affinity: str = ''
    anti_affinity: int = 0
    speculative: bool = False
    checkpointing: bool = False
    long_running: bool = False
    image: str = ''
    target_ms: int = 0
    fills: bool = False
    max_unavailable: int = 0

    def to_step(self) -> Step:
        """Translate to the type of ``hyssopring.jobs``."""
        return Step(
            count=self.count,
            size=Size(self.cpu, self.mem_mb, self.gpu),
            estimate_ms=self.estimate_ms,
            after=self.after,
            is_gang=self.gang,
            is_local=self.locality_sensitive,
            label=self.requirements,
            rack=self.affinity,
            max_per_worker=self.anti_affinity,
            may_copy=self.speculative,
            saves=self.checkpointing,
            is_keeper=self.long_running,
            image=self.image,
            target_ms=self.target_ms,
            fills=self.fills,
            max_unavailable=self.max_unavailable,
        )


class _Submission(_Model):
    """A job as a caller submits it."""

    spec: str = Field(default='', max_length=4000)
    # The first invalid step is reported, not all that a body may have.
    steps: Annotated[tuple[_Step, ...], FailFast()] = Field(
        min_length=1, max_length=1000
    )
    first_run_ms: int = 0
    interval_ms: int = 0
    repeat_count: int = 0


def read_job(job_id: str, queue: Queue, body: bytes) -> Job:
    """Parse the body of a submission.

    Raises:
        ValueError: The body is malformed, a step does not follow the steps
            that it depends on, or a number is out of range.
    """
    check_value_count(body, _MAX_VALUES)
    submission = _Submission.model_validate_json(body)
    for index, step in enumerate(submission.steps):
        if any(not 0 <= earlier < index for earlier in step.after):
            raise ValueError(
                f'step {index}: after must name earlier steps only',
            )
    schedule = Schedule(
        submission.first_run_ms,
        submission.interval_ms,
        submission.repeat_count,
    )
    steps = tuple(step.to_step() for step in submission.steps)
    job = Job(job_id, queue, submission.spec, steps, schedule)
    if not job.is_valid:
        raise ValueError('a number is out of range')
    return job


class CallersResource(Resource):
    """Serves all paths of the port for callers."""

    isLeaf = True

    def __init__(self, clock: Clock, job_api: JobApi) -> None:
        """Respond with 503 until ``table`` is set."""
        super().__init__()
        self._clock = clock
        self._job_api = job_api
        self.table: QueueTable | None = None
        self.is_stopping = False
        self.open_requests = 0
        self._rendered_since_check = False

    def is_idle(self) -> bool:
        """Return whether no request is open and none came since last asked."""
        is_idle = not self.open_requests and not self._rendered_since_check
        self._rendered_since_check = False
        return is_idle

    def render(self, request: Request) -> int:
        """Handle one request."""
        self.open_requests += 1
        self._rendered_since_check = True
        request.notifyFinish().addBoth(self._on_closed)
        if self.is_stopping:
            request.setHeader('connection', 'close')
        response = self._route(request)
        response.addErrback(self._on_error, request)
        return NOT_DONE_YET

    def _on_closed(self, _reason: object) -> None:
        self.open_requests -= 1

    def _route(self, request: Request) -> Deferred:
        if self.table is None:
            return _refuse(
                request,
                Failure(ErrorKind.STORE_UNAVAILABLE, 'no configuration yet'),
            )
        host = (request.getHeader('host') or '').partition(':')[0]
        path = request.path.decode('latin-1')
        address = self.table.find(host, path)
        if address is None:
            return _refuse(
                request,
                Failure(ErrorKind.NOT_FOUND, 'no queue at this path'),
            )
        job_id = path.removeprefix(address.path)
        method = request.method.decode('latin-1')
        if not job_id and method == 'GET':
            return self._count_pending(request, address.queue)
        if not _JOB_ID.fullmatch(job_id):
            return _refuse(
                request,
                Failure(ErrorKind.NOT_FOUND, 'path has no valid job id'),
            )
        return self._route_job(request, method, address.queue, job_id)

    def _route_job(
        self,
        request: Request,
        method: str,
        queue: Queue,
        job_id: str,
    ) -> Deferred:
        if method == 'POST':
            return self._submit(request, queue, job_id)
        if method == 'DELETE':
            return self._cancel(request, job_id)
        return self._query_state(request, job_id)

    def _submit(
        self,
        request: Request,
        queue: Queue,
        job_id: str,
    ) -> Deferred:
        try:
            job = read_job(job_id, queue, request.content.read())
        except ValidationError as error:
            detail = str(error.errors(include_input=False)[0]['msg'])
            return _refuse(request, Failure(ErrorKind.MALFORMED, detail))
        except ValueError as error:
            return _refuse(request, Failure(ErrorKind.MALFORMED, str(error)))
        until_ms = self._response_deadline(request, _SUBMIT_SHARE)
        submitting = self._job_api.submit(job, until_ms)
        return submitting.addCallback(self._on_submitted, request, job_id)

    def _on_submitted(
        self,
        outcome: Result[None, Failure],
        request: Request,
        job_id: str,
    ) -> None:
        if outcome.is_err():
            failure = outcome.unwrap_err()
            log_event(
                Event.REQUEST_REFUSED,
                job=job_id,
                kind=failure.kind.value,
                detail=failure.detail,
            )
            _refuse(request, failure)
        else:
            _respond(request, {})

    def _cancel(self, request: Request, job_id: str) -> Deferred:
        until_ms = self._response_deadline(request, _CANCEL_SHARE)
        cancelling = self._job_api.cancel(job_id, until_ms)
        return cancelling.addCallback(_send_cancelled, request)

    def _query_state(self, request: Request, job_id: str) -> Deferred:
        reading = self._job_api.state(job_id)
        return reading.addCallback(_send_state, request)

    def _count_pending(self, request: Request, queue: Queue) -> Deferred:
        counting = self._job_api.pending(queue.name)
        return counting.addCallback(_send_count, request)

    def _response_deadline(self, request: Request, share: float) -> float:
        header = request.getHeader(_DEADLINE_HEADER) or ''
        deadline_ms = (
            float(header)
            if _DEADLINE.fullmatch(header)
            else _DEFAULT_DEADLINE_MS
        )
        return self._clock.now() + deadline_ms * share

    def _on_error(self, failure: TwistedFailure, request: Request) -> None:
        """Log an error of this process and respond with its kind."""
        log_event(
            Event.PEER_ERROR,
            peer='caller',
            detail=repr(failure.value),
            trace=failure.getBriefTraceback(),
        )
        _refuse(request, Failure(ErrorKind.INTERNAL))


def _send_cancelled(outcome: Result[bool, Failure], request: Request) -> None:
    if outcome.is_err():
        _refuse(request, outcome.unwrap_err())
    elif outcome.unwrap():
        _respond(request, {})
    else:
        _respond(request, {}, _STATUS_GONE)


def _send_count(outcome: Result[int, Failure], request: Request) -> None:
    if outcome.is_err():
        _refuse(request, outcome.unwrap_err())
    else:
        _respond(request, {'pending': outcome.unwrap()})


def _send_state(
    outcome: Result[JobState | None, Failure],
    request: Request,
) -> None:
    if outcome.is_err():
        _refuse(request, outcome.unwrap_err())
        return
    state = outcome.unwrap()
    if state is None:
        _respond(request, {}, _STATUS_GONE)
    else:
        _respond(request, {'state': state.value})


def _refuse(request: Request, failure: Failure) -> Deferred:
    response = failure.answer
    if response.retry_after_ms is not None:
        seconds = math.ceil(response.retry_after_ms / MILLIS_PER_SECOND)
        request.setHeader('retry-after', str(seconds))
    _respond(request, {'error': failure.kind.value}, response.status)
    done: Deferred = Deferred()
    done.callback(None)
    return done


def _respond(
    request: Request,
    fields: dict[str, Any],
    status: int = 200,
) -> None:
    if request._disconnected:  # noqa: SLF001, WPS437 -- no public name
        return
    request.setResponseCode(status)
    request.setHeader('content-type', 'application/json')
    request.write(json.dumps(fields).encode())
    request.finish()
