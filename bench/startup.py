"""Processor time, modules and peak memory of a role's start on the platform.

Each way of starting is measured in turns with the others, in processes that
import a role's modules and end. Medians; absolute figures are the machine's.

    python -m bench.startup [--runs N]
"""

import argparse
import statistics
import subprocess
import sys
from dataclasses import dataclass

ROLES = ('entry', 'agent')
IMPORT = """
import resource, sys
{before}
import hyssopring.platform.roles
import hyssopring.platform.{role}_process
used = resource.getrusage(resource.RUSAGE_SELF)
print(used.ru_utime + used.ru_stime, used.ru_maxrss, len(sys.modules))
"""
KB_PER_MB = 1024
MILLIS_PER_SECOND = 1000


@dataclass(frozen=True)
class Way:
    """One way of starting a role."""

    name: str
    before: str = ''


WAYS = (
    Way('plain'),
    Way('no collector', 'import gc; gc.disable()'),
)


def started(role, way):
    """Start once: processor seconds, peak memory in KB, modules."""
    code = IMPORT.format(role=role, before=way.before)
    run = subprocess.run(
        [sys.executable, '-c', code],
        capture_output=True,
        text=True,
        check=True,
    )
    seconds, peak_kb, modules = run.stdout.split()
    return float(seconds), int(peak_kb), int(modules)


def report(role, runs):
    """Measure all ways in turns and print a line for each."""
    told = {way: [] for way in WAYS}
    for way in WAYS:
        # The first start of all may have to write bytecode.
        started(role, way)
    for _run in range(runs):
        for way, figures in told.items():
            figures.append(started(role, way))
    for way, figures in told.items():
        seconds, peaks_kb, modules = zip(*figures)
        millis = statistics.median(seconds) * MILLIS_PER_SECOND
        peak_mb = statistics.median(peaks_kb) / KB_PER_MB
        print(
            f'{role:6} {way.name:12} {millis:5.0f} ms of processor time, '
            f'peak {peak_mb:.1f} MB, {max(modules)} modules'
        )


def main():
    """Print the table."""
    parser = argparse.ArgumentParser(prog='bench.startup', description=__doc__)
    parser.add_argument('--runs', type=int, default=9, help='of each way')
    for role in ROLES:
        report(role, parser.parse_args().runs)


if __name__ == '__main__':
    main()
