"""Runs a small deployment and sends bookings and a batch job to it.

``python -m demo`` ends by itself; its exit code is 0 if every booking and
every task of the job succeeded. ``python -m demo --stay`` leaves the deployment
running and prints commands to try. ``--binary FILE`` runs entries and agents
from a zipapp.
"""

import http.client
import json
import pathlib
import resource
import signal
import statistics
import subprocess
import sys
import threading
import time
from collections import Counter

from standins.ports import ReservedPorts

ROOT = pathlib.Path(__file__).resolve().parent.parent
WORK = ROOT / '.demo'
SECRET = 'demo-inner-secret-0123456789'
TOKEN = 'demo-operator-token-0123456789'
ZONES = ('paddock', 'tack-room', 'office')
AGENT_COUNT = 3
ENTRY_COUNT = 2
BOOKING_COUNT = 600
CALLER_COUNT = 8


class Deployment:
    """The processes of a small deployment on the local host.

    Attributes:
        work: The directory of settings and log files.
        processes: The running processes, by name.
        binary: The start of the command line of entries and agents.
        ports: The reserved ports of all processes.
        table: The address of the stand-in for the table store.
        entries: The addresses of each entry, by port.
        agents: The addresses of each agent, its worker and its backend.
        entry_settings: Settings of the entries beside the usual ones.
        agent_settings: Settings of the agents beside the usual ones.
        max_descriptors: Open descriptors that the system allows each entry
            and agent; as many as this process by default.
    """

    def __init__(
        self,
        binary=None,
        work=WORK,
        entry_settings=None,
        agent_settings=None,
        max_descriptors=None,
    ):
        """Choose ports; no process starts.

        Args:
            binary: The zipapp to run entries and agents from; the source by
                default.
            work: The directory of settings and log files.
            entry_settings: See the attribute.
            agent_settings: See the attribute.
            max_descriptors: See the attribute.
        """
        self.entry_settings = entry_settings or {}
        self.agent_settings = agent_settings or {}
        self.max_descriptors = max_descriptors
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
        ports = self.ports = ReservedPorts()
        self.table = f'127.0.0.1:{next(ports)}'
        self.entries = [
            {
                'callers': f'127.0.0.1:{next(ports)}',
                'operators': f'127.0.0.1:{next(ports)}',
                'inner': f'127.0.0.1:{next(ports)}',
            }
            for _ in range(ENTRY_COUNT)
        ]
        self.agents = [
            {
                'announce': f'127.0.0.1:{next(ports)}',
                'worker': f'127.0.0.1:{next(ports)}',
                'backend': f'127.0.0.1:{next(ports)}',
            }
            for _ in range(AGENT_COUNT)
        ]

    def spawn(self, name, arguments):
        """Start a process that logs to ``work/<name>.log``."""
        log = open(self.work / f'{name}.log', 'w')
        is_limited = name.startswith(('entry', 'agent'))
        self.processes[name] = subprocess.Popen(
            arguments,
            cwd=ROOT,
            stdout=log,
            stderr=log,
            preexec_fn=self._limit_descriptors if is_limited else None,
        )

    def _limit_descriptors(self):
        if self.max_descriptors is not None:
            limits = (self.max_descriptors, self.max_descriptors)
            resource.setrlimit(resource.RLIMIT_NOFILE, limits)

    def start(self):
        """Start all processes."""
        python = sys.executable
        self.spawn('table', [python, '-m', 'standins.table', self.table])
        for number, entry in enumerate(self.entries):
            settings_path = self.write(
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
                    **self.entry_settings,
                },
            )
            self.spawn(
                f'entry-{number}', [*self.binary, 'entry', settings_path]
            )
        for number, agent in enumerate(self.agents):
            settings_path = self.write(
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
                    **self.agent_settings,
                },
            )
            self.spawn(
                f'worker-{number}',
                [python, '-m', 'standins.worker', agent['worker']],
            )
            self.spawn(
                f'agent-{number}', [*self.binary, 'agent', settings_path]
            )
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
        """Write a settings file; return its path."""
        path = self.work / f'{name}.json'
        path.write_text(
            '// Written by the demo.\n' + json.dumps(settings, indent=2)
        )
        return str(path)

    def operate(self, method, path, body=None, headers=None, entry=0):
        """Call the operator API; return the status and the body."""
        return http_call(
            self.entries[entry]['operators'],
            method,
            f'/v1/{path}',
            None if body is None else json.dumps(body),
            {'Authorization': f'Bearer {TOKEN}', **(headers or {})},
        )

    def wait_ready(self):
        """Wait until each entry lists all backends; exit after 40 s."""
        deadline = time.monotonic() + 40
        while time.monotonic() < deadline:
            self.check_alive()
            if all(
                self.lists_all_backends(number) for number in range(ENTRY_COUNT)
            ):
                return
            time.sleep(0.2)
        raise SystemExit(f'not ready in time; logs are in {self.work}')

    def check_alive(self):
        """Exit if a process has ended."""
        for name, process in self.processes.items():
            if process.poll() is not None:
                raise SystemExit(
                    f'{name} has ended; see {self.work}/{name}.log'
                )

    def lists_all_backends(self, number):
        """Return whether an entry lists the backends of all agents."""
        try:
            status, body = self.operate('GET', 'status', entry=number)
        except OSError:
            return False
        agents = json.loads(body)['agents'] if status == 200 else []
        return sum(len(agent['backends']) for agent in agents) == AGENT_COUNT

    def configure(self):
        """Submit the configuration; return its version."""
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
        """Wait until all processes report a version; return the seconds."""
        started_s = time.monotonic()
        while time.monotonic() - started_s < 10:
            _, body = self.operate('GET', 'status')
            status = json.loads(body)
            versions = [agent['configuration'] for agent in status['agents']]
            versions.extend(status['entries'].values())
            if all(reported >= version for reported in versions):
                return time.monotonic() - started_s
            time.sleep(0.05)
        raise SystemExit('the configuration did not come into force')

    def stop(self):
        """Stop entries and agents first, then what they depend on."""
        system = [
            name for name in self.processes if name[:5] in {'agent', 'entry'}
        ]
        for names in (system, set(self.processes) - set(system)):
            for name in names:
                self.processes[name].send_signal(signal.SIGTERM)
            for name in names:
                self.wait_or_kill(self.processes[name])
        self.ports.release()

    def wait_or_kill(self, process):
        """Wait 10 s for the end of a process, then kill it."""
        try:
            process.wait(10)
        except subprocess.TimeoutExpired:
            process.kill()


