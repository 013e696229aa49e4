"""Runs a small deployment and drives bookings and a job through it.

``python -m demo`` ends by itself; ``python -m demo --stay`` leaves the
deployment running and prints how to try it by curl and by the command line.
"""

import http.client
import json
import pathlib
import signal
import socket
import statistics
import subprocess
import sys
import threading
import time
from collections import Counter

ROOT = pathlib.Path(__file__).resolve().parent.parent
WORK = ROOT / '.demo'
SECRET = 'demo-inner-secret-0123456789'
TOKEN = 'demo-operator-token-0123456789'
ZONES = ('paddock', 'tack-room', 'office')
AGENTS = 3
ENTRIES = 2
BOOKINGS = 600
CALLERS = 8


def free_ports(count):
    sockets = [socket.socket() for _ in range(count)]
    for each in sockets:
        each.bind(('127.0.0.1', 0))
    ports = [each.getsockname()[1] for each in sockets]
    for each in sockets:
        each.close()
    return ports


class Deployment:
    """All processes of a small deployment; entries may be the zipapp."""

    def __init__(self, binary=None, work=WORK):
        self.work = pathlib.Path(work)
        self.processes = {}
        self.binary = (
            [sys.executable, binary]
            if binary
            else [
                sys.executable,
                '-m',
                'hyssopring',
            ]
        )
        self.work.mkdir(exist_ok=True)
        ports = iter(free_ports(1 + 3 * ENTRIES + 3 * AGENTS))
        self.table = f'127.0.0.1:{next(ports)}'
        self.entries = [
            {
                'callers': f'127.0.0.1:{next(ports)}',
                'operators': f'127.0.0.1:{next(ports)}',
                'inner': f'127.0.0.1:{next(ports)}',
            }
            for _ in range(ENTRIES)
        ]
        self.agents = [
            {
                'announce': f'127.0.0.1:{next(ports)}',
                'worker': f'127.0.0.1:{next(ports)}',
                'backend': f'127.0.0.1:{next(ports)}',
            }
            for _ in range(AGENTS)
        ]

    def spawn(self, name, arguments):
        log = open(self.work / f'{name}.log', 'w')
        self.processes[name] = subprocess.Popen(
            arguments, cwd=ROOT, stdout=log, stderr=log
        )

    def start(self):
        python = sys.executable
        self.spawn('table', [python, '-m', 'standins.table', self.table])
        for number, entry in enumerate(self.entries):
            path = self.write(
                f'entry-{number}',
                {
                    'id': f'entry-{number}',
                    'zone': ZONES[number],
                    'caller_address': entry['callers'],
                    'operator_address': entry['operators'],
                    'inner_address': entry['inner'],
                    'store_url': f'http://{self.table}',
                    'inner_secret': SECRET,
                    'operator_token': TOKEN,
                    'notice_ms': 300.0,
                },
            )
            self.spawn(f'entry-{number}', [*self.binary, 'entry', path])
        for number, agent in enumerate(self.agents):
            path = self.write(
                f'agent-{number}',
                {
                    'id': f'agent-{number}',
                    'zone': ZONES[number],
                    'rack': f'rack-{number}',
                    'capacity': {'cores': 16, 'memory_gb': 60},
                    'announce_address': agent['announce'],
                    'entries': [self.entries[0]['inner']],
                    'worker_url': f'http://{agent["worker"]}',
                    'inner_secret': SECRET,
                },
            )
            self.spawn(
                f'worker-{number}',
                [python, '-m', 'standins.worker', agent['worker']],
            )
            self.spawn(f'agent-{number}', [*self.binary, 'agent', path])
            self.spawn(
                f'backend-{number}',
                [
                    python,
                    '-m',
                    'standins.backend',
                    agent['backend'],
                    agent['announce'],
                    'trust/booking',
                    '20',
                ],
            )

    def write(self, name, settings):
        path = self.work / f'{name}.json'
        path.write_text(
            '// Written by the demo.\n' + json.dumps(settings, indent=2)
        )
        return str(path)

    def operate(self, method, path, body=None, headers=None, entry=0):
        return http_call(
            self.entries[entry]['operators'],
            method,
            f'/v1/{path}',
            None if body is None else json.dumps(body),
            {'Authorization': f'Bearer {TOKEN}', **(headers or {})},
        )

    def wait_ready(self):
        deadline = time.monotonic() + 40
        while time.monotonic() < deadline:
            self.check_alive()
            if all(self.sees_all(number) for number in range(ENTRIES)):
                return
            time.sleep(0.2)
        raise SystemExit(f'not ready in time; logs are in {self.work}')

    def check_alive(self):
        for name, process in self.processes.items():
            if process.poll() is not None:
                raise SystemExit(
                    f'{name} has ended; see {self.work}/{name}.log'
                )

    def sees_all(self, number):
        try:
            status, body = self.operate('GET', 'status', entry=number)
        except OSError:
            return False
        agents = json.loads(body)['agents'] if status == 200 else []
        return sum(len(agent['backends']) for agent in agents) == AGENTS

    def configure(self):
        size = {'cores': 1.0, 'memory_gb': 2.0}
        documents = [
            (
                'template/booking',
                {'kind': 'service', 'size': size, 'deadline_ms': 2000.0},
            ),
            ('parameters/trust/booking', {'urgency': 8}),
            (
                'template/feed-round',
                {'kind': 'batch', 'size': size, 'run_ms': 1500.0},
            ),
            ('parameters/trust/feed-round', {}),
            ('template/index', {'kind': 'keeper', 'size': size}),
            ('parameters/trust/index', {'keepers': 2}),
        ]
        for key, document in documents:
            status, body = self.operate('PUT', f'configuration/{key}', document)
            assert status == 200, body
        return json.loads(body)['version']

    def wait_in_force(self, version):
        started = time.monotonic()
        while time.monotonic() - started < 10:
            _, body = self.operate('GET', 'status')
            status = json.loads(body)
            seen = [agent['configuration'] for agent in status['agents']]
            seen.extend(status['entries'].values())
            if all(known >= version for known in seen):
                return time.monotonic() - started
            time.sleep(0.05)
        raise SystemExit('the configuration did not come into force')

    def stop(self):
        """Stop the system first, then what it depends on."""
        system = [
            name for name in self.processes if name[:5] in {'agent', 'entry'}
        ]
        for names in (system, set(self.processes) - set(system)):
            for name in names:
                self.processes[name].send_signal(signal.SIGTERM)
            for name in names:
                self.wait(self.processes[name])

    def wait(self, process):
        try:
            process.wait(10)
        except subprocess.TimeoutExpired:
            process.kill()


