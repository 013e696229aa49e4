"""Start programs as local processes, for tests and soak runs."""

import json
import pathlib
import subprocess
import sys

from standins.ports import HOST

ROOT = pathlib.Path(__file__).resolve().parent.parent


def settings_file(
    folder,
    name,
    inner,
    bind,
    store,
    seed,
    app,
    metrics,
    host=HOST,
    limits=None,
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
        'metricsPort': metrics,
    }
    if limits is not None:
        document['limits'] = limits
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
