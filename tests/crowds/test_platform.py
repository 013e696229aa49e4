"""Crowds that the processes on the platform must outlive."""

import contextlib
import http.client
import json
import time

import pytest
from crowds.support import (
    Crowd,
    ProcessWatch,
    chunked,
    head,
    padded,
    pieces,
    with_chunks,
    with_length,
)
from test_platform_processes import call, run_platform, wait_for_response

LIMITS = {'memoryMb': 128, 'maxFds': 300}
# The largest body that each of the ports reads.
MAX_BYTES = 4 * 1024 * 1024
CROWD = 40
CROWD_OF_SILENT = 400
ANSWER_S = 120
CHUNK_BYTES = 64 * 1024
END = b'0\r\n\r\n'
JOB = {'spec': 'x', 'steps': [{'count': 1, 'cpu': 100, 'memMb': 10}]}
PATHS = {
    'frontend': '/q/{:016x}',
    'controlPlane': '/-/instances/i-{:x}/deregister',
}
NAMES = {
    'frontend': 'entry-0',
    'ready': 'entry-0',
    'controlPlane': 'agent-0',
    'metrics': 'agent-0',
}
LARGE_PORTS = pytest.mark.parametrize('kind', list(PATHS))


class Target:
    """A port, the watched process that serves it, and the other ports."""

    def __init__(self, tmp_path, kind, fronts, watch):
        self.kind = kind
        self.fronts = fronts
        self.watch = watch
        settings = json.loads((tmp_path / f'{NAMES[kind]}.json').read_text())
        addresses = settings['bindAddresses']
        self.port = (
            settings['metricsPort']
            if kind == 'metrics'
            else int(addresses[kind].rpartition(':')[2])
        )

    def path(self, number):
        """Return the path of a request's own job or runner."""
        return PATHS[self.kind].format(number + 1)

    def paths(self):
        """Return the paths of all requests of a crowd."""
        return [self.path(number) for number in range(CROWD)]

    def assert_within_limits(self):
        """The process lives, and has kept its limits at all times."""
        measured = (self.watch.peak_kb // 1024, self.watch.peak_descriptors)
        print(f'{self.kind}: peak of {measured} MiB and descriptors')
        assert self.watch.is_alive
        assert self.watch.peak_kb < LIMITS['memoryMb'] * 1024, measured
        assert self.watch.peak_descriptors < LIMITS['maxFds'], measured

    def assert_ordinary_request_is_answered(self):
        """A job that needs both agents completes; the port itself answers."""
        step = {'count': 2, 'cpu': 100, 'memMb': 10, 'antiAffinity': 1}
        path = '/q/5c0e7a21d94b36f8'
        body = {'steps': [step]}
        wait_until(lambda: call(self.fronts[0], 'POST', path, body)[0] == 200)
        wait_until(
            lambda: (
                call(self.fronts[0], 'GET', path)[1] == {'state': 'completed'}
            )
        )
        wait_until(lambda: status_of(self.port))


def status_of(port):
    """Return the status of a request on a new connection, 0 without one."""
    connection = http.client.HTTPConnection('127.0.0.1', port, timeout=5)
    with contextlib.closing(connection):
        try:
            connection.request('GET', '/-/none')
            return connection.getresponse().status
        except (OSError, http.client.HTTPException):
            return 0


def wait_until(condition):
    ends_at = time.monotonic() + ANSWER_S
    while not condition():
        assert time.monotonic() < ends_at
        time.sleep(0.1)


@contextlib.contextmanager
def run_target(tmp_path, kind):
    limits = {'limits': LIMITS, 'operator_limits': {'maxBodyBytes': MAX_BYTES}}
    with run_platform(tmp_path, **limits) as (fronts, _entries):
        for front in fronts:
            wait_for_response((200, {'pending': 0}), front, 'GET', '/q/')
        path = '/q/00000000000000ff'
        assert call(fronts[0], 'POST', path, JOB)[0] == 200
        wait_for_response((200, {'state': 'completed'}), fronts[0], 'GET', path)
        with ProcessWatch(tmp_path / f'{NAMES[kind]}.json') as watch:
            target = Target(tmp_path, kind, fronts, watch)
            # The job needs only one agent; the other may still be starting.
            wait_until(lambda: status_of(target.port))
            yield target


def assert_crowd_is_outlived(target, *parts_of_clients):
    """Send a crowd; all is checked while its connections are open."""
    with Crowd(target.port) as crowd:
        crowd.join(*parts_of_clients)
        crowd.send()
        target.assert_ordinary_request_is_answered()
        target.assert_within_limits()


@LARGE_PORTS
def test_a_large_body_within_the_limits_is_served(tmp_path, kind):
    """Guards against limits that refuse a single legal request."""
    with run_target(tmp_path, kind) as target:
        body = padded(JOB, MAX_BYTES)
        for number, parts in enumerate(
            (
                with_length(target.path(0), body),
                [*with_chunks(target.path(1), chunked(body, CHUNK_BYTES)), END],
            )
        ):
            with Crowd(target.port) as crowd:
                crowd.join(parts)
                crowd.send()
                crowd.receive(lambda client: client.status)
                assert crowd.clients[0].status == 200, number
        target.assert_within_limits()


@LARGE_PORTS
def test_many_whole_bodies(tmp_path, kind):
    """Guards against memory that grows with the number of legal bodies.

    A job whose submission was refused must be unknown; an accepted one, known.
    """
    body = padded(JOB, MAX_BYTES)
    with run_target(tmp_path, kind) as target:
        with Crowd(target.port) as crowd:
            crowd.join(*[with_length(path, body) for path in target.paths()])
            crowd.send()
            crowd.receive(lambda client: client.status)
            target.assert_ordinary_request_is_answered()
            target.assert_within_limits()
            if kind == 'frontend':
                assert_responses_are_true(target, crowd)


def assert_responses_are_true(target, crowd):
    for client, path in zip(crowd.clients, target.paths(), strict=True):
        if client.status in {200, 429, 503}:
            expected = 200 if client.status == 200 else 410
            assert call(target.port, 'GET', path)[0] == expected, path


@LARGE_PORTS
def test_many_bodies_in_pieces_that_stop_short(tmp_path, kind):
    """Guards against memory that unfinished bodies hold."""
    body = padded(JOB, MAX_BYTES)
    with run_target(tmp_path, kind) as target:
        requests = [
            [first, *pieces(whole[: -1 if number % 8 else None])]
            for number, (first, whole) in enumerate(
                with_length(path, body) for path in target.paths()
            )
        ]
        assert_crowd_is_outlived(target, *requests)


@LARGE_PORTS
@pytest.mark.parametrize('size', [CHUNK_BYTES, 16])
def test_many_chunked_bodies_that_stop_short(tmp_path, kind, size):
    """Guards against memory of chunks, and against turns full of tiny ones."""
    chunks = chunked(padded(JOB, MAX_BYTES), size)
    with run_target(tmp_path, kind) as target:
        requests = [
            [*with_chunks(path, chunks), *([] if number % 8 else [END])]
            for number, path in enumerate(target.paths())
        ]
        assert_crowd_is_outlived(target, *requests)


@LARGE_PORTS
def test_bodies_announced_far_over_the_limit(tmp_path, kind):
    """Guards against buffers for, and parts of, a body that is refused."""
    with run_target(tmp_path, kind) as target:
        assert_crowd_is_outlived(
            target,
            *[
                with_length(path, b' ' * MAX_BYTES, 100 * MAX_BYTES)
                for path in target.paths()
            ],
        )


@LARGE_PORTS
def test_bodies_sent_far_over_the_limit(tmp_path, kind):
    """Guards against keeping what is too large, and against its remainder."""
    chunks = chunked(b' ' * MAX_BYTES, CHUNK_BYTES)
    with run_target(tmp_path, kind) as target:
        assert_crowd_is_outlived(
            target, *[with_chunks(path, chunks, 9) for path in target.paths()]
        )


@LARGE_PORTS
def test_more_bytes_than_announced(tmp_path, kind):
    """Guards against keeping what follows a body."""
    with run_target(tmp_path, kind) as target:
        assert_crowd_is_outlived(
            target,
            *[
                with_length(path, b' ' * 2 * MAX_BYTES, 1000)
                for path in target.paths()
            ],
        )


@LARGE_PORTS
def test_a_legal_body_of_very_many_values(tmp_path, kind):
    """Guards against a parser that makes far more of a body than its size."""
    body = b'{"steps":[' + b'1,' * (MAX_BYTES // 2 - 10) + b'1]}'
    with run_target(tmp_path, kind) as target:
        path = target.path(0).replace('deregister', 'heartbeat')
        for each_path in {path, target.path(0)}:
            with Crowd(target.port) as crowd:
                crowd.join(with_length(each_path, body))
                crowd.send()
                crowd.receive(lambda client: client.status)
        target.assert_ordinary_request_is_answered()
        target.assert_within_limits()


@pytest.mark.parametrize('kind', list(NAMES))
def test_many_connections_without_a_request(tmp_path, kind):
    """Guards against descriptors that silent or slow clients use up."""
    half_of_head = head('GET', '/q/')[:-2]
    with run_target(tmp_path, kind) as target:
        assert_crowd_is_outlived(
            target,
            *[
                [half_of_head] if number % 2 else []
                for number in range(CROWD_OF_SILENT)
            ],
        )
