"""Malformed reports of a worker leave what its agent knows unchanged."""

import io
import json
import struct

import pytest
from test_border_runner import GOOD
from test_platform import POLL_REQUEST, FakeJsonClient, result_of, worker_with
from twisted.internet.address import IPv4Address
from twisted.web.test.requesthelper import DummyRequest

from hyssopring.clock import ManualClock
from hyssopring.jobs.announced_state import AnnouncedState
from hyssopring.jobs.messages import AgentLeft, EndReport, pack
from hyssopring.jobs.model import JobState, Size
from hyssopring.jobs.times import CAPACITY_TTL_MS
from hyssopring.jobs.worker_port import Announcement
from hyssopring.platform.incarnation import boot_name
from hyssopring.platform.json_calls import MalformedResponseError, _parse
from hyssopring.web_client import FetchedResponse
from standins.jobs.deployment import a_job, settled, starts_of
from standins.runner_wire import OWN_HOST, report_fields

TASK = '5c0e7a21d94b36f8.0.1.17'
DEEP = b'[' * 5000 + b']' * 5000
READ_FIELDS = ('service', 'state', 'sequence', 'freeCapacity')


def malformed_bodies():
    """Return bodies by name, each a malformed heartbeat."""
    good = json.dumps(GOOD)
    bodies = {
        'empty': b'',
        'array': b'[%s]' % good.encode(),
        'text': b'"x"',
        'null': b'null',
        'truncated': good[:-5].encode(),
        'latin-1': good.replace('"a"', '"\xe9"').encode('latin-1'),
        'utf-16': good.encode('utf-16'),
        'msgpack': b'\x82\xa7service\xa1s\xa5state\xa5ready',
        'cbor': b'\xa2\x67service\x61s\x65state\x65ready',
        'thrift': struct.pack('!bhi', 11, 1, 1) + b's\x00',
        'deep': DEEP,
        'deep field': good[:-1].encode() + b', "more2": ' + DEEP + b'}',
        'half a surrogate pair': good.replace('"a"', '"\\ud800"').encode(),
    }
    for field in READ_FIELDS:
        kept = {name: GOOD[name] for name in GOOD if name != field}
        bodies[f'no {field}'] = json.dumps(kept).encode()
    for field in (*READ_FIELDS, 'labels', 'clockMs', 'remainingMs'):
        bodies[f'null {field}'] = json.dumps({**GOOD, field: None}).encode()
    for field in ('cpu', 'memMb'):
        room = {name: 1 for name in ('cpu', 'memMb', 'gpu') if name != field}
        body = json.dumps({**GOOD, 'freeCapacity': room})
        bodies[f'no {field}'] = body.encode()
    return bodies


BODIES = malformed_bodies()


def post(agent, worker, body, verb='heartbeat'):
    request = DummyRequest([])
    request.client = IPv4Address('TCP', OWN_HOST, 1)
    request.path = f'/-/instances/{worker.boot}/{verb}'.encode()
    request.content = io.BytesIO(body)
    request.responseCode = 200
    agent.reports.render_POST(request)
    return request.responseCode


@pytest.fixture
def pair():
    """One worker that reports in HTTP, and its agent."""
    deployment = settled(workers=1, keeps_ids=True)
    agent, worker = deployment.agents['agent-0'], deployment.workers[0]
    worker.can_announce = False
    return deployment, agent, worker


def known(agent):
    announced = agent.core.monitor.announced
    return (
        agent.core.monitor.boot,
        announced.service,
        announced.capacity,
        announced.labels,
        announced.is_leaving,
        announced.deregistered_at,
    )


@pytest.mark.parametrize('name', BODIES)
def test_malformed_heartbeat_changes_nothing_that_is_known(pair, name, errors):
    deployment, agent, worker = pair
    before = known(agent)
    assert post(agent, worker, BODIES[name]) == 400
    deployment.run(0.1)
    assert known(agent) == before and len(errors) == 1
    worker.can_announce = True
    worker.resize(Size(20_000, 64_000, 0))
    deployment.run(2)
    assert agent.core.monitor.announced.capacity.cpu_millis == 20_000
    job = a_job()
    deployment.submit(job)
    deployment.run(4)
    assert deployment.state(job.job_id) is JobState.COMPLETED
    assert len(errors) == 1


