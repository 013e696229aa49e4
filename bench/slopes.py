"""Measure the cost of each unit of load, growing one dimension at a time.

``python -m bench.slopes [--quick] [--only PREFIX] [--out FILE]``. Daemons run
as processes over loopback with emulated peers; cores run with the table in
memory. Processor time is the measured process's own getrusage over a window,
memory its resident size, bytes its transports' counters (no TCP headers).
"""

import argparse
import datetime
import itertools
import json
import os
import pathlib
import sys

from bench import slopes_cores
from bench.slopes_daemons import Daemons
from bench.slopes_fit import slope_record

UNIT_BY_METRIC = {
    'cpu': 'ms',
    'memory': 'KB',
    'sent': 'B/s',
    'received': 'B/s',
    'commits': 'commits',
    'reads': 'reads',
}


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--quick', action='store_true')
    parser.add_argument('--only', default='', metavar='PREFIX')
    parser.add_argument('--out', type=pathlib.Path)
    arguments = parser.parse_args()
    window_s, settle_s = (1.0, 1.5) if arguments.quick else (4.5, 2.5)
    daemons = Daemons(window_s, settle_s, arguments.quick)
    record = start_record(arguments.out)
    for points_by_name in itertools.chain(
        slopes_cores.run(arguments.only, arguments.quick),
        daemons.run(arguments.only),
    ):
        for name, points in points_by_name.items():
            slope = {'run': len(record['runs']) - 1, **slope_record(points)}
            record['slopes'][name] = slope
            show(name, slope)
        if arguments.out:
            text = json.dumps(record, indent=1, sort_keys=True)
            arguments.out.write_text(f'{text}\n')


def start_record(path):
    """Return the record of a file's earlier runs with this run added."""
    run = {
        'date': datetime.date.today().isoformat(),
        'command': ' '.join(['python -m bench.slopes', *sys.argv[1:]]),
        'machine': f'one shared machine, {os.cpu_count()} cores',
        'python': sys.version.split()[0],
    }
    earlier = json.loads(path.read_text()) if path and path.exists() else {}
    return {
        'runs': [*earlier.get('runs', []), run],
        'slopes': earlier.get('slopes', {}),
    }


def show(name, slope):
    unit = UNIT_BY_METRIC.get(name.rpartition('.')[2], 'B')
    print(
        f'{name:<28} {slope["intercept"]:>10.5g} + x * '
        f'{slope["slope"]:.5g} +/- {slope["slope_error"]:.2g} {unit}'
        f'  (r2 {slope["r_squared"]:.4f})'
    )
    print('    ' + '  '.join(f'{x}: {y:g}' for x, y in slope['points']))


if __name__ == '__main__':
    main()
