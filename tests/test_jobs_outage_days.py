"""VMs that are lost while owners follow each other in series.

Longer runs: ``python -m tests.test_jobs_outage_days FIRST LAST``.
"""

import sys

import pytest

from standins.jobs.outage_days import (
    CutVmDay,
    HalfVmDay,
    OutageDay,
    TakeoverDay,
)

KINDS = (OutageDay, HalfVmDay, TakeoverDay, CutVmDay)


@pytest.mark.parametrize(
    'kind, seed',
    [(OutageDay, 16), (HalfVmDay, 8), (TakeoverDay, 2), (CutVmDay, 2)],
)
def test_a_day_of_vms_that_stay_away(kind, seed):
    """Guards against tasks that wait for VMs on which they did not run.

    A task of a lost VM must not wait longer than safety requires either. The
    workers' record asserts that it does not start while it may run there.
    """
    day = kind(seed)
    violations = day.play()
    assert not day.watch.elsewhere, day.faults
    assert not day.watch.on_lost, day.faults
    assert not violations, day.faults


def main(first, last):
    """Run a range of seeds and print the faults of each that fails."""
    for seed in range(first, last + 1):
        for kind in KINDS:
            day = kind(seed)
            violations = day.play()
            if violations:
                print(kind.__name__, seed, day.faults, *violations, sep='\n  ')


if __name__ == '__main__':
    main(*map(int, sys.argv[1:]))