@pytest.mark.parametrize(
    'body',
    [b'x', b'\xff', b'[]', b'7', DEEP, b'{"born": ' + DEEP + b'}'],
    ids=['text', 'bytes', 'array', 'number', 'deep', 'deep start'],
)
def test_unreadable_deregistration_ends_nothing(pair, body, errors):
    """Guards against one that ends an incarnation that it may not name.

    Deep nesting raised an error in the reactor.
    """
    deployment, agent, worker = pair
    worker.is_leaving = worker.can_announce = True
    deployment.run(2)
    assert post(agent, worker, body, 'deregister') == 400
    assert agent.core.monitor.announced.deregistered_at is None
    assert len(errors) == 1
    assert post(agent, worker, b'', 'deregister') == 200
    assert agent.core.monitor.announced.deregistered_at is not None


def test_heartbeat_without_labels_keeps_those_of_its_incarnation(pair):
    """Guards against tasks that wait for a label that their worker has."""
    _deployment, agent, worker = pair
    fields = report_fields(worker)
    fields.pop('labels')
    assert post(agent, worker, json.dumps(fields).encode()) == 200
    assert agent.core.monitor.announced.labels == worker.labels


def test_single_report_of_another_service_changes_nothing(pair, errors):
    """Guards against tasks that leave a worker because of one report."""
    _deployment, agent, worker = pair
    good = report_fields(worker)
    odd = {**good, 'service': 'odd', 'sequence': good['sequence'] + 1}
    for _repetition in range(2):
        assert post(agent, worker, json.dumps(odd).encode()) == 400
        assert agent.core.monitor.announced.service == 'service'
        assert post(agent, worker, json.dumps(good).encode()) == 200
        good['sequence'] += 2
    assert len(errors) == 2


def test_service_that_two_reports_name_counts(pair):
    """Guards against a first report that was wrong and is kept for ever."""
    _deployment, agent, worker = pair
    other = {**report_fields(worker), 'service': 'other'}
    body = json.dumps(other).encode()
    assert [post(agent, worker, body) for _repetition in '12'] == [400, 200]
    assert agent.core.monitor.announced.service == 'other'


def test_fields_of_a_later_release_are_ignored(pair):
    _deployment, agent, worker = pair
    fields = {**report_fields(worker), 'later': {'a': [1]}}
    fields['freeCapacity']['disk'] = 'large'
    assert post(agent, worker, json.dumps(fields).encode()) == 200


def test_sequence_number_that_is_far_too_high_counts_for_a_while_only():
    """Guards against one report that makes all later ones void."""
    clock = ManualClock()
    room = Size(4000, 8000, 0)
    state = AnnouncedState(clock)
    for sequence in (2**53, 5):
        state.update(Announcement('i', 's', room, (), False, 0, sequence, 1000))
    clock.advance(CAPACITY_TTL_MS + 1)
    assert state.capacity == Size()
    state.update(Announcement('i', 's', room, (), False, 0, 6, 1000))
    assert state.capacity == room


@pytest.mark.parametrize(
    'checkpoint',
    ['\ud800', 'x' * 100_000, 7, ['x']],
    ids=['half a pair', 'long', 'number', 'list'],
)
def test_checkpoint_that_no_report_can_hold_is_none(checkpoint):
    """Guards against an agent that cannot report any more.

    JSON may escape half of a surrogate pair, which UTF-8 cannot encode.
    """
    fields = {
        'clockMs': 1,
        'running': [[TASK, 2, checkpoint, 41, 1000]],
        'finished': [[3, TASK, 1, 'stopped', checkpoint]],
    }
    worker = worker_with(FakeJsonClient(200, fields))
    listing = result_of(worker.poll(type('PollRequest', (), POLL_REQUEST)))
    row, end = listing.rows[0], listing.ends[0]
    assert row.checkpoint == end.checkpoint == ''
    pack(AgentLeft('i-1', [EndReport(1, TASK, 1, 'stopped', end.checkpoint)]))


def test_deeply_nested_start_names_an_incarnation():
    """Guards against an error in the reactor; see ``boot_name``."""
    nested = 1
    for _level in range(3000):
        nested = [nested]
    assert boot_name('i-1', nested) == boot_name('i-1', nested)


def test_deeply_nested_response_is_malformed():
    """Guards against an error that no caller of the client expects."""
    with pytest.raises(MalformedResponseError):
        _parse(FetchedResponse(200, (), DEEP))


def test_task_runs_on_while_its_worker_sends_malformed_heartbeats(pair):
    deployment, agent, worker = pair
    worker.work_ms = lambda task: 3000
    worker.can_announce = True
    deployment.run(2)
    job = a_job(steps=((4, ()),))
    deployment.submit(job)
    for body in (*BODIES.values(), *BODIES.values()):
        post(agent, worker, body)
        deployment.run(0.1)
    deployment.run(4)
    assert deployment.state(job.job_id) is JobState.COMPLETED
    assert len(starts_of(deployment, job)) == 4
