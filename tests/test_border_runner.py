"""Malformed heartbeats and task lists of a worker."""

import io
import json
import random

import pytest
from border_support import mutated
from test_platform import (
    POLL_REQUEST,
    FakeJsonClient,
    result_of,
    worker_with,
)
from twisted.internet.address import IPv4Address
from twisted.web.test.requesthelper import DummyRequest

from hyssopring.jobs.attempts import AttemptTable
from hyssopring.jobs.end_table import EndTable
from hyssopring.jobs.model import AttemptEnd
from hyssopring.jobs.worker_port import (
    Listing,
    StartOutcome,
    StartRequest,
    WorkerUnreachable,
)
from hyssopring.platform.reports import ReportsResource
from standins.jobs.deployment import a_job, settled, starts_of
from standins.jobs.worker import ENDS_LISTED
from standins.runner_wire import OWN_HOST

GOOD = {
    'service': 'service',
    'state': 'ready',
    'sequence': 4,
    'clockMs': 1000,
    'freeCapacity': {'cpu': 4000, 'memMb': 8000, 'gpu': 0},
    'labels': ['a'],
    'remainingMs': 0,
    'more': 'an unknown field',
}


class Reports:
    def __init__(self):
        self.heartbeats, self.deregistered = [], []
        self.resource = ReportsResource(
            self.heartbeats.append, self.deregistered.append, (OWN_HOST,)
        )

    def post(self, body, boot='i-1', verb='heartbeat'):
        request = DummyRequest([])
        request.client = IPv4Address('TCP', OWN_HOST, 1)
        request.path = f'/-/instances/{boot}/{verb}'.encode('latin-1')
        request.content = io.BytesIO(body)
        request.responseCode = 200
        self.resource.render_POST(request)
        return request.responseCode

    def send_heartbeat(self, **changes):
        return self.post(json.dumps({**GOOD, **changes}).encode())


MALFORMED_FIELDS = [
    *(
        {'sequence': malformed}
        for malformed in ('5', None, -1, 1.5, 10**30, True, [])
    ),
    *({'sequence': malformed} for malformed in (float('nan'), float('inf'))),
    *({'clockMs': malformed} for malformed in ('5', None, -1, 10**30)),
    *({'remainingMs': malformed} for malformed in ('5', None, -1, 10**30)),
    *({'state': malformed} for malformed in ('odd', '', None, 7, [])),
    *({'service': malformed} for malformed in ('', None, 7, [], 'x' * 10_000)),
    *(
        {'labels': malformed}
        for malformed in ('a', None, 7, [7], {'a': 1}, ['a'] * 9999)
    ),
    *({'freeCapacity': malformed} for malformed in (None, 7, [], 'all')),
    *(
        {'freeCapacity': {'cpu': malformed}}
        for malformed in (-1, '4', None, 10**30, 0.5)
    ),
    *(
        {'freeCapacity': {'memMb': malformed}}
        for malformed in (-1, float('nan'))
    ),
]


@pytest.mark.parametrize('changes', MALFORMED_FIELDS)
def test_malformed_heartbeat_is_rejected_and_the_next_one_accepted(
    changes, errors
):  # noqa: F811
    reports = Reports()
    assert reports.send_heartbeat(**changes) == 400
    assert not reports.heartbeats and len(errors) == 1
    assert reports.send_heartbeat() == 200
    assert reports.heartbeats[0].capacity.cpu_millis == 4000


@pytest.mark.parametrize(
    'body', [b'', b'\xff\xfe', b'{', b'[]', b'7', b'{}', b'[' * 100_000]
)
def test_undecodable_heartbeat_is_rejected(body, errors):  # noqa: F811
    reports = Reports()
    assert reports.post(body) == 400
    assert not reports.heartbeats and len(errors) == 1


@pytest.mark.parametrize('field', ['service', 'state', 'sequence'])
def test_heartbeat_without_a_required_field_is_rejected(field):
    reports = Reports()
    fields = {name: GOOD[name] for name in GOOD if name != field}
    assert reports.post(json.dumps(fields).encode()) == 400


@pytest.mark.parametrize('verb', ['heartbeat', 'deregister'])
@pytest.mark.parametrize('boot', ['', '\xff', 'a b', '%0d%0a', 'x' * 500])
def test_malformed_boot_name_is_rejected(boot, verb, errors):  # noqa: F811
    reports = Reports()
    assert reports.post(json.dumps(GOOD).encode(), boot, verb) == 400
    assert (
        not reports.heartbeats and not reports.deregistered and len(errors) == 1
    )


def test_mutated_heartbeats_are_accepted_or_rejected():
    rng = random.Random(1)
    for _round in range(500):
        body = json.dumps(mutated(rng, GOOD)).encode()
        reports = Reports()
        assert reports.post(body) in {200, 400}


TASK = '5c0e7a21d94b36f8.0.1.17'
RUNNING_ROW = [TASK, 2, 'c', 41, 1000]
FINISHED_ROW = [58, '5c0e7a21d94b36f8.0.1.9', 1, 'done', '']


def poll(worker, **fields):
    worker._client = FakeJsonClient(200, {'clockMs': 1, **fields})
    return result_of(worker.poll(type('PollRequest', (), POLL_REQUEST)))


