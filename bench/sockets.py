"""Latency and processor time through entry and agent, over real sockets.

A run measures the same caller alternately on two paths: directly to a backend
server, and through entry and agent to the same backend server. Compare ratios
within a run; absolute figures depend on the machine.

    python -m bench.sockets [--seconds N] [--profile entry|agent]
"""

import argparse
import asyncio
import json
import os
import pathlib
import random
import signal
import subprocess
import sys
import tempfile
import time
import urllib.request

from standins.ports import ReservedPorts

ROOT = pathlib.Path(__file__).resolve().parent.parent
SECRET = 'bench-inner-secret-0123456789'
TOKEN = 'bench-operator-token-0123456789'
CONNECTIONS = 32
SERVICE_MS = 4
BODY = b'x' * 400
TICKS_PER_SECOND = os.sysconf('SC_CLK_TCK')


class Processes:
    """One entry, one agent, one backend server, the table and a worker."""

    def __init__(self, folder, profile):
        self.folder = pathlib.Path(folder)
        self.profile = profile
        self.process_by_role = {}
        names = 'table callers operators inner announce worker backend'.split()
        self.ports = ReservedPorts()
        self.address = {
            name: f'{self.ports.host}:{next(self.ports)}' for name in names
        }

    def spawn(self, role, *arguments):
        log = open(self.folder / f'{role}.log', 'w')
        command = [sys.executable]
        if role == self.profile:
            stats = str(self.folder / f'{role}.prof')
            command += ['-m', 'cProfile', '-o', stats]
        self.process_by_role[role] = subprocess.Popen(
            [*command, '-m', *arguments], cwd=ROOT, stdout=log, stderr=log
        )

    def settings(self, role, document):
        path = self.folder / f'{role}.json'
        path.write_text(json.dumps(document))
        return str(path)

    def start(self):
        at = self.address
        self.spawn('table', 'standins.table', at['table'])
        self.spawn('worker', 'standins.worker', at['worker'])
        entry = self.settings(
            'entry',
            {
                'id': 'entry-0',
                'zone': 'paddock',
                'caller_address': at['callers'],
                'operator_address': at['operators'],
                'inner_address': at['inner'],
                'store_url': f'http://{at["table"]}',
                'inner_secret': SECRET,
                'operator_token': TOKEN,
            },
        )
        agent = self.settings(
            'agent',
            {
                'id': 'agent-0',
                'zone': 'paddock',
                'rack': 'rack-0',
                'capacity': {'cores': 16, 'memory_gb': 60},
                'announce_address': at['announce'],
                'entries': [at['inner']],
                'worker_url': f'http://{at["worker"]}',
                'inner_secret': SECRET,
            },
        )
        self.spawn('entry', 'hyssopring', 'entry', entry)
        self.spawn('agent', 'hyssopring', 'agent', agent)
        self.spawn(
            'backend',
            'standins.backend',
            at['backend'],
            at['announce'],
            'trust/booking',
            str(SERVICE_MS),
        )
        self.wait_ready()

    def operate(self, method, path, document=None):
        request = urllib.request.Request(
            f'http://{self.address["operators"]}/v1/{path}',
            None if document is None else json.dumps(document).encode(),
            {'Authorization': f'Bearer {TOKEN}', 'If-Match': '0'},
            method=method,
        )
        with urllib.request.urlopen(request, timeout=10) as response:
            return json.loads(response.read())

    def wait_ready(self):
        deadline = time.monotonic() + 30
        while time.monotonic() < deadline:
            try:
                agents = self.operate('GET', 'status')['agents']
            except OSError:
                agents = []
            if agents and agents[0]['backends']:
                break
            time.sleep(0.2)
        size = {'cores': 1.0, 'memory_gb': 2.0}
        template = {'kind': 'service', 'size': size, 'idempotent': True}
        self.operate('PUT', 'configuration/template/booking', template)
        self.operate('PUT', 'configuration/parameters/trust/booking', {})
        time.sleep(3)

    def cpu_seconds(self, role):
        pid = self.process_by_role[role].pid
        fields = pathlib.Path(f'/proc/{pid}/stat').read_text().split()
        return (int(fields[13]) + int(fields[14])) / TICKS_PER_SECOND

    def stop(self):
        for role in ('entry', 'agent', 'backend', 'worker', 'table'):
            process = self.process_by_role.get(role)
            if process is None:
                continue
            process.send_signal(signal.SIGTERM)
            try:
                process.wait(10)
            except subprocess.TimeoutExpired:
                process.kill()
        self.ports.release()