def http_call(address, method, path, body=None, headers=None):
    """Send one request; return the status and the body."""
    host, port = address.split(':')
    connection = http.client.HTTPConnection(host, int(port), timeout=15)
    try:
        connection.request(method, path, body, headers or {})
        response = connection.getresponse()
        return response.status, response.read()
    finally:
        connection.close()


def send_bookings(deployment):
    """Send the bookings; return the outcome and milliseconds of each."""
    outcomes = []

    def send_as_caller(number):
        for booking in range(BOOKING_COUNT // CALLER_COUNT):
            entry = deployment.entries[(number + booking) % ENTRY_COUNT]
            booking_text = f'rider-{number}-{booking}'
            started_s = time.perf_counter()
            status, body = http_call(
                entry['callers'], 'POST', '/trust/booking/lessons', booking_text
            )
            latency_ms = (time.perf_counter() - started_s) * 1000
            is_answered = (
                status == 200 and json.loads(body)['echo'] == booking_text
            )
            kind = 'answered' if is_answered else error_kind(status, body)
            outcomes.append((kind, latency_ms))

    threads = [
        threading.Thread(target=send_as_caller, args=(number,))
        for number in range(CALLER_COUNT)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return outcomes


def error_kind(status, body):
    """Return the kind of a response that is not the expected one."""
    if status == 200:
        return 'not its own answer'
    try:
        return json.loads(body)['error']
    except (ValueError, KeyError):
        return f'status {status}'


def run_job(deployment):
    """Submit a batch job and wait for it; return its task counts by state."""
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
        task_count_by_state = json.loads(body)['tasks']
        if task_count_by_state.get('completed') == 12:
            break
        time.sleep(0.2)
    return task_count_by_state


def print_results(outcomes, task_count_by_state):
    """Print the results; return whether bookings and tasks all succeeded."""
    kinds = Counter(kind for kind, _ in outcomes)
    print(f'{"bookings sent":<28}{len(outcomes):>8}')
    for kind, count in kinds.most_common():
        print(f'{"  " + kind:<28}{count:>8}')
    latencies_ms = [
        latency_ms for kind, latency_ms in outcomes if kind == 'answered'
    ]
    permilles = statistics.quantiles(latencies_ms, n=1000)
    for name, index in (('p50', 499), ('p90', 899), ('p99', 989)):
        print(f'{"latency " + name + " ms":<28}{permilles[index]:>8.1f}')
    for state, count in sorted(task_count_by_state.items()):
        print(f'{"job tasks " + state:<28}{count:>8}')
    all_answered = kinds['answered'] == len(outcomes)
    return all_answered and task_count_by_state.get('completed') == 12


def main():
    """Run the demo."""
    binary = None
    if '--binary' in sys.argv:
        binary = sys.argv[sys.argv.index('--binary') + 1]
        if not pathlib.Path(binary).is_file():
            raise SystemExit(f'{binary}: no such file; run make binary first')
    # SIGTERM stops the deployment as Ctrl-C does.
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    deployment = Deployment(binary)
    deployment.start()
    try:
        deployment.wait_ready()
        version = deployment.configure()
        in_force_s = deployment.wait_in_force(version)
        print(f'{"configuration in force s":<28}{in_force_s:>8.2f}')
        if '--stay' in sys.argv:
            stay(deployment)
            return
        outcomes = send_bookings(deployment)
        has_succeeded = print_results(outcomes, run_job(deployment))
    finally:
        deployment.stop()
    sys.exit(0 if has_succeeded else 1)


def stay(deployment):
    """Print commands to try; return on SIGINT or SIGTERM."""
    entry = deployment.entries[0]
    booking_url = f'http://{entry["callers"]}/trust/booking/lessons'
    status_url = f'http://{entry["operators"]}/v1/status'
    command = '.venv/bin/hyssopring'
    if deployment.binary[1:] != ['-m', 'hyssopring']:
        command = ' '.join(deployment.binary)
    print(
        'Running; Ctrl-C stops it. Try, from the same directory:',
        f'curl -i -d rider=ana {booking_url}',
        f'curl -H "Authorization: Bearer {TOKEN}" {status_url}',
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
