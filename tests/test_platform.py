"""Adapter to the users' platform: wire names, settings, translated calls."""

import json
import pathlib
import re
from dataclasses import replace

import pytest
from twisted.internet.defer import succeed
from twisted.internet.task import Clock
from twisted.web.test.requesthelper import DummyRequest

from hyssopring.clock import ManualClock
from hyssopring.jobs.advice_client import AdviceUnavailable, AdviceQuery
from hyssopring.jobs.documents import JobRow
from hyssopring.jobs.model import (
    AdviceTiming,
    AttemptEnd,
    Job,
    Queue,
    Size,
    Step,
)
from hyssopring.jobs.rows import (
    Conflict,
    RowCheck,
    RowKey,
    StoreRefused,
    StoreUncertain,
    Transaction,
)
from hyssopring.jobs.worker_port import (
    StartRequest,
    StartOutcome,
    WorkerReplaced,
)
from hyssopring.metrics import Metrics
from hyssopring.platform.advice import PlatformAdvice, advice_client_for
from hyssopring.platform.callers import CallersResource, read_job
from hyssopring.platform.configuration import read_configuration
from hyssopring.platform.json_calls import JsonResponse
from hyssopring.platform.settings import load_node_settings
from hyssopring.platform.store import PlatformStore
from hyssopring.platform.worker import PlatformWorker

ROOT = pathlib.Path(__file__).resolve().parent.parent
WIRE_NAMES = re.compile(
    'run-start|run-stop|rows-tx|rows-get|rows-feed|untilMs|fencingToken|freeCapacity|lastSeen|pathPrefix|'
    '/-/advise|perItemMs|decisionMs|recommendation|longRunning|localitySensitive|antiAffinity|checkpointing|runId|memMb|clockMs|HYSSOPRING_NODE_FILE'
)


def test_wire_names_occur_in_the_platform_folder_only():
    paths_with_wire_names = [
        str(path)
        for path in (ROOT / 'hyssopring').rglob('*.py')
        if 'platform' not in path.parts[-2:]
        and WIRE_NAMES.search(path.read_text())
    ]
    assert not paths_with_wire_names


def load_node(tmp_path, **changes):
    document = {
        'nodeName': 'edge-1',
        'ip': '127.0.0.1',
        'zone': 'z',
        'bindAddresses': {
            'frontend': '127.0.0.1:1',
            'ready': '127.0.0.1:2',
            'controlPlane': '127.0.0.1:3',
        },
        'internalPorts': [7720, 7735],
        'seeds': ['10.1.0.13:8166'],
        'platform': {'address': '10.200.1.7:8169', 'form': 'table'},
        'commandMode': 'invocation',
        'aFieldOfTheFuture': {'x': 1},
        **changes,
    }
    path = tmp_path / 'node.json'
    path.write_text(json.dumps(document))
    return load_node_settings(str(path))


def test_settings_are_loaded_and_unknown_fields_ignored(tmp_path):
    settings = load_node(tmp_path).unwrap()
    assert settings.inner_address == '127.0.0.1:7720'
    assert settings.seed_addresses == ('10.1.0.13:7720',)


@pytest.mark.parametrize(
    ('changes', 'expected_text'),
    [
        ({'ip': None}, 'ip'),
        ({'internalPorts': 'many'}, 'internalPorts'),
        ({'platform': {}}, 'address'),
        ({'commandMode': 'heartbeat'}, 'commandMode'),
    ],
)
def test_invalid_settings_are_reported_in_one_line_naming_the_field(
    tmp_path, changes, expected_text
):
    detail = load_node(tmp_path, **changes).unwrap_err().detail
    assert expected_text in detail and '\n' not in detail


def test_oversized_settings_file_is_rejected(tmp_path):
    path = tmp_path / 'node.json'
    path.write_bytes(b' ' * 2_000_000)
    assert 'at most' in load_node_settings(str(path)).unwrap_err().detail


def test_submission_is_parsed_into_a_job_with_steps():
    body = {
        'spec': 'text',
        'steps': [
            {
                'count': 4,
                'cpu': 500,
                'memMb': 256,
                'estimateMs': 900,
                'affinity': 'r1-3',
            },
            {
                'count': 20,
                'cpu': 2000,
                'memMb': 1024,
                'estimateMs': 7000,
                'after': [0],
                'checkpointing': True,
            },
        ],
    }
    job = read_job(
        '5c0e7a21d94b36f8', Queue('q', 's'), json.dumps(body).encode()
    )
    assert (
        job.steps[0].rack == 'r1-3'
        and job.steps[1].after == (0,)
        and job.steps[1].saves
    )
    assert job.critical_path_ms == 7900


