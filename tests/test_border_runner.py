"""What a runner says of itself, whole or broken: the others hold."""

import io
import json
import random

import pytest
from border_support import mutated
from test_platform import LOOK, Answers, result_of, worker_with
from twisted.internet.address import IPv4Address
from twisted.web.test.requesthelper import DummyRequest

from hyssopring.jobs.attempts import AttemptTable
from hyssopring.jobs.end_table import EndTable
from hyssopring.jobs.model import AttemptEnd
from hyssopring.jobs.worker_port import Listing, WorkerUnreachable
from hyssopring.platform.reports import ReportsResource
from standins.jobs.deployment import a_job, settled, starts_of
from standins.runner_wire import OWN_HOST

GOOD = {
    'service': 'service',
    'state': 'ready',
    'sequence': 4,
    'clockMs': 1000,
    'freeCapacity': {'cpu': 4000, 'memMb': 8000, 'gpu': 0},
    'labels': ['a'],
    'remainingMs': 0,
    'more': 'is left unread',
}


class Reports:
    def __init__(self):
        self.told, self.left = [], []
        self.resource = ReportsResource(
            self.told.append, self.left.append, (OWN_HOST,)
        )

    def post(self, body, boot='i-1', verb='heartbeat'):
        request = DummyRequest([])
        request.client = IPv4Address('TCP', OWN_HOST, 1)
        request.path = f'/-/instances/{boot}/{verb}'.encode('latin-1')
        request.content = io.BytesIO(body)
        request.responseCode = 200
        self.resource.render_POST(request)
        return request.responseCode

    def beat(self, **changes):
        return self.post(json.dumps({**GOOD, **changes}).encode())


ODD_FIELDS = [
    *({'sequence': odd} for odd in ('5', None, -1, 1.5, 10**30, True, [])),
    *({'sequence': odd} for odd in (float('nan'), float('inf'))),
    *({'clockMs': odd} for odd in ('5', None, -1, 10**30)),
    *({'remainingMs': odd} for odd in ('5', None, -1, 10**30)),
    *({'state': odd} for odd in ('odd', '', None, 7, [])),
    *({'service': odd} for odd in ('', None, 7, [], 'x' * 10_000)),
    *({'labels': odd} for odd in ('a', None, 7, [7], {'a': 1}, ['a'] * 9999)),
    *({'freeCapacity': odd} for odd in (None, 7, [], 'all')),
    *({'freeCapacity': {'cpu': odd}} for odd in (-1, '4', None, 10**30, 0.5)),
    *({'freeCapacity': {'memMb': odd}} for odd in (-1, float('nan'))),
]


@pytest.mark.parametrize('changes', ODD_FIELDS)
def test_an_odd_heartbeat_is_refused_and_the_next_one_counts(changes, errors):  # noqa: F811
    reports = Reports()
    assert reports.beat(**changes) == 400
    assert not reports.told and len(errors) == 1
    assert reports.beat() == 200
    assert reports.told[0].room.cpu_millis == 4000


@pytest.mark.parametrize(
    'body', [b'', b'\xff\xfe', b'{', b'[]', b'7', b'{}', b'[' * 100_000]
)
def test_bytes_that_are_no_heartbeat_are_refused(body, errors):  # noqa: F811
    reports = Reports()
    assert reports.post(body) == 400
    assert not reports.told and len(errors) == 1


@pytest.mark.parametrize('field', ['service', 'state', 'sequence'])
def test_a_heartbeat_without_a_field_is_refused(field):
    reports = Reports()
    fields = {name: GOOD[name] for name in GOOD if name != field}
    assert reports.post(json.dumps(fields).encode()) == 400


@pytest.mark.parametrize('verb', ['heartbeat', 'deregister'])
@pytest.mark.parametrize('boot', ['', '\xff', 'a b', '%0d%0a', 'x' * 500])
def test_an_odd_name_of_a_boot_is_refused(boot, verb, errors):  # noqa: F811
    reports = Reports()
    assert reports.post(json.dumps(GOOD).encode(), boot, verb) == 400
    assert not reports.told and not reports.left and len(errors) == 1


def test_any_heartbeat_is_taken_or_refused():
    rng = random.Random(1)
    for _round in range(500):
        body = json.dumps(mutated(rng, GOOD)).encode()
        reports = Reports()
        assert reports.post(body) in {200, 400}


