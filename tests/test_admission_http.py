"""The answer that the caller of a rejected job gets."""

import io
import json

import pytest
from twisted.internet.defer import Deferred
from twisted.internet.testing import MemoryReactorClock

from hyssopring.admission.messages import QueueOutlook, QueueOutlookNotice
from hyssopring.jobs.queues import QueueAddress, QueueTable
from hyssopring.platform.callers import CallersResource
from hyssopring.platform.entry_process import EntryProcess
from hyssopring.platform.settings import load_node_settings
from standins.jobs.processes import ReactorClock
from admission_support import OPTIONS, job_of, overloaded

NODE = {
    'nodeName': 'edge-1',
    'ip': '127.0.0.1',
    'zone': 'zone',
    'bindAddresses': {
        'frontend': '127.0.0.1:1',
        'ready': '127.0.0.1:2',
        'controlPlane': '127.0.0.1:3',
    },
    'internalPorts': [7720, 7735],
    'platform': {'address': '127.0.0.1:4'},
}
BODY = json.dumps(
    {'steps': [{'count': 16, 'cpu': 1000, 'memMb': 1000, 'estimateMs': 1000}]}
)


class Request:
    """A submission, and the answer to it."""

    method = b'POST'
    _disconnected = False

    def __init__(self, path):
        self.path = path.encode()
        self.content = io.BytesIO(BODY.encode())
        self.headers = {}
        self.body = b''
        self.status = None

    def getHeader(self, name):
        return 'host' if name == 'host' else None

    def setHeader(self, name, text):
        self.headers[name] = text

    def setResponseCode(self, status):
        self.status = status

    def write(self, data):
        self.body += data

    def finish(self):
        """Do nothing: the answer is complete."""

    def notifyFinish(self):
        return Deferred()


def post(deployment, path):
    job_api = deployment.entries['entry-0'].core.job_api
    clock = ReactorClock(deployment.reactor)
    callers = CallersResource(clock, job_api)
    address = QueueAddress('host', '/q/', job_of(1).queue)
    callers.table = QueueTable.from_addresses(1, 10_000, [address])
    request = Request(path)
    callers.render(request)
    deployment.run(0.1)
    return request


def test_rejected_caller_gets_429_and_a_time():
    """Guards against clients that cannot tell when to come back."""
    request = post(overloaded(), f'/q/{100:016x}')
    assert request.status == 429
    assert json.loads(request.body) == {'error': 'overloaded-queue'}
    assert request.headers['retry-after'].isdigit()
    assert 1 <= int(request.headers['retry-after']) <= 10


@pytest.mark.parametrize('number', [1, 200])
def test_accepted_caller_gets_200(number):
    jobs = 9 if number == 1 else 1
    request = post(overloaded(jobs=jobs), f'/q/{number:016x}')
    assert request.status == 200
    assert 'retry-after' not in request.headers


def test_rejected_caller_who_returns_at_the_named_time_is_accepted():
    """Guards against a header that is rounded down."""
    deployment = overloaded()
    path = f'/q/{100:016x}'
    request = post(deployment, path)
    deployment.run(int(request.headers['retry-after']) - 0.1)
    assert post(deployment, path).status == 200


def test_gauges_show_what_an_entry_knows(tmp_path):
    """Guards against a process that cannot render its metrics."""
    path = tmp_path / 'node.json'
    path.write_text(json.dumps(NODE))
    process = EntryProcess(
        MemoryReactorClock(), load_node_settings(str(path)).unwrap(), OPTIONS
    )
    queue = QueueOutlook('queue', 'service', '', 0, 5000, 1, 1, True)
    process.core.handle_message(QueueOutlookNotice(1, 1, [], [queue]), 'peer')
    rendered = process._metrics.render()
    assert 'hyssopring_outlook_work_core_ms 5000' in rendered
    assert 'hyssopring_jobs_rejected_known 0' in rendered
    assert 'hyssopring_outlook_age_ms' in rendered