@pytest.mark.parametrize(
    'body',
    [
        b'',
        b'{"steps":[{"count":4',
        b'{"steps":[]}',
        b'{"steps":[{"count":1,"after":[0]}]}',
        b'{"steps":[{"count":1,"cpu":-1}]}',
        b'{"steps":[{"count":1,"cpu":1%s}]}' % (b'0' * 400),
        b'{"steps":[{"count":1,"targetMs":1%s}]}' % (b'0' * 30),
        b'{"steps":[{"count":1}],"firstRunMs":1%s}' % (b'0' * 400),
        b'{"steps":[{"count":1}],"repeatCount":1000000000}',
        b'{"steps":[{"count":1}],"later":%s}' % (b'[' * 5000),
    ],
)
def test_truncated_or_invalid_submission_is_rejected(body):
    with pytest.raises(ValueError):  # noqa: PT011
        read_job('5c0e7a21d94b36f8', Queue('q', 's'), body)


@pytest.mark.parametrize(
    'header', ['', '\xb2', '-1', '1e9', ' 5', '9' * 400, '9' * 5000]
)
def test_malformed_deadline_counts_as_none(header):
    """Guards against an error, or a timer that never fires."""
    request = DummyRequest([])
    request.requestHeaders.setRawHeaders('deadline-ms', [header])
    resource = CallersResource(ManualClock(), None)
    default_ms = resource._response_deadline(DummyRequest([]), 1)
    assert resource._response_deadline(request, 1) == default_ms


def test_queue_with_the_longest_matching_path_prefix_is_found():
    route = {
        'name': 'a',
        'host': 'h.example',
        'pathPrefix': '/a/',
        'service': 's',
        'type': 'non_idempotent',
    }
    longer = {**route, 'name': 'b', 'pathPrefix': '/a/b/'}
    table = read_configuration(
        json.dumps({'version': 7, 'routes': [route, longer]})
    )
    assert table.find('H.example', '/a/b/x').queue.name == 'b'
    assert table.find('h.example', '/a/x').queue.name == 'a'
    assert table.find('other.example', '/a/x') is None


class FakeJsonClient:
    """Replaces ``JsonClient``: returns one response or fails."""

    def __init__(self, status=200, fields=None, error=None):
        self.response = JsonResponse(status, fields or {})
        self.error = error
        self.calls = []
        self.idle_closings = 0

    def close_idle(self):
        self.idle_closings += 1

    def call(self, *arguments, silence_ms=None):
        self.calls.append(arguments)
        response = succeed(self.response)
        if self.error:
            response.addCallback(self._fail)
        return response

    def _fail(self, _response):
        raise self.error


def result_of(deferred):
    outcomes = []
    deferred.addBoth(outcomes.append)
    return outcomes[0]


def store_with(client):
    store = PlatformStore(Clock(), '127.0.0.1:1', Metrics())
    store._client = client
    return store


OWNER_KEY = RowKey('my', 'p7', 'owner')


@pytest.mark.parametrize(
    ('client', 'error'),
    [
        (FakeJsonClient(503), StoreRefused),
        (FakeJsonClient(429), StoreRefused),
        (FakeJsonClient(500), StoreUncertain),
        (FakeJsonClient(error=TimeoutError()), StoreUncertain),
    ],
)
def test_commit_without_a_clear_response_is_unconfirmed_and_not_refused(
    client, error
):
    assert result_of(store_with(client).commit(Transaction())).check(error)


def test_conflict_contains_the_rows_that_exist():
    row = {
        'table': 'my',
        'part': 'p7',
        'key': 'owner',
        'value': 'bm9kZS0x',
        'ver': 412,
    }
    client = FakeJsonClient(412, {'rows': [row], 'ver': 412})
    conflict = result_of(
        store_with(client).commit(Transaction((RowCheck(OWNER_KEY, 0),)))
    )
    assert isinstance(conflict, Conflict) and conflict.rows[0].text == 'node-1'
    sent_fields = client.calls[0][2]
    assert sent_fields['precondition'] == [
        {'table': 'my', 'part': 'p7', 'key': 'owner', 'ver': 0}
    ]


def worker_with(client):
    worker = PlatformWorker(None, '127.0.0.1:1')
    worker._client = client
    return worker


START_REQUEST = StartRequest(
    'i-1', 7, '5c0e7a21d94b36f8.0.1.17', 2, 'text', '', 486000
)


@pytest.mark.parametrize(
    ('client', 'outcome'),
    [
        (FakeJsonClient(200, {'clockMs': 1}), StartOutcome.STARTED),
        (FakeJsonClient(409, {'reason': 'fence'}), StartOutcome.FENCED),
        (FakeJsonClient(409, {'reason': 'old'}), StartOutcome.OLD),
        (FakeJsonClient(409, {'reason': 'room'}), StartOutcome.NO_ROOM),
        (FakeJsonClient(409, {'reason': 'ticket'}), StartOutcome.BAD_TICKET),
        (FakeJsonClient(503), StartOutcome.UNHEALTHY),
    ],
)
def test_response_to_a_start_is_translated(client, outcome):
    assert result_of(worker_with(client).start(START_REQUEST)) is outcome
    assert client.calls[0][4] == (('Expected-Instance', 'i-1'),)
    assert 'checkpoint' not in client.calls[0][2]
    assert 'ticket' not in client.calls[0][2]


