"""The platform's adapter: names, settings and the translation of calls."""

import json
import pathlib
import re
from dataclasses import replace

import pytest
from twisted.internet.defer import succeed
from twisted.internet.task import Clock

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
from hyssopring.platform.callers import read_job
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


def test_only_the_platform_s_folder_knows_its_names():
    leaks = [
        str(path)
        for path in (ROOT / 'hyssopring').rglob('*.py')
        if 'platform' not in path.parts[-2:]
        and WIRE_NAMES.search(path.read_text())
    ]
    assert not leaks


def node(tmp_path, **changes):
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


def test_settings_are_read_and_unknown_fields_ignored(tmp_path):
    settings = node(tmp_path).unwrap()
    assert settings.inner_address == '127.0.0.1:7720'
    assert settings.seed_addresses == ('10.1.0.13:7720',)


@pytest.mark.parametrize(
    ('changes', 'words'),
    [
        ({'ip': None}, 'ip'),
        ({'internalPorts': 'many'}, 'internalPorts'),
        ({'platform': {}}, 'address'),
        ({'commandMode': 'heartbeat'}, 'commandMode'),
    ],
)
def test_settings_that_cannot_be_used_are_one_clear_line(
    tmp_path, changes, words
):
    line = node(tmp_path, **changes).unwrap_err().detail
    assert words in line and '\n' not in line


def test_a_huge_settings_file_is_refused_by_its_size(tmp_path):
    path = tmp_path / 'node.json'
    path.write_bytes(b' ' * 2_000_000)
    assert 'at most' in load_node_settings(str(path)).unwrap_err().detail


def test_a_submission_becomes_a_job_of_steps():
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
    ],
)
def test_a_body_that_is_cut_short_or_impossible_is_refused(body):
    with pytest.raises(ValueError):  # noqa: PT011
        read_job('5c0e7a21d94b36f8', Queue('q', 's'), body)


def test_the_longest_path_of_a_host_wins():
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


class Answers:
    """Stands for the HTTP client: gives one answer, or fails."""

    def __init__(self, status=200, fields=None, error=None):
        self.answer = JsonResponse(status, fields or {})
        self.error = error
        self.calls = []
        self.closings = 0

    def close_idle(self):
        self.closings += 1

    def call(self, *call, silence_ms=None):
        self.calls.append(call)
        answer = succeed(self.answer)
        if self.error:
            answer.addCallback(self._fail)
        return answer

    def _fail(self, _answer):
        raise self.error


def result_of(deferred):
    outcomes = []
    deferred.addBoth(outcomes.append)
    return outcomes[0]


def store_with(answers):
    store = PlatformStore(Clock(), '127.0.0.1:1', Metrics())
    store._client = answers
    return store


PLACE = RowKey('my', 'p7', 'owner')


@pytest.mark.parametrize(
    ('answers', 'error'),
    [
        (Answers(503), StoreRefused),
        (Answers(429), StoreRefused),
        (Answers(500), StoreUncertain),
        (Answers(error=TimeoutError()), StoreUncertain),
    ],
)
def test_a_commit_without_a_clear_answer_is_in_doubt_and_never_refused(
    answers, error
):
    assert result_of(store_with(answers).commit(Transaction())).check(error)


def test_a_conflict_names_the_rows_that_exist():
    row = {
        'table': 'my',
        'part': 'p7',
        'key': 'owner',
        'value': 'bm9kZS0x',
        'ver': 412,
    }
    answers = Answers(412, {'rows': [row], 'ver': 412})
    conflict = result_of(
        store_with(answers).commit(Transaction((RowCheck(PLACE, 0),)))
    )
    assert isinstance(conflict, Conflict) and conflict.rows[0].text == 'node-1'
    sent = answers.calls[0][2]
    assert sent['precondition'] == [
        {'table': 'my', 'part': 'p7', 'key': 'owner', 'ver': 0}
    ]


def worker_with(answers):
    worker = PlatformWorker(None, '127.0.0.1:1')
    worker._client = answers
    return worker


START = StartRequest('i-1', 7, '5c0e7a21d94b36f8.0.1.17', 2, 'text', '', 486000)


@pytest.mark.parametrize(
    ('answers', 'outcome'),
    [
        (Answers(200, {'clockMs': 1}), StartOutcome.STARTED),
        (Answers(409, {'reason': 'fence'}), StartOutcome.FENCED),
        (Answers(409, {'reason': 'old'}), StartOutcome.OLD),
        (Answers(409, {'reason': 'room'}), StartOutcome.NO_ROOM),
        (Answers(409, {'reason': 'ticket'}), StartOutcome.BAD_TICKET),
        (Answers(503), StartOutcome.UNHEALTHY),
    ],
)
def test_a_start_s_answer_is_translated(answers, outcome):
    assert result_of(worker_with(answers).start(START)) is outcome
    assert answers.calls[0][4] == (('Expected-Instance', 'i-1'),)
    assert 'checkpoint' not in answers.calls[0][2]
    assert 'ticket' not in answers.calls[0][2]


