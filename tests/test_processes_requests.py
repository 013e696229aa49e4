"""Requests through real processes and sockets that are killed and stopped.

A few end-to-end cases; their variants are in test_router and test_claims.
"""

import http.client
import json
import signal
import struct
import socket
import sys
import threading
import time

import pytest

from demo.__main__ import SECRET, Deployment, http_call
from hyssopring.protocol.codec import decode, encode
from hyssopring.protocol.connection import prove
from hyssopring.protocol.messages import (
    PROTOCOL_VERSION,
    BackendReport,
    CallRequest,
    Heartbeat,
    Hello,
    Resources,
)

PAGE = {'kind': 'service', 'idempotent': True, 'deadline_ms': 3000.0}
BOOKING = {'kind': 'service', 'deadline_ms': 6000.0}
SIZE = {'cores': 1.0, 'memory_gb': 2.0}


@pytest.fixture(scope='module')
def deployment(tmp_path_factory):
    running = Deployment(work=tmp_path_factory.mktemp('processes'))
    running.start()
    try:
        running.wait_ready()
        for key, document in (
            ('template/booking', {**BOOKING, 'size': SIZE}),
            ('parameters/trust/booking', {}),
            ('template/page', {**PAGE, 'size': SIZE}),
            ('parameters/trust/page', {}),
        ):
            status, body = running.operate(
                'PUT', f'configuration/{key}', document
            )
            assert status == 200, body
        running.wait_in_force(json.loads(body)['version'])
        for number, agent in enumerate(running.agents):
            extra = f'127.0.0.1:{free_port()}'
            running.spawn(
                f'page-{number}',
                [
                    sys.executable,
                    '-m',
                    'standins.backend',
                    extra,
                    agent['announce'],
                    'trust/page',
                    '20',
                ],
            )
        wait_until(lambda: sees_all_backends(running))
        yield running
    finally:
        # Stopped with SIGTERM, they would announce their leaving for 3 s.
        for name, process in running.processes.items():
            if name.startswith(('backend', 'page')):
                process.kill()
        running.stop()


def free_port():
    with socket.socket() as probe:
        probe.bind(('127.0.0.1', 0))
        return probe.getsockname()[1]


def wait_until(condition, seconds=10):
    ends_at = time.monotonic() + seconds
    while time.monotonic() < ends_at:
        if condition():
            return
        time.sleep(0.05)
    raise AssertionError('not in time')


def sees_all_but_one_backend(deployment):
    return sees_all_backends(deployment, 1)


def sees_all_backends(deployment, max_missing=0):
    """Whether each entry has each agent's two backend servers.

    Args:
        max_missing: How many backend servers may be missing.
    """
    for entry in range(len(deployment.entries)):
        try:
            status, body = deployment.operate('GET', 'status', entry=entry)
        except OSError:
            return False
        agents = json.loads(body)['agents'] if status == 200 else []
        backend_count = sum(len(agent['backends']) for agent in agents)
        if backend_count < 2 * len(deployment.agents) - max_missing:
            return False
    return True


class Reply:
    def __init__(self, response, took_s):
        self.status = response.status
        self.headers = response.headers
        self.body = response.read()
        self.took_s = took_s

    @property
    def document(self):
        return json.loads(self.body)


def send_request(
    deployment, path, method='GET', body=None, headers=None, entry=0
):
    host, port = deployment.entries[entry]['callers'].split(':')
    connection = http.client.HTTPConnection(host, int(port), timeout=15)
    started = time.monotonic()
    try:
        connection.request(method, path, body, headers or {})
        response = connection.getresponse()
        return Reply(response, time.monotonic() - started)
    finally:
        connection.close()


def start_requests(deployment, count, *arguments, **options):
    """Start ``count`` requests at once; return their threads and replies."""
    replies = []

    def send_one():
        replies.append(send_request(deployment, *arguments, **options))

    threads = [threading.Thread(target=send_one) for _ in range(count)]
    for thread in threads:
        thread.start()
    return threads, replies


def restart(deployment, name, how=signal.SIGTERM):
    process = deployment.processes[name]
    process.send_signal(how)
    process.wait(15)
    deployment.spawn(name, process.args)


