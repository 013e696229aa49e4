"""Callers' requests about jobs, as the platform's clients send them."""

import json
import math
import re
from typing import Any, Final

from pydantic import BaseModel, ConfigDict, Field, ValidationError
from pydantic import alias_generators
from result import Result
from twisted.internet.defer import Deferred
from twisted.python.failure import Failure as TwistedFailure
from twisted.web.http import Request
from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET

from hyssopring.clock import MILLIS_PER_SECOND, Clock
from hyssopring.errors import ErrorKind, Failure
from hyssopring.jobs.job_api import JobApi
from hyssopring.jobs.model import Job, JobState, Queue, Schedule, Size, Step
from hyssopring.jobs.queues import QueueTable
from hyssopring.logs import Event, log_event

__all__ = ('CallersResource', 'read_job')

_ID: Final = re.compile('[0-9a-f]{16}')
_DEADLINE_HEADER: Final = 'deadline-ms'
_DEADLINE_MS: Final = 3000.0
# The parts of a caller's time after which it is answered in any case. One that
# hands a job in has the rest to try another entry.
_SUBMIT_PART: Final = 0.45
_ASK_PART: Final = 0.85
_GONE: Final = 410


class _Model(BaseModel):
    model_config = ConfigDict(alias_generator=alias_generators.to_camel)


class _Step(_Model):
    """One step; fields that are 0, false or empty are left out.

    ``saves`` is on the wire as checkpointing, ``rack`` as affinity, ``label``
    as requirements, and ``max_per_worker`` as antiAffinity.
    """

    count: int = Field(ge=1, le=100_000)
    cpu: int = 0
    mem_mb: int = 0
    gpu: int = 0
    estimate_ms: int = 0
    after: tuple[int, ...] = ()
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

    def step(self) -> Step:
        """Translate."""
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
    """A job as it is handed in."""

    spec: str = Field(default='', max_length=4000)
    steps: tuple[_Step, ...] = Field(min_length=1, max_length=1000)
    first_run_ms: int = 0
    interval_ms: int = 0
    repeat_count: int = 0


def read_job(job_id: str, queue: Queue, body: bytes) -> Job:
    """Translate a submission; raises ValueError."""
    submission = _Submission.model_validate_json(body)
    for number, step in enumerate(submission.steps):
        if any(not 0 <= earlier < number for earlier in step.after):
            raise ValueError(f'step {number} comes after a later step')
    schedule = Schedule(
        submission.first_run_ms,
        submission.interval_ms,
        submission.repeat_count,
    )
    steps = tuple(step.step() for step in submission.steps)
    return Job(job_id, queue, submission.spec, steps, schedule)


class CallersResource(Resource):
    """All paths of the address that callers use."""

    isLeaf = True

    def __init__(self, clock: Clock, desk: JobApi) -> None:
        """Answer 503 until ``table`` is set."""
        super().__init__()
        self._clock = clock
        self._desk = desk
        self.table: QueueTable | None = None
        self.is_stopping = False
        self.open_requests = 0

    def render(self, request: Request) -> int:
        """Take one request."""
        self.open_requests += 1
        request.notifyFinish().addBoth(self._closed)
        if self.is_stopping:
            request.setHeader('connection', 'close')
        answering = self._route(request)
        answering.addErrback(self._broken, request)
        return NOT_DONE_YET

    def _closed(self, _reason: object) -> None:
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
            return _refuse(request, Failure(ErrorKind.NOT_FOUND, 'no queue'))
        rest = path.removeprefix(address.path)
        method = request.method.decode('latin-1')
        if not rest and method == 'GET':
            return self._pending(request, address.queue)
        if not _ID.fullmatch(rest):
            return _refuse(request, Failure(ErrorKind.NOT_FOUND, 'no job id'))
        return self._job_call(request, method, address.queue, rest)

    def _job_call(
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
        return self._state(request, job_id)

    def _submit(
        self,
        request: Request,
        queue: Queue,
        job_id: str,
    ) -> Deferred:
        try:
            job = read_job(job_id, queue, request.content.read())
        except ValidationError as error:
            detail = str(error.errors()[0]['msg'])
            return _refuse(request, Failure(ErrorKind.MALFORMED, detail))
        except ValueError as error:
            return _refuse(request, Failure(ErrorKind.MALFORMED, str(error)))
        until = self._until(request, _SUBMIT_PART)
        submitting = self._desk.submit(job, until)
        return submitting.addCallback(self._submitted, request, job_id)

    def _submitted(
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
            _answer(request, {})

    def _cancel(self, request: Request, job_id: str) -> Deferred:
        until = self._until(request, _ASK_PART)
        cancelling = self._desk.cancel(job_id, until)
        return cancelling.addCallback(_cancelled, request)

    def _state(self, request: Request, job_id: str) -> Deferred:
        asking = self._desk.state(job_id)
        return asking.addCallback(_told, request)

    def _pending(self, request: Request, queue: Queue) -> Deferred:
        counting = self._desk.pending(queue.name)
        return counting.addCallback(_counted, request)

    def _until(self, request: Request, part: float) -> float:
        text = request.getHeader(_DEADLINE_HEADER) or ''
        allowed = float(text) if text.isdigit() else _DEADLINE_MS
        return self._clock.now() + allowed * part

    def _broken(self, failure: TwistedFailure, request: Request) -> None:
        """An error of ours: say so, whatever the request was."""
        log_event(
            Event.PEER_ERROR,
            peer='caller',
            detail=repr(failure.value),
            trace=failure.getBriefTraceback(),
        )
        _refuse(request, Failure(ErrorKind.INTERNAL))


def _cancelled(outcome: Result[bool, Failure], request: Request) -> None:
    if outcome.is_err():
        _refuse(request, outcome.unwrap_err())
    elif outcome.unwrap():
        _answer(request, {})
    else:
        _answer(request, {}, _GONE)


def _counted(outcome: Result[int, Failure], request: Request) -> None:
    if outcome.is_err():
        _refuse(request, outcome.unwrap_err())
    else:
        _answer(request, {'pending': outcome.unwrap()})


def _told(
    outcome: Result[JobState | None, Failure],
    request: Request,
) -> None:
    if outcome.is_err():
        _refuse(request, outcome.unwrap_err())
        return
    state = outcome.unwrap()
    if state is None:
        _answer(request, {}, _GONE)
    else:
        _answer(request, {'state': state.value})


def _refuse(request: Request, failure: Failure) -> Deferred:
    answer = failure.answer
    if answer.retry_after_ms is not None:
        seconds = math.ceil(answer.retry_after_ms / MILLIS_PER_SECOND)
        request.setHeader('retry-after', str(seconds))
    _answer(request, {'error': failure.kind.value}, answer.status)
    done: Deferred = Deferred()
    done.callback(None)
    return done


def _answer(
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