@pytest.mark.parametrize('how', ['odd', '', None, 7, [], {}])
def test_unknown_end_is_read_as_stopped(how, errors):  # noqa: F811
    worker = worker_with(None)
    malformed = [57, TASK, 2, how, 'c']
    for _repetition in range(3):
        listing = poll(worker, finished=[malformed, FINISHED_ROW])
    assert [end.how for end in listing.ends] == [
        AttemptEnd.STOPPED,
        AttemptEnd.DONE,
    ]
    assert len(errors) == 1


@pytest.mark.parametrize(
    'malformed',
    [
        [59, 'no task', 1, 'done', ''],
        [59, None, 1, 'done', ''],
        [59, TASK, 'x', 'done', ''],
        [59],
        [59, '5c0e7a21d94b36f8.0.1.x', 1, 'done', ''],
    ],
)
def test_end_without_a_valid_attempt_is_acknowledged(malformed, errors):  # noqa: F811
    worker, ends = worker_with(None), EndTable()
    for _repetition in range(3):
        listing = poll(worker, finished=[FINISHED_ROW, malformed])
    assert [end.number for end in listing.ends] == [58]
    ends.add(listing.ends[0])
    ends.skip(listing.last_unidentified_end)
    assert ends.durable_up_to() == 57
    ends.forget([58])
    assert ends.durable_up_to() == 59
    assert len(errors) == 1


@pytest.mark.parametrize(
    'malformed', [None, 7, 'x', {}, [], ['x', 1, '', 0, 0]]
)
def test_malformed_row_of_a_running_task_hides_no_other(malformed, errors):  # noqa: F811
    worker = worker_with(None)
    for _repetition in range(3):
        listing = poll(
            worker, running=[malformed, RUNNING_ROW], finished=[FINISHED_ROW]
        )
    assert [row.task for row in listing.rows] == [TASK]
    assert len(listing.ends) == 1
    assert not listing.is_complete and len(errors) == 1
    assert not listing.has_more_ends


@pytest.mark.parametrize('malformed', [0, 1, ENDS_LISTED])
def test_listing_with_a_full_page_of_ends_is_incomplete(malformed, errors):  # noqa: F811
    """Guards against taking an attempt with a later end for lost."""
    ends = [
        [number, TASK if number > malformed else 'no task', number, 'done', '']
        for number in range(1, ENDS_LISTED + 1)
    ]
    worker = worker_with(None)
    listing = poll(worker, finished=ends)
    assert listing.has_more_ends and not listing.is_complete
    assert poll(worker, finished=ends[1:]).is_complete


@pytest.mark.parametrize(
    'row', [[TASK], [TASK, 'x', 7, None, []], [TASK, -1, '', 10**30, '']]
)
def test_task_of_a_malformed_row_counts_as_running(row):
    listing = poll(worker_with(None), running=[row])
    assert listing.is_complete and listing.rows[0].task == TASK
    table = AttemptTable()
    assert table.update_listed(listing.rows[0], 0, 0).number == 0


def test_listing_with_a_malformed_field_fails(errors):  # noqa: F811
    worker = worker_with(None)
    for _repetition in range(3):
        assert poll(worker, clockMs='x').check(WorkerUnreachable)
        assert poll(worker, finished=7).check(WorkerUnreachable)
    assert len(errors) == 1


def test_mutated_listings_are_read_or_rejected():
    rng = random.Random(2)
    worker = worker_with(None)
    good = {'clockMs': 4, 'running': [RUNNING_ROW], 'finished': [FINISHED_ROW]}
    for _round in range(500):
        fields = mutated(rng, good)
        if not isinstance(fields, dict):
            continue
        worker._client = FakeJsonClient(200, fields)
        listing = result_of(worker.poll(type('PollRequest', (), POLL_REQUEST)))
        assert isinstance(listing, Listing) or listing.check(WorkerUnreachable)


def test_attempt_with_a_malformed_row_is_not_started_again():
    """The worker lists a row without a task name in place of the task's."""
    deployment = settled(work_ms=lambda task: 6000)
    for worker in deployment.workers:
        worker._poll = hide_rows(worker, worker._poll)
    job = a_job(steps=((4, ()),))
    deployment.submit(job)
    deployment.run(5)
    assert len(starts_of(deployment, job)) == 4


def hide_rows(worker, original_poll):
    def poll_without_rows(request):
        listing = original_poll(request)
        return Listing(listing.clock_ms, (), listing.ends, not listing.rows)

    return poll_without_rows


ANSWERS = [
    (status, fields)
    for status in (200, 400, 404, 409, 418, 429, 500, 503)
    for fields in ({}, *({'reason': odd} for odd in (None, 7, [], {}, 'odd')))
]


@pytest.mark.parametrize(('status', 'fields'), ANSWERS)
def test_malformed_answer_of_an_order_is_no_success_of_another_kind(
    status, fields
):
    """Guards against an error in the agent; the order is sent again or not."""
    worker = worker_with(FakeJsonClient(status, {**fields, 'clockMs': 'x'}))
    start = StartRequest('i-1', 1, TASK, 2, 'spec', '', 1000, '')
    outcome = result_of(worker.start(start))
    if status == 200:
        assert outcome is StartOutcome.STARTED
    elif isinstance(outcome, StartOutcome):
        assert outcome is not StartOutcome.STARTED
    else:
        assert outcome.check(WorkerUnreachable)
    for answer in (
        worker.stop('i-1', 1, TASK, 2),
        worker.set_pace('i-1', 1, TASK, 2, 50),
    ):
        stopped = result_of(answer)
        is_accepted = status in {200, 409}
        assert (
            stopped.status == status
            if is_accepted
            else stopped.check(WorkerUnreachable)
        )