def test_paused_agent_delays_no_page_and_doubles_no_booking(deployment):
    """Guards against delayed pages and doubled bookings when a VM is paused.

    The agent is stopped for more than 1 s with requests in flight. Idempotent
    pages are served elsewhere meanwhile; its bookings run once.
    """
    booking_threads, bookings = start_requests(
        deployment, 12, '/trust/booking/?ms=400', 'POST', 'ana'
    )
    time.sleep(0.15)
    process = deployment.processes['agent-0']
    process.send_signal(signal.SIGSTOP)
    try:
        page_threads, pages = start_requests(
            deployment, 12, '/trust/page/?ms=20'
        )
        for thread in page_threads:
            thread.join()
        time.sleep(0.3)
    finally:
        process.send_signal(signal.SIGCONT)
    for thread in booking_threads:
        thread.join()
    assert [page.status for page in pages] == [200] * 12
    assert max(page.took_s for page in pages) < 1.2
    assert [booking.status for booking in bookings] == [200] * 12
    assert {booking.document['echo'] for booking in bookings} == {'ana'}


def test_killed_agent_leaves_bookings_unknown_and_pages_answered(deployment):
    """An agent is killed with SIGKILL while requests are in flight."""
    booking_threads, bookings = start_requests(
        deployment, 12, '/trust/booking/?ms=600', 'POST', 'ana'
    )
    page_threads, pages = start_requests(deployment, 12, '/trust/page/?ms=600')
    time.sleep(0.25)
    restart(deployment, 'agent-1', signal.SIGKILL)
    for thread in booking_threads + page_threads:
        thread.join()
    assert [page.status for page in pages] == [200] * 12
    lost = [booking for booking in bookings if booking.status != 200]
    assert lost, 'no booking was at the agent that was killed'
    for booking in lost:
        assert booking.document['error'] == 'outcome-unknown'
        assert booking.document['ran'] == 'unknown'
        assert booking.headers['Hyssopring-Request-Id']
        assert booking.headers['Retry-After']
        inquiry = send_request(deployment, booking.document['ask'], entry=1)
        assert inquiry.document['error'] == 'outcome-unknown'
    wait_until(lambda: sees_all_backends(deployment))


def test_resubmitted_booking_gets_the_first_answer_from_another_entry(
    deployment,
):
    key = {'Idempotency-Key': 'lesson-7'}
    path = '/trust/booking/?ms=300'
    booking_threads, first = start_requests(
        deployment, 1, path, 'POST', 'eva', key
    )
    time.sleep(0.1)
    second = send_request(deployment, path, 'POST', 'eva', key, entry=1)
    booking_threads[0].join()
    assert first[0].body == second.body
    other = send_request(deployment, path, 'POST', 'ana', key, entry=1)
    assert other.document['error'] == 'conflict'


def test_cut_answer_reaches_nobody_as_whole(deployment):
    """The backend server's connection closes in the middle of a response."""
    reply = send_request(deployment, '/trust/booking/cut', 'POST', 'ana')
    assert (reply.status, reply.document['error']) == (502, 'truncated')
    assert reply.document['ran'] == 'ran'


class SilentAgent:
    """An agent that connects with many free slots and then sends nothing."""

    def __init__(self, address):
        host, port = address.split(':')
        self.socket = socket.create_connection((host, int(port)), 5)
        challenge = self.receive()
        self.send(
            Hello(
                PROTOCOL_VERSION,
                'silent',
                'silent-1',
                'paddock',
                'rack-9',
                prove(SECRET, challenge.nonce, 'silent'),
                Resources(16, 60, 0),
                1,
            )
        )
        report = BackendReport(
            'trust/page', 'silent-page', 1000, 1000, False, 0, 0, 1.0
        )
        self.send(Heartbeat(1, 1, (report,), Resources(16, 60, 0), False))

    def send(self, message):
        payload = encode(message)
        self.socket.sendall(struct.pack('!I', len(payload)) + payload)

    def receive(self):
        size = struct.unpack('!I', self._read(4))[0]
        return decode(self._read(size))

    def _read(self, size):
        received = b''
        while len(received) < size:
            part = self.socket.recv(size - len(received))
            assert part, 'the entry closed the connection'
            received += part
        return received

    def calls(self):
        """Number of calls received until the connection closed."""
        self.socket.settimeout(5)
        found = 0
        try:
            while True:
                found += isinstance(self.receive(), CallRequest)
        except (AssertionError, OSError):
            return found