def http_call(address, method, path, body=None, headers=None):
    host, port = address.split(':')
    connection = http.client.HTTPConnection(host, int(port), timeout=15)
    try:
        connection.request(method, path, body, headers or {})
        response = connection.getresponse()
        return response.status, response.read()
    finally:
        connection.close()


def drive_bookings(deployment):
    outcomes = []

    def caller(number):
        for booking in range(BOOKINGS // CALLERS):
            entry = deployment.entries[(number + booking) % ENTRIES]
            text = f'rider-{number}-{booking}'
            started = time.perf_counter()
            status, body = http_call(
                entry['callers'], 'POST', '/trust/booking/lessons', text
            )
            took = (time.perf_counter() - started) * 1000
            is_own = status == 200 and json.loads(body)['echo'] == text
            kind = 'answered' if is_own else error_kind(status, body)
            outcomes.append((kind, took))

    threads = [
        threading.Thread(target=caller, args=(number,))
        for number in range(CALLERS)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return outcomes


def error_kind(status, body):
    if status == 200:
        return 'not its own answer'
    try:
        return json.loads(body)['error']
    except (ValueError, KeyError):
        return f'status {status}'


def drive_job(deployment):
    status, body = deployment.operate(
        'POST',
        'jobs',
        {
            'job_id': 'morning-feed',
            'team': 'trust',
            'template': 'feed-round',
            'tasks': 12,
        },
    )
    assert status == 200, body
    deadline = time.monotonic() + 60
    while time.monotonic() < deadline:
        _, body = deployment.operate('GET', 'jobs/morning-feed')
        tasks = json.loads(body)['tasks']
        if tasks.get('completed') == 12:
            break
        time.sleep(0.2)
    return tasks


def print_table(outcomes, tasks):
    """Print outcomes by kind; return whether all were good."""
    kinds = Counter(kind for kind, _ in outcomes)
    print(f'{"bookings sent":<28}{len(outcomes):>8}')
    for kind, count in kinds.most_common():
        print(f'{"  " + kind:<28}{count:>8}')
    latencies = [took for kind, took in outcomes if kind == 'answered']
    quantiles = statistics.quantiles(latencies, n=1000)
    for name, index in (('p50', 499), ('p90', 899), ('p99', 989)):
        print(f'{"latency " + name + " ms":<28}{quantiles[index]:>8.1f}')
    for state, count in sorted(tasks.items()):
        print(f'{"job tasks " + state:<28}{count:>8}')
    is_whole = kinds['answered'] == len(outcomes)
    return is_whole and tasks.get('completed') == 12


def main():
    binary = None
    if '--binary' in sys.argv:
        binary = sys.argv[sys.argv.index('--binary') + 1]
        if not pathlib.Path(binary).is_file():
            raise SystemExit(f'{binary}: no such file; run make binary first')
    # Ends the deployment like Ctrl-C does.
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    deployment = Deployment(binary)
    deployment.start()
    try:
        deployment.wait_ready()
        version = deployment.configure()
        took = deployment.wait_in_force(version)
        print(f'{"configuration in force s":<28}{took:>8.2f}')
        if '--stay' in sys.argv:
            stay(deployment)
            return
        outcomes = drive_bookings(deployment)
        is_good = print_table(outcomes, drive_job(deployment))
    finally:
        deployment.stop()
    sys.exit(0 if is_good else 1)


def stay(deployment):
    entry = deployment.entries[0]
    bookings = f'http://{entry["callers"]}/trust/booking/lessons'
    status = f'http://{entry["operators"]}/v1/status'
    command = '.venv/bin/hyssopring'
    if deployment.binary[1:] != ['-m', 'hyssopring']:
        command = ' '.join(deployment.binary)
    print(
        'Running; Ctrl-C stops it. Try, from the same directory:',
        f'curl -i -d rider=ana {bookings}',
        f'curl -H "Authorization: Bearer {TOKEN}" {status}',
        f'export HYSSOPRING_ENTRY={entry["operators"]}',
        f'export HYSSOPRING_TOKEN={TOKEN}',
        f'{command} status',
        f'{command} run noon-feed trust feed-round --tasks 3',
        f'{command} explain task noon-feed:0',
        sep='\n  ',
        flush=True,
    )
    try:
        signal.pause()
    except KeyboardInterrupt:
        print('stopping')


if __name__ == '__main__':
    main()
