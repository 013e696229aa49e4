"""Clients that keep to no limits, at each port of entries and agents.

Each test starts the entry and the agents anew, keeps the connections of its
crowd open, and sends ordinary requests meanwhile.
"""

import functools
import http.client
import json
import os
import pathlib
import signal
import threading
import time

import pytest
from crowds import own_clients
from crowds.own_clients import KIB, MIB, Crowd, queued_bytes

from demo.__main__ import TOKEN, Deployment

# Memory of a daemon, of CONTRIBUTING.md.
MAX_RESIDENT_BYTES = 128 * 1000 * 1000
# Of each process, as the system enforces it.
MAX_DESCRIPTORS = 256
# Stay free for the table service, agents and files.
FREE_DESCRIPTORS = 32
BODY = MIB
ANNOUNCEMENT = 64 * KIB
CROWD = 160
# More connections than descriptors.
IDLE_CROWD = 300
FAR_OVER_CROWD = 8
FAR_OVER = 64 * MIB
# One in ten ends its body.
ENDING = 10
SENDING_S = 60
# Looks at the queues, 0.1 s apart, after which nothing more is read.
UNCHANGED_LOOKS = 20
SYSTEM = ('entry-0', 'agent-0', 'agent-1', 'agent-2')
DOCUMENTS = (
    (
        'template/booking',
        {
            'kind': 'service',
            'size': {'cores': 1.0, 'memory_gb': 2.0},
            'deadline_ms': 5000.0,
        },
    ),
    ('parameters/trust/booking', {}),
)


class Watch(threading.Thread):
    """Notes the most open descriptors and the bytes on disk of a process."""

    def __init__(self, process):
        super().__init__(daemon=True)
        self.directory = pathlib.Path(f'/proc/{process.pid}')
        self.descriptors = 0
        self.disk_bytes = 0
        self.is_over = threading.Event()

    def run(self):
        while not self.is_over.wait(0.02):
            self.look()

    def look(self):
        try:
            links = list((self.directory / 'fd').iterdir())
        except OSError:
            return
        self.descriptors = max(self.descriptors, len(links))
        self.disk_bytes = max(
            self.disk_bytes, sum(deleted_bytes(link) for link in links)
        )

    def peak_bytes(self):
        status = (self.directory / 'status').read_text()
        return int(status.split('VmHWM:')[1].split()[0]) * KIB


def deleted_bytes(link):
    try:
        is_deleted = os.readlink(link).endswith(' (deleted)')
        return link.stat().st_size if is_deleted else 0
    except OSError:
        return 0


class System:
    """The deployment, its processes under watch."""

    def __init__(self, deployment):
        self.deployment = deployment
        self.watches = {}

    @property
    def entry(self):
        return self.deployment.entries[0]

    @property
    def agent(self):
        return self.deployment.agents[0]

    def restart(self):
        """Start entry and agents anew, so that their peaks are a test's."""
        processes = self.deployment.processes
        for name in SYSTEM:
            processes[name].send_signal(signal.SIGKILL)
            processes[name].wait(15)
        for name in SYSTEM:
            self.deployment.spawn(name, processes[name].args)
        self.deployment.wait_ready()
        wait_until(lambda: self.book()[0] == 200)
        self.watches = {name: Watch(processes[name]) for name in SYSTEM}
        for watch in self.watches.values():
            watch.start()

    def book(self, body=b'ana'):
        return post(self.entry['callers'], '/trust/booking/', body)

    def status(self, body=None):
        return request(
            self.entry['operators'],
            'GET',
            '/v1/status',
            body,
            {'Authorization': f'Bearer {TOKEN}'},
        )

    def announce(self, body=b''):
        announcement = {
            'id': 'another',
            'service': 'trust/another',
            'address': '127.0.0.1:1',
            'slots': 1,
            'connections': 1,
        }
        document = json.dumps(announcement).encode()
        return post(self.agent['announce'], '/announce', document + body)

    def check(self):
        """Check processes, memory, descriptors and ordinary requests."""
        for name in SYSTEM:
            assert self.deployment.processes[name].poll() is None, name
        peaks = {
            name: watch.peak_bytes() for name, watch in self.watches.items()
        }
        descriptors = {
            name: watch.descriptors for name, watch in self.watches.items()
        }
        on_disk = {
            name: watch.disk_bytes for name, watch in self.watches.items()
        }
        ordinary = {
            call.__name__: answer_of(call)
            for call in (self.book, self.status, self.announce)
        }
        measured = (peaks, descriptors, on_disk, ordinary)
        print(measured)
        assert max(peaks.values()) <= MAX_RESIDENT_BYTES, measured
        assert (
            max(descriptors.values()) <= MAX_DESCRIPTORS - FREE_DESCRIPTORS
        ), measured
        assert not any(on_disk.values()), measured
        assert set(ordinary.values()) == {200}, measured


def answer_of(call):
    try:
        return call()[0]
    except OSError as error:
        return repr(error)


def request(address, method, path, body=None, headers=None):
    host, port = address.split(':')
    connection = http.client.HTTPConnection(host, int(port), timeout=15)
    try:
        connection.request(method, path, body, headers or {})
        response = connection.getresponse()
        return response.status, response.read()
    finally:
        connection.close()


def post(address, path, body):
    return request(address, 'POST', path, body)