TASK = '5c0e7a21d94b36f8.0.1.17'
RUNS = [TASK, 2, 'c', 41, 1000]
ENDED = [58, '5c0e7a21d94b36f8.0.1.9', 1, 'done', '']


def look(worker, **fields):
    worker._client = Answers(200, {'clockMs': 1, **fields})
    return result_of(worker.poll(type('PollRequest', (), LOOK)))


@pytest.mark.parametrize('how', ['odd', '', None, 7, [], {}])
def test_an_unknown_way_of_ending_is_an_end_that_is_not_done(how, errors):  # noqa: F811
    worker = worker_with(None)
    odd = [57, TASK, 2, how, 'c']
    for _look in range(3):
        listing = look(worker, finished=[odd, ENDED])
    assert [end.how for end in listing.ends] == [
        AttemptEnd.STOPPED,
        AttemptEnd.DONE,
    ]
    assert len(errors) == 1


@pytest.mark.parametrize(
    'odd',
    [
        [59, 'no task', 1, 'done', ''],
        [59, None, 1, 'done', ''],
        [59, TASK, 'x', 'done', ''],
        [59],
        [59, '5c0e7a21d94b36f8.0.1.x', 1, 'done', ''],
    ],
)
def test_an_end_that_names_no_attempt_is_forgotten_in_the_end(odd, errors):  # noqa: F811
    worker, ends = worker_with(None), EndTable()
    for _look in range(3):
        listing = look(worker, finished=[ENDED, odd])
    assert [end.number for end in listing.ends] == [58]
    ends.add(listing.ends[0])
    ends.skip(listing.last_unidentified_end)
    assert ends.durable_up_to() == 57
    ends.forget([58])
    assert ends.durable_up_to() == 59
    assert len(errors) == 1


@pytest.mark.parametrize('odd', [None, 7, 'x', {}, [], ['x', 1, '', 0, 0]])
def test_an_odd_row_of_what_runs_hides_no_other(odd, errors):  # noqa: F811
    worker = worker_with(None)
    for _look in range(3):
        listing = look(worker, running=[odd, RUNS], finished=[ENDED])
    assert [row.task for row in listing.rows] == [TASK]
    assert len(listing.ends) == 1
    assert not listing.is_complete and len(errors) == 1


@pytest.mark.parametrize(
    'row', [[TASK], [TASK, 'x', 7, None, []], [TASK, -1, '', 10**30, '']]
)
def test_a_task_of_an_odd_row_is_known_to_run(row):
    listing = look(worker_with(None), running=[row])
    assert listing.is_complete and listing.rows[0].task == TASK
    table = AttemptTable()
    assert table.listed(listing.rows[0], 0).number == 0


def test_a_listing_without_its_clock_is_no_listing(errors):  # noqa: F811
    worker = worker_with(None)
    for _look in range(3):
        assert look(worker, clockMs='x').check(WorkerUnreachable)
        assert look(worker, finished=7).check(WorkerUnreachable)
    assert len(errors) == 1


def test_any_listing_is_read_or_refused():
    rng = random.Random(2)
    worker = worker_with(None)
    good = {'clockMs': 4, 'running': [RUNS], 'finished': [ENDED]}
    for _round in range(500):
        fields = mutated(rng, good)
        if not isinstance(fields, dict):
            continue
        worker._client = Answers(200, fields)
        listing = result_of(worker.poll(type('PollRequest', (), LOOK)))
        assert isinstance(listing, Listing) or listing.check(WorkerUnreachable)


def test_an_attempt_whose_row_cannot_be_read_does_not_start_again():
    """The worker lists a row that names nothing in place of the task's."""
    deployment = settled(work_ms=lambda task: 6000)
    for worker in deployment.workers:
        worker._look = blind(worker, worker._look)
    job = a_job(steps=((4, ()),))
    deployment.submit(job)
    deployment.run(5)
    assert len(starts_of(deployment, job)) == 4


def blind(worker, look_as_before):
    def look_blindly(asked):
        listing = look_as_before(asked)
        return Listing(listing.clock_ms, (), listing.ends, not listing.rows)

    return look_blindly