def test_page_on_a_connection_that_went_silent_comes_from_elsewhere(
    deployment,
):
    """Guards against pages lost on a connection that went silent.

    Data written to the connection is dropped without an error, while new
    connections work.
    """
    silent = SilentAgent(deployment.entries[0]['inner'])
    time.sleep(0.1)
    page_threads, pages = start_requests(deployment, 24, '/trust/page/?ms=20')
    for thread in page_threads:
        thread.join()
    assert [page.status for page in pages] == [200] * 24
    assert max(page.took_s for page in pages) < 2
    assert silent.calls(), 'no page was sent to the silent connection'


def test_rolling_restart_fails_no_request(deployment):
    """A backend server, an agent and each entry are restarted under load.

    A balancer polls /healthz and sends requests to healthy entries only.
    """
    load = Load(deployment)
    load.start()
    try:
        leaving = deployment.processes['backend-1']
        leaving.send_signal(signal.SIGTERM)
        for name in ('agent-0', 'entry-0', 'entry-1'):
            restart(deployment, name)
            wait_until(lambda: sees_all_but_one_backend(deployment), 12)
        leaving.wait(5)
        deployment.spawn('backend-1', leaving.args)
        wait_until(lambda: sees_all_backends(deployment))
    finally:
        load.stop()
    assert load.failures == []
    assert load.served > 100


class Load:
    """Callers behind a balancer that polls each entry's health."""

    def __init__(self, deployment):
        self.deployment = deployment
        self.is_stopped = False
        self.served = 0
        self.failures = []
        self.healthy = [True] * len(deployment.entries)
        self.stops = [0] * len(deployment.entries)
        self.threads = [threading.Thread(target=self._balance)]
        for number in range(8):
            thread = threading.Thread(target=self._call, args=(number,))
            self.threads.append(thread)

    def start(self):
        for thread in self.threads:
            thread.start()

    def stop(self):
        self.is_stopped = True
        for thread in self.threads:
            thread.join()

    def _balance(self):
        while not self.is_stopped:
            for number, entry in enumerate(self.deployment.entries):
                try:
                    status, _ = http_call(entry['callers'], 'GET', '/healthz')
                except OSError:
                    status = 0
                if self.healthy[number] and status != 200:
                    self.stops[number] += 1
                self.healthy[number] = status == 200
            time.sleep(0.05)

    def _call(self, number):
        """Send over persistent connections, as a balancer does.

        A balancer closes its connections to an entry that becomes unhealthy.
        Otherwise a caller whose request to another entry outlasts the restart
        would write to a connection of a process that has exited.
        """
        connection_by_start = {}
        request_count = number
        while not self.is_stopped:
            request_count += 1
            entry = request_count % len(self.healthy)
            if not self.healthy[entry]:
                continue
            stops = self.stops[entry]
            path = ('/trust/booking/', '/trust/page/')[request_count // 2 % 2]
            # Most requests last longer than a stopping process would run if
            # it did not wait for requests in flight.
            path += '?ms=1500' if number > 1 else ''
            body = f'{number}-{request_count}'
            if (entry, stops) not in connection_by_start:
                host, port = self.deployment.entries[entry]['callers'].split(
                    ':'
                )
                connection_by_start[entry, stops] = http.client.HTTPConnection(
                    host, int(port), timeout=15
                )
            try:
                connection_by_start[entry, stops].request('POST', path, body)
                reply = Reply(
                    connection_by_start[entry, stops].getresponse(), 0
                )
            except ConnectionRefusedError:
                # Nothing was sent; a balancer uses another entry.
                connection_by_start.pop((entry, stops))
                continue
            except OSError as error:
                self.failures.append(repr(error))
                connection_by_start.pop((entry, stops))
                continue
            if reply.status == 200 and reply.document['echo'] == body:
                self.served += 1
            else:
                self.failures.append(
                    (reply.status, reply.body, entry, time.strftime('%X'))
                )
            time.sleep(0.01)