class Caller:
    """A pool of keep-alive connections to one address."""

    def __init__(self, address, path):
        self.host, port = address.split(':')
        self.port = int(port)
        head = (
            f'POST {path} HTTP/1.1\r\nHost: {address}\r\n'
            f'Content-Length: {len(BODY)}\r\n\r\n'
        )
        self.request = head.encode() + BODY
        self.free = asyncio.Queue()
        self.latencies_ms = []
        self.errors = 0

    async def open(self):
        for _ in range(CONNECTIONS):
            pair = await asyncio.open_connection(self.host, self.port)
            self.free.put_nowait(pair)

    async def call(self):
        """Send one request; its latency includes the wait for a connection."""
        started = time.perf_counter()
        reader, writer = await self.free.get()
        writer.write(self.request)
        status = await reader.readline()
        length = 0
        while (line := await reader.readline()) not in {b'\r\n', b''}:
            name, _, text = line.partition(b':')
            if name.lower() == b'content-length':
                length = int(text)
        await reader.readexactly(length)
        self.free.put_nowait((reader, writer))
        self.errors += b' 200 ' not in status
        self.latencies_ms.append((time.perf_counter() - started) * 1000)

    def percentile(self, share):
        ordered = sorted(self.latencies_ms)
        return ordered[int(share * (len(ordered) - 1))]


async def closed_loop(caller, seconds, callers=CONNECTIONS):
    """Return requests per second with a fixed number of callers."""
    end = time.monotonic() + seconds

    async def loop():
        count = 0
        while time.monotonic() < end:
            await caller.call()
            count += 1
        return count

    counts = await asyncio.gather(*[loop() for _ in range(callers)])
    return sum(counts) / seconds


async def open_loop(caller, rate, seconds, rng):
    """Send with Poisson arrivals, independent of earlier responses."""
    tasks = []
    end = time.monotonic() + seconds
    due = time.monotonic()
    while due < end:
        due += rng.expovariate(rate)
        await asyncio.sleep(max(due - time.monotonic(), 0))
        tasks.append(asyncio.create_task(caller.call()))
    await asyncio.gather(*tasks)


async def measure(processes, seconds):
    at = processes.address
    path = f'/lessons?ms={SERVICE_MS}'
    direct = Caller(at['backend'], path)
    through = Caller(at['callers'], f'/trust/booking{path}')
    await direct.open()
    await through.open()
    await closed_loop(through, 2)
    roles = ('entry', 'agent', 'backend')
    before = {role: processes.cpu_seconds(role) for role in roles}
    capacity = await closed_loop(through, seconds)
    served = capacity * seconds
    print(f'capacity through entry and agent: {capacity:.0f} requests/s')
    for role in roles:
        used = processes.cpu_seconds(role) - before[role]
        print(
            f'  {role:<8} {used / seconds:5.2f} cores  '
            f'{used / served * 1e6:6.0f} us/request'
        )
    rng = random.Random(7)
    direct.latencies_ms.clear()
    through.latencies_ms.clear()
    for _ in range(3):
        await open_loop(direct, capacity / 2, seconds / 3, rng)
        await open_loop(through, capacity / 2, seconds / 3, rng)
    print(f'half load, {capacity / 2:.0f} requests/s, in turns:')
    for name, share in (('p50', 0.5), ('p99', 0.99)):
        direct_ms, routed_ms = (
            direct.percentile(share),
            through.percentile(share),
        )
        print(
            f'  {name}: direct {direct_ms:.2f} ms, through {routed_ms:.2f} ms, '
            f'ratio {routed_ms / direct_ms:.2f}'
        )
    print(f'errors: {direct.errors} direct, {through.errors} through')


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seconds', type=float, default=9)
    parser.add_argument('--profile', choices=('entry', 'agent'))
    options = parser.parse_args()
    with tempfile.TemporaryDirectory() as folder:
        processes = Processes(folder, options.profile)
        processes.start()
        try:
            asyncio.run(measure(processes, options.seconds))
        finally:
            processes.stop()
        if options.profile:
            print_profile(pathlib.Path(folder) / f'{options.profile}.prof')


def print_profile(path):
    import pstats

    pstats.Stats(str(path)).sort_stats('tottime').print_stats(30)


if __name__ == '__main__':
    main()