def test_start_request_contains_its_ticket():
    client = FakeJsonClient(200, {'clockMs': 1})
    worker_with(client).start(replace(START_REQUEST, ticket='c81e-7a21d94b'))
    assert client.calls[0][2]['ticket'] == 'c81e-7a21d94b'


QUERY = AdviceQuery('5c0e7a21d94b36f8.0.1', ('i-1', 'i-2'), 250)


def advice_with(client):
    advice_client = PlatformAdvice(None, '127.0.0.1:1')
    advice_client._client = client
    return advice_client


def test_advice_query_and_answer_are_translated():
    client = FakeJsonClient(
        200, {'approved': [['i-2', 'c8-7']], 'validMs': 3000}
    )
    answer = result_of(advice_with(client).ask(QUERY))
    assert answer.ticket_by_boot == {'i-2': 'c8-7'}
    assert answer.valid_ms == 3000
    method, path, fields, timeout_ms = client.calls[0]
    assert (method, path) == ('POST', '/-/advise')
    assert fields == {'step': QUERY.step, 'workers': ['i-1', 'i-2']}
    assert timeout_ms > 500


def test_advice_without_approved_workers_is_a_valid_answer():
    for fields in ({'approved': []}, {'approved': [], 'validMs': 3000}):
        answer = result_of(advice_with(FakeJsonClient(200, fields)).ask(QUERY))
        assert answer.ticket_by_boot == {}


@pytest.mark.parametrize(
    'client',
    [
        FakeJsonClient(429),
        FakeJsonClient(503),
        FakeJsonClient(500),
        FakeJsonClient(200, {'approved': 'i-2'}),
        FakeJsonClient(200, {'approved': [['i-2']]}),
        FakeJsonClient(200, {'approved': None}),
        FakeJsonClient(200, {'approved': [], 'validMs': 'soon'}),
        FakeJsonClient(error=TimeoutError()),
    ],
)
def test_invalid_advice_response_fails_with_a_reason(client):
    failure = result_of(advice_with(client).ask(QUERY))
    assert failure.check(AdviceUnavailable) and str(failure.value)


def test_advice_query_fails_without_an_address():
    answer = advice_client_for(None, '').ask(QUERY)
    assert result_of(answer).check(AdviceUnavailable)


def test_recommendation_of_a_route_is_the_advice_timing_of_its_queue():
    route = {
        'name': 'a',
        'host': 'h.example',
        'pathPrefix': '/a/',
        'service': 's',
    }
    recommendation = {'decisionMs': 120, 'perItemMs': 4.5, 'validMs': 3000}
    document = {
        'version': 3,
        'routes': [
            {**route, 'recommendation': recommendation},
            {**route, 'name': 'b', 'pathPrefix': '/b/'},
        ],
    }
    table = read_configuration(json.dumps(document))
    queue = table.find('h.example', '/a/x').queue
    assert queue.advice == AdviceTiming(120, 4.5, 3000)
    assert table.find('h.example', '/b/x').queue.advice is None


def test_job_row_contains_the_advice_timing_only_if_the_queue_has_one():
    plain_queue = Queue('q', 's', 0, 1, 2, 100)
    for queue in (
        plain_queue,
        replace(plain_queue, advice=AdviceTiming(120, 4.5, 3000)),
    ):
        row = JobRow(Job('1' * 16, queue, 'x', (Step(1, Size(1)),)), 5)
        assert JobRow.from_text(row.to_text()) == row
    assert (
        'advice'
        not in JobRow(
            Job('1' * 16, plain_queue, 'x', (Step(1, Size(1)),)), 5
        ).to_text()
    )


def test_response_of_another_incarnation_raises_worker_replaced():
    assert result_of(
        worker_with(FakeJsonClient(421)).start(START_REQUEST)
    ).check(WorkerReplaced)


def test_listing_is_translated():
    fields = {
        'clockMs': 482113,
        'running': [['5c0e7a21d94b36f8.0.1.17', 2, 'c', 41, 1000]],
        'finished': [[58, '5c0e7a21d94b36f8.0.1.9', 1, 'lapsed', '']],
    }
    listing = result_of(
        worker_with(FakeJsonClient(200, fields)).poll(
            type('PollRequest', (), POLL_REQUEST)
        )
    )
    assert listing.rows[0].percent == 41 and listing.rows[0].load == 1000
    assert listing.ends[0].how is AttemptEnd.LOST


POLL_REQUEST = {
    'boot': 'i-1',
    'fence': 1,
    'acked_through': 0,
    'hold_until_ms': None,
    'wait_ms': 0,
    'timeout_ms': 700,
}
