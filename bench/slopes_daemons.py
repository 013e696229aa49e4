"""Slopes of whole daemons over loopback sockets."""

import http.client
import os
import threading
import time

from bench.slopes_processes import TOKEN, Processes, free_address

METRICS = ('cpu', 'memory', 'sent', 'received')


def grow(name, sizes, measure, metrics=METRICS):
    """Measure each size; return points by slope id."""
    points = {f'{name}.{metric}': [] for metric in metrics}
    for size in sizes:
        figures = measure(size)
        for metric in metrics:
            points[f'{name}.{metric}'].append((size, figures[metric]))
    return points


class Daemons:
    """Experiments on one entry or one agent with emulated peers.

    Attributes:
        window_s: How long the use of resources is measured.
        settle_s: Delay before the measurement.
        is_quick: Whether sizes are cut to a third.
    """

    def __init__(self, window_s, settle_s, is_quick):
        self.window_s = window_s
        self.settle_s = settle_s
        self.is_quick = is_quick

    def sizes(self, *full):
        return [size // 3 for size in full] if self.is_quick else full

    def experiments(self):
        """Return sizes, measuring function and metrics by experiment name."""
        starts = ('cpu', 'sent', 'received', 'commits')
        table = (*METRICS, 'commits', 'reads')
        return {
            'entry.agents': (
                (0, 40, 80, 160, 320),
                lambda agents: self.entry(agents=agents),
                table,
            ),
            'entry.backends': (
                (0, 4, 8, 16, 24),
                lambda backends: self.entry(agents=40, backends=backends),
                METRICS,
            ),
            'entry.requests': (
                (0, 60, 120, 180, 240),
                lambda rate: self.entry(agents=12, rate=rate),
                METRICS,
            ),
            'entry.starts': (
                (0, 30, 60, 120),
                lambda rate: self.entry(
                    agents=24, tasks=int(rate * self.window_s)
                ),
                starts,
            ),
            'agent.entries': (
                (0, 3, 6, 9, 12),
                lambda entries: self.agent(entries=entries),
                METRICS,
            ),
            'agent.backends': (
                (0, 4, 8, 16),
                lambda backends: self.agent(entries=4, backends=backends),
                METRICS,
            ),
            'agent.tasks': (
                (0, 16, 32, 64, 128),
                lambda tasks: self.agent(entries=1, tasks=tasks),
                METRICS,
            ),
            'agent.requests': (
                (0, 40, 80, 160),
                lambda rate: self.agent(entries=1, backends=1, rate=rate),
                METRICS,
            ),
            'agent.starts': (
                (0, 4, 8, 16),
                lambda starts: self.agent(entries=1, starts=starts),
                METRICS,
            ),
            'operator.agents': (
                (0, 40, 80, 160),
                self.operator,
                ('cpu', 'memory'),
            ),
        }

    def run(self, prefix):
        """Yield each experiment's points as soon as they are measured."""
        for name, (sizes, measure, metrics) in self.experiments().items():
            if name.startswith(prefix):
                yield grow(name, self.sizes(*sizes), measure, metrics)

    def entry(self, agents=0, backends=1, rate=0, tasks=0):
        with Processes() as processes:
            table = free_address()
            processes.spawn('standins.table', table)
            time.sleep(0.7)
            node = processes.entry(table)
            node.configure()
            if agents:
                processes.spawn(
                    'bench.peers',
                    'agents',
                    node.inner_address,
                    agents,
                    backends,
                )
            time.sleep(self.settle_s + agents * 0.003)
            connected = node.scrape()['inner_connections']
            assert connected == agents, (
                f'{connected} agents connected, not {agents}'
            )
            job = {'job_id': 'j', 'team': 'trust', 'template': 'feed'}
            if tasks:
                node.operate('POST', 'jobs', {**job, 'tasks': tasks})
            with Callers(node.caller_address, rate):
                figures = node.measure(self.window_s)
            if not tasks:
                return figures
            done = node.operate('GET', 'jobs/j')['tasks']
            assert done == {'completed': tasks}, done
            return figures

    def operator(self, agents):
        """Measure the process of one ``status`` command."""
        with Processes() as processes:
            table = free_address()
            processes.spawn('standins.table', table)
            time.sleep(0.7)
            node = processes.entry(table)
            if agents:
                processes.spawn(
                    'bench.peers', 'agents', node.inner_address, agents, 1
                )
            time.sleep(self.settle_s)
            command = processes.spawn(
                'hyssopring',
                'status',
                '--entry',
                node.http_address,
                '--token',
                TOKEN,
            )
            _, status, usage = os.wait4(command.pid, 0)
            command.returncode = status
            assert status == 0, status
            return {
                'cpu': (usage.ru_utime + usage.ru_stime) * 1000,
                'memory': usage.ru_maxrss * 1.024,
            }

    def agent(self, entries=0, backends=0, tasks=0, rate=0, starts=0):
        with Processes() as processes:
            worker = free_address()
            processes.spawn('standins.worker', worker)
            addresses = [free_address() for _ in range(max(entries, 1))]
            if entries:
                ports = ','.join(address.split(':')[1] for address in addresses)
                processes.spawn(
                    'bench.peers', 'entries', ports, tasks, rate, starts
                )
            time.sleep(0.7)
            node = processes.agent(addresses, worker)
            for number in range(backends):
                processes.spawn(
                    'standins.backend',
                    free_address(),
                    node.http_address,
                    f'trust/service-{number}' if number else 'trust/booking',
                )
            time.sleep(self.settle_s)
            connected = node.scrape()['inner_connections']
            assert connected == entries, (
                f'{connected} entries connected, not {entries}'
            )
            running = node.scrape()['tasks_running']
            assert running >= tasks, f'{running} tasks run, not {tasks}'
            assert bool(starts) <= bool(running), 'no short task was started'
            return node.measure(self.window_s)


class Callers:
    """Threads that send calls at a steady rate on persistent connections."""

    threads = 6

    def __init__(self, address, rate):
        self.address = address
        self.rate = rate
        self.is_stopped = threading.Event()
        self.started_threads = []

    def __enter__(self):
        for _ in range(self.threads if self.rate else 0):
            thread = threading.Thread(target=self.call)
            thread.start()
            self.started_threads.append(thread)

    def __exit__(self, *_reason):
        self.is_stopped.set()
        for thread in self.started_threads:
            thread.join()

    def call(self):
        host, port = self.address.split(':')
        connection = http.client.HTTPConnection(host, int(port), timeout=10)
        due = time.monotonic()
        while not self.is_stopped.is_set():
            due += self.threads / self.rate
            connection.request('POST', '/trust/booking/lessons', b'rider')
            answer = connection.getresponse()
            answer.read()
            assert answer.status == 200, answer.status
            time.sleep(max(due - time.monotonic(), 0))
        connection.close()