def wait_until(condition, seconds=20):
    ends_at = time.monotonic() + seconds
    while time.monotonic() < ends_at:
        if condition():
            return
        time.sleep(0.05)
    raise AssertionError('not in time')


@pytest.fixture(scope='module')
def deployment(tmp_path_factory):
    running = Deployment(
        work=tmp_path_factory.mktemp('crowds'),
        entry_settings={'max_body_bytes': BODY},
        max_descriptors=MAX_DESCRIPTORS,
    )
    running.start()
    try:
        running.wait_ready()
        for key, document in DOCUMENTS:
            status, body = running.operate(
                'PUT', f'configuration/{key}', document
            )
            assert status == 200, body
        running.wait_in_force(json.loads(body)['version'])
        yield running
    finally:
        for name, process in running.processes.items():
            if name.startswith('backend'):
                process.kill()
        running.stop()


@pytest.fixture
def system(deployment):
    running = System(deployment)
    running.restart()
    yield running
    for watch in running.watches.values():
        watch.is_over.set()
        watch.join()


PORTS = {
    'callers': ('/trust/booking/?ms=100', BODY),
    'operators': ('/v1/jobs', BODY),
    'announcements': ('/announce', ANNOUNCEMENT),
}


def address_of(system, port):
    if port == 'announcements':
        return system.agent['announce']
    return system.entry[port]


def whole_bodies(path, size):
    return [functools.partial(own_clients.whole, path, size)] * CROWD


def piecemeal_bodies(path, size):
    return [
        functools.partial(own_clients.piecemeal, path, size, is_short(number))
        for number in range(CROWD)
    ]


def large_chunks(path, size):
    return chunked_bodies(path, size, 64 * KIB)


def small_chunks(path, size):
    return chunked_bodies(path, size, 64)


def chunked_bodies(path, size, chunk):
    return [
        functools.partial(
            own_clients.chunked, path, size, is_short(number), chunk
        )
        for number in range(CROWD)
    ]


def announced_far_over(path, _size):
    message = functools.partial(
        own_clients.announced, path, 1000 * FAR_OVER, 4 * MIB
    )
    return [message] * CROWD


def sent_far_over(path, _size):
    return [
        functools.partial(
            own_clients.chunked, path, FAR_OVER, is_short(number), 64 * KIB
        )
        for number in range(FAR_OVER_CROWD)
    ]


def is_short(number):
    return number % ENDING != 0


def check_refusals(responses):
    """A 503 tells when to come again, and that nothing ran."""
    for response in responses:
        assert response.startswith(b'HTTP/1.1 '), response
        if response.startswith(b'HTTP/1.1 503'):
            assert b'retry-after: ' in response.lower(), response
            assert b'"ran": "not-run"' in response, response


@pytest.mark.parametrize(
    'bodies',
    [
        whole_bodies,
        piecemeal_bodies,
        large_chunks,
        small_chunks,
        announced_far_over,
        sent_far_over,
    ],
)
@pytest.mark.parametrize('port', PORTS)
def test_crowd_with_large_bodies_ends_no_process(system, port, bodies):
    """Guards against a process that runs out of memory or descriptors."""
    with Crowd(address_of(system, port), bodies(*PORTS[port])) as crowd:
        wait_read(crowd)
        system.check()
        check_refusals(crowd.responses)


@pytest.mark.parametrize('port', PORTS)
def test_crowd_without_requests_keeps_nobody_out(system, port):
    """Guards against connections without requests that hold all descriptors."""
    path = PORTS[port][0]
    messages = [
        own_clients.silent,
        functools.partial(own_clients.half_head, path),
    ] * (IDLE_CROWD // 2)
    with Crowd(address_of(system, port), messages, reopens=True) as crowd:
        wait_read(crowd, 10)
        system.check()


@pytest.mark.parametrize('length', [64 * KIB, 9 * MIB])
def test_crowd_of_unknown_peers_keeps_no_agent_out(system, length):
    """Guards against peers that hold an entry without saying who they are."""
    message = functools.partial(
        own_clients.half_frame, length, length - 16 * KIB
    )
    messages = [message] * IDLE_CROWD
    address = system.entry['inner']
    with Crowd(address, messages, reopens=True) as crowd:
        wait_read(crowd, 10)
        system.check()


def test_a_large_request_alone_is_served(system):
    """Guards against limits that a client inside them meets."""
    body = b'.' * BODY
    status, page = system.book(body)
    assert status == 200
    assert json.loads(page)['echo'] == body.decode()
    assert system.status(b' ' * BODY)[0] == 200
    status, page = system.announce(b' ' * (ANNOUNCEMENT - KIB))
    assert status == 200, page


def wait_read(crowd, seconds=SENDING_S):
    """Wait until all is sent and the process reads nothing more."""
    ends_at = time.monotonic() + seconds
    while crowd.unfinished and time.monotonic() < ends_at:
        time.sleep(0.1)
    queued, unchanged = None, 0
    while unchanged < UNCHANGED_LOOKS and time.monotonic() < ends_at:
        time.sleep(0.1)
        earlier, queued = queued, queued_bytes(crowd.address)
        unchanged = unchanged + 1 if queued == earlier else 0
        if not queued:
            break
    print(f'{crowd.unfinished} still send, {len(queued or [])} are not read')
