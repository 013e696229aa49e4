"""Processor time, modules and peak memory of a role's start on the platform.

The variants of starting are measured alternately, in processes that import the
modules of a role and exit. Prints medians; absolute figures depend on the
machine.

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
class StartVariant:
    """A variant of starting a role.

    Attributes:
        before: Code that runs before the imports.
    """

    name: str
    before: str = ''


START_VARIANTS = (
    StartVariant('plain'),
    StartVariant('no collector', 'import gc; gc.disable()'),
)


def measure_start(role, variant):
    """Start once; return processor seconds, peak memory in KB, modules."""
    code = IMPORT.format(role=role, before=variant.before)
    run = subprocess.run(
        [sys.executable, '-c', code],
        capture_output=True,
        text=True,
        check=True,
    )
    seconds, peak_kb, modules = run.stdout.split()
    return float(seconds), int(peak_kb), int(modules)


def report(role, runs):
    """Measure all variants alternately and print a line for each."""
    figures_by_variant = {variant: [] for variant in START_VARIANTS}
    for variant in START_VARIANTS:
        # The first start of all may have to write bytecode.
        measure_start(role, variant)
    for _run in range(runs):
        for variant, figures in figures_by_variant.items():
            figures.append(measure_start(role, variant))
    for variant, figures in figures_by_variant.items():
        seconds, peaks_kb, modules = zip(*figures)
        millis = statistics.median(seconds) * MILLIS_PER_SECOND
        peak_mb = statistics.median(peaks_kb) / KB_PER_MB
        print(
            f'{role:6} {variant.name:12} {millis:5.0f} ms of processor time, '
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
