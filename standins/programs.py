"""Start programs as local processes, for tests and soak runs."""

import contextlib
import json
import pathlib
import socket
import subprocess
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
HOST = '127.0.0.1'


def free_ports(count, host=HOST):
    """Return unused ports; another process may take one meanwhile."""
    with contextlib.ExitStack() as opened:
        sockets = [
            opened.enter_context(socket.socket()) for _port in range(count)
        ]
        for unbound in sockets:
            unbound.bind((host, 0))
        return [bound.getsockname()[1] for bound in sockets]


def settings_file(
    folder, name, inner, bind, store, seed, app, host=HOST, metrics=None
):
    """Write a process's node file; return the environment that names it."""
    document = {
        'nodeName': name,
        'ip': host,
        'zone': 'z',
        'zones': {'z': 'r'},
        'bindAddresses': bind,
        'internalPorts': [inner, inner],
        'seeds': [f'{host}:{seed}'],
        'platform': {'address': store},
        'app': app,
        'metricsPort': metrics or free_ports(1, host)[0],
    }
    path = folder / f'{name}.json'
    path.write_text(json.dumps(document))
    return {'HYSSOPRING_NODE_FILE': str(path)}


def start_program(arguments, environment, output):
    """Start ``python -m`` with this source tree; return the process."""
    return subprocess.Popen(
        [sys.executable, '-m', *arguments],
        cwd=ROOT,
        env={'PATH': '/usr/bin', **environment},
        stdout=output,
        stderr=subprocess.STDOUT,
    )
