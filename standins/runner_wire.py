"""A runner's responses and reports, in the platform's documented fields."""

import json
from io import BytesIO

from twisted.internet.address import IPv4Address
from twisted.internet.defer import Deferred
from twisted.web.test.requesthelper import DummyRequest

from hyssopring.jobs.model import AttemptEnd
from hyssopring.jobs.worker_port import (
    PollRequest,
    StartRequest,
    StartOutcome,
    WorkerFenced,
    WorkerReplaced,
)
from hyssopring.platform.json_calls import JsonResponse

REASON_BY_OUTCOME = {
    StartOutcome.FENCED: 'fence',
    StartOutcome.OLD: 'old',
    StartOutcome.LATE: 'late',
    StartOutcome.NO_ROOM: 'room',
    StartOutcome.BAD_TICKET: 'ticket',
}
UNHEALTHY = 503
POLL_TIMEOUT_MS = 1200
OWN_HOST = '127.0.0.1'


class RunnerCalls:
    """Executes calls on a ``SimWorker``; responses are (status, fields)."""

    def __init__(self, worker):
        self.worker = worker

    def call(self, path, worker_id, body, timeout_ms=POLL_TIMEOUT_MS):
        """Return a deferred response, which fails if there is none."""
        if path == '/-/hold':
            calling = self._hold(worker_id, body, timeout_ms)
        else:
            name = path.removeprefix('/-/').replace('-', '_')
            calling = getattr(self, f'_{name}')(worker_id, body)
        calling.addErrback(_error_response)
        return calling.addCallback(self._with_clock)

    def _with_clock(self, response):
        status, fields = response
        return status, {'clockMs': self.worker.clock_ms(), **fields}

    def _run_start(self, worker_id, body):
        start = StartRequest(
            worker_id,
            body['fencingToken'],
            body['task'],
            body['runId'],
            body['spec'],
            body.get('checkpoint', ''),
            body['untilMs'],
            body.get('ticket', ''),
        )
        return self.worker.start(start).addCallback(_start_response)

    def _run_stop(self, worker_id, body):
        stopping = self.worker.stop(
            worker_id, body['fencingToken'], body['task'], body['runId']
        )
        return stopping.addCallback(_empty_response)

    def _pace(self, worker_id, body):
        pacing = self.worker.set_pace(
            worker_id,
            body['fencingToken'],
            body['task'],
            body['runId'],
            body['percent'],
        )
        return pacing.addCallback(_empty_response)

    def _hold(self, worker_id, body, timeout_ms):
        request = PollRequest(
            worker_id,
            body['fencingToken'],
            body['lastSeen'],
            body.get('untilMs'),
            body.get('waitMs', 0),
            timeout_ms,
        )
        listing = self.worker.poll(request)
        return listing.addCallback(_listing_response, self.worker)


class RunnerClient:
    """A stand-in for an agent's HTTP client, without a network."""

    def __init__(self, worker):
        self._calls = RunnerCalls(worker)

    def close_idle(self):
        """Do nothing, as there are no connections."""

    def call(self, _method, path, fields, timeout_ms, headers=()):
        """Return a deferred ``JsonResponse``."""
        worker_id = dict(headers)['Expected-Instance']
        responding = Deferred()
        calling = self._calls.call(path, worker_id, fields, timeout_ms)
        calling.addCallbacks(
            lambda response: responding.callback(JsonResponse(*response)),
            responding.errback,
        )
        return responding


def report_fields(worker):
    """Return the fields of a worker's heartbeat."""
    announced = worker.announcement()
    fields = {
        'service': announced.service,
        'address': '127.0.0.1:1',
        'zone': 'zone',
        'version': 'v1',
        'capacity': 8,
        'state': 'draining' if announced.is_leaving else 'ready',
        'coldRemainingMs': 0,
        'remainingMs': announced.remaining_ms,
        'freeCapacity': {
            'cpu': announced.capacity.cpu_millis,
            'memMb': announced.capacity.memory_mb,
            'gpu': announced.capacity.accelerators,
        },
        'labels': list(announced.labels),
        'clockMs': announced.clock_ms,
        'sequence': announced.sequence,
    }
    return {**fields, **worker.born_fields()}


def post_report(resource, worker_id, fields, verb='heartbeat', host=OWN_HOST):
    """Post a report to an agent's resource; return the status."""
    client = IPv4Address('TCP', host, 1)
    request = DummyRequest([])
    request.client = client
    request.path = f'/-/instances/{worker_id}/{verb}'.encode('latin-1')
    request.content = BytesIO(json.dumps(fields).encode())
    request.responseCode = 200
    resource.render_POST(request)
    return request.responseCode


def _error_response(failure):
    if failure.check(WorkerReplaced):
        return 421, {}
    if failure.check(WorkerFenced):
        return 409, {'reason': 'fence'}
    return failure


def _start_response(outcome):
    if outcome is StartOutcome.STARTED:
        return 200, {}
    if outcome is StartOutcome.UNHEALTHY:
        return UNHEALTHY, {}
    return 409, {'reason': REASON_BY_OUTCOME[outcome]}


def _empty_response(_outcome):
    return 200, {}


def _listing_response(listing, worker):
    running = [
        [row.task, row.attempt, row.checkpoint, row.percent, row.load]
        for row in listing.rows
    ]
    finished = [
        [end.number, end.task, end.attempt, _end_name(end.how), end.checkpoint]
        for end in listing.ends
    ]
    fields = {'running': running, 'finished': finished}
    return 200, {**fields, **worker.born_fields()}


def _end_name(how):
    return 'lapsed' if how is AttemptEnd.LOST else how.value
