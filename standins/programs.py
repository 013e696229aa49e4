"""The platform's programs as processes on this machine, for tests and soaks."""

import contextlib
import json
import pathlib
import socket
import subprocess
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
HOST = '127.0.0.1'


def free_ports(count, host=HOST):
    """Return ports that nobody listens on at this moment."""
    with contextlib.ExitStack() as opened:
        sockets = [
            opened.enter_context(socket.socket()) for _each in range(count)
        ]
        for each in sockets:
            each.bind((host, 0))
        return [each.getsockname()[1] for each in sockets]


def settings_file(
    folder, name, inner, bind, store, seed, app, host=HOST, metrics=None
):
    """Write what the platform tells a process; return its environment."""
    document = {
        'nodeName': name,
        'ip': host,
        'zone': 'z',
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
    """Start ``python -m`` with this copy of the code; the process."""
    return subprocess.Popen(
        [sys.executable, '-m', *arguments],
        cwd=ROOT,
        env={'PATH': '/usr/bin', **environment},
        stdout=output,
        stderr=subprocess.STDOUT,
    )