def test_a_start_carries_its_ticket():
    answers = Answers(200, {'clockMs': 1})
    worker_with(answers).start(replace(START, ticket='c81e-7a21d94b'))
    assert answers.calls[0][2]['ticket'] == 'c81e-7a21d94b'


QUESTION = AdviceQuery('5c0e7a21d94b36f8.0.1', ('i-1', 'i-2'), 250)


def advice_with(answers):
    advice = PlatformAdvice(None, '127.0.0.1:1')
    advice._client = answers
    return advice


def test_a_question_and_its_answer_are_translated():
    answers = Answers(200, {'approved': [['i-2', 'c8-7']], 'validMs': 3000})
    advised = result_of(advice_with(answers).ask(QUESTION))
    assert advised.ticket_by_boot == {'i-2': 'c8-7'}
    assert advised.valid_ms == 3000
    method, path, fields, limit_ms = answers.calls[0]
    assert (method, path) == ('POST', '/-/advise')
    assert fields == {'step': QUESTION.step, 'workers': ['i-1', 'i-2']}
    assert limit_ms > 500


def test_nobody_approved_is_an_answer():
    for fields in ({'approved': []}, {'approved': [], 'validMs': 3000}):
        advised = result_of(advice_with(Answers(200, fields)).ask(QUESTION))
        assert advised.ticket_by_boot == {}


@pytest.mark.parametrize(
    'answers',
    [
        Answers(429),
        Answers(503),
        Answers(500),
        Answers(200, {'approved': 'i-2'}),
        Answers(200, {'approved': [['i-2']]}),
        Answers(200, {'approved': None}),
        Answers(200, {'approved': [], 'validMs': 'soon'}),
        Answers(error=TimeoutError()),
    ],
)
def test_what_is_no_answer_says_why(answers):
    failure = result_of(advice_with(answers).ask(QUESTION))
    assert failure.check(AdviceUnavailable) and str(failure.value)


def test_without_an_address_each_question_fails():
    asked = advice_client_for(None, '').ask(QUESTION)
    assert result_of(asked).check(AdviceUnavailable)


def test_a_queue_s_recommendation_is_its_advice():
    route = {
        'name': 'a',
        'host': 'h.example',
        'pathPrefix': '/a/',
        'service': 's',
    }
    asks = {'decisionMs': 120, 'perItemMs': 4.5, 'validMs': 3000}
    document = {
        'version': 3,
        'routes': [
            {**route, 'recommendation': asks},
            {**route, 'name': 'b', 'pathPrefix': '/b/'},
        ],
    }
    table = read_configuration(json.dumps(document))
    queue = table.find('h.example', '/a/x').queue
    assert queue.advice == AdviceTiming(120, 4.5, 3000)
    assert table.find('h.example', '/b/x').queue.advice is None


def test_a_stored_job_keeps_its_queue_s_advice_and_older_rows_are_read():
    plain = Queue('q', 's', 0, 1, 2, 100)
    for queue in (plain, replace(plain, advice=AdviceTiming(120, 4.5, 3000))):
        row = JobRow(Job('1' * 16, queue, 'x', (Step(1, Size(1)),)), 5)
        assert JobRow.from_text(row.to_text()) == row
    assert (
        'advice'
        not in JobRow(
            Job('1' * 16, plain, 'x', (Step(1, Size(1)),)), 5
        ).to_text()
    )


def test_another_incarnation_is_told_from_silence():
    assert result_of(worker_with(Answers(421)).start(START)).check(
        WorkerReplaced
    )


def test_a_listing_is_translated():
    fields = {
        'clockMs': 482113,
        'running': [['5c0e7a21d94b36f8.0.1.17', 2, 'c', 41, 1000]],
        'finished': [[58, '5c0e7a21d94b36f8.0.1.9', 1, 'lapsed', '']],
    }
    listing = result_of(
        worker_with(Answers(200, fields)).poll(type('PollRequest', (), LOOK))
    )
    assert listing.rows[0].percent == 41 and listing.rows[0].load == 1000
    assert listing.ends[0].how is AttemptEnd.LOST


LOOK = {
    'boot': 'i-1',
    'fence': 1,
    'acked_through': 0,
    'hold_until_ms': None,
    'wait_ms': 0,
    'timeout_ms': 700,
}
