"""Starts the processes of a small deployment and measures their use."""

import json
import socket
import subprocess
import sys
import tempfile
import time
import urllib.request

SECRET = 'bench-inner-secret-0123456789'
TOKEN = 'bench-operator-token-0123456789'
SIZE = {'cores': 0.25, 'memory_gb': 0.25}


def free_address():
    with socket.socket() as probe:
        probe.bind(('127.0.0.1', 0))
        return f'127.0.0.1:{probe.getsockname()[1]}'


class Processes:
    """Context that starts processes and kills exactly those by their ids."""

    def __enter__(self):
        self.running = []
        self.folder = tempfile.TemporaryDirectory()
        return self

    def __exit__(self, *_reason):
        for process in reversed(self.running):
            process.kill()
        for process in self.running:
            process.wait()
        self.folder.cleanup()

    def spawn(self, module, *arguments):
        process = subprocess.Popen(
            [sys.executable, '-m', module, *map(str, arguments)],
            stdout=subprocess.DEVNULL,
            stderr=subprocess.DEVNULL,
        )
        self.running.append(process)
        return process

    def settings(self, document):
        path = f'{self.folder.name}/{document["id"]}.json'
        with open(path, 'w') as file:
            json.dump(document, file)
        return path

    def entry(self, table, number=0):
        node = Node(free_address(), free_address(), free_address())
        path = self.settings(
            {
                'id': f'entry-{number}',
                'zone': 'paddock',
                'caller_address': node.caller_address,
                'operator_address': node.http_address,
                'inner_address': node.inner_address,
                'store_url': f'http://{table}',
                'inner_secret': SECRET,
                'operator_token': TOKEN,
                # The expected size of deployments has one shard for each entry.
                'shards': 1,
            }
        )
        node.process = self.spawn('hyssopring', 'entry', path)
        node.wait()
        return node

    def agent(self, entries, worker, number=0):
        node = Node(free_address())
        path = self.settings(
            {
                'id': f'agent-{number}',
                'zone': 'paddock',
                'rack': 'rack-0',
                'capacity': {'cores': 64, 'memory_gb': 64},
                'announce_address': node.http_address,
                'entries': entries,
                'worker_url': f'http://{worker}',
                'inner_secret': SECRET,
            }
        )
        node.process = self.spawn('hyssopring', 'agent', path)
        node.wait()
        return node


class Node:
    """One daemon under measurement.

    Attributes:
        http_address: Address that serves metrics and operator requests.
        caller_address: Address for calls, of an entry.
        inner_address: Address for agents, of an entry.
    """

    def __init__(self, http_address, caller_address='', inner_address=''):
        self.http_address = http_address
        self.caller_address = caller_address
        self.inner_address = inner_address
        self.process = None

    def wait(self):
        deadline = time.monotonic() + 20
        while time.monotonic() < deadline:
            try:
                return self.scrape()
            except OSError:
                time.sleep(0.1)
        raise SystemExit('a daemon did not start')

    def scrape(self):
        url = f'http://{self.http_address}/metrics'
        with urllib.request.urlopen(url, timeout=10) as response:
            text = response.read().decode()
        pairs = (line.rpartition(' ') for line in text.splitlines())
        return {
            name.removeprefix('hyssopring_'): float(reading)
            for name, _, reading in pairs
        }

    def operate(self, method, path, document=None):
        body = None if document is None else json.dumps(document).encode()
        request = urllib.request.Request(
            f'http://{self.http_address}/v1/{path}',
            body,
            {'Authorization': f'Bearer {TOKEN}'},
            method=method,
        )
        with urllib.request.urlopen(request, timeout=10) as response:
            return json.load(response)

    def configure(self):
        for key, document in (
            ('template/booking', {'kind': 'service', 'size': SIZE}),
            ('parameters/trust/booking', {'urgency': 8}),
            ('template/feed', {'kind': 'batch', 'size': SIZE}),
            ('parameters/trust/feed', {}),
        ):
            self.operate('PUT', f'configuration/{key}', document)

    def measure(self, seconds):
        """Return the resources used per second over a window of seconds."""
        before, start = self.scrape(), time.monotonic()
        time.sleep(seconds)
        after, took_s = self.scrape(), time.monotonic() - start

        def rate(name, scale=1.0):
            return (after[name] - before.get(name, 0)) * scale / took_s

        figures = {
            'cpu': rate('process_cpu_seconds', 1000),
            'memory': after['process_resident_bytes'] / 1000,
            'sent': rate('inner_sent_bytes'),
            'received': rate('inner_received_bytes'),
        }
        if 'store_reads' in after:
            figures['commits'] = rate('store_commits')
            figures['reads'] = rate('store_reads')
        return figures
