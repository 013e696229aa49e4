"""Owners that are suspended and resume beside their successors.

Longer runs: ``python -m tests.test_jobs_suspended_days FIRST LAST``.
"""

import sys
from collections import Counter

import pytest

from hyssopring.logs import configure_logging
from standins.jobs.suspended_days import SuspendedDay


@pytest.mark.parametrize(
    ('seed', 'series'), [(18, 1), (36, 2), (123, 3), (132, 2)]
)
def test_a_day_of_suspended_owners(seed, series):
    """Guards against tasks that a former owner starts a second time.

    It takes an attempt for lapsed, for unlisted by a restarted agent, or for
    ended with an agent that left, while its successor knows better; or it
    starts a waiting task that its successor has started. The workers' record
    asserts that no task runs twice or starts after its end.
    """
    day = SuspendedDay(seed, series)
    violations = day.play()
    print(day.counts)
    assert not violations, day.faults
    assert day.overlaps.count, 'no former owner could act'


def main(first, last):
    """Run a range of seeds; print what each shows and each that fails."""
    configure_logging('ERROR')
    counts = Counter()
    for seed in range(first, last + 1):
        day = SuspendedDay(seed)
        violations = _play(day)
        counts.update(day.counts)
        print(seed, day.counts, dict(day.overlaps.reasons), flush=True)
        if violations:
            print(*day.faults, *violations, sep='\n  ', flush=True)
    print('all', dict(counts))


def _play(day):
    """Return the violations of a day; one of the record ends it."""
    try:
        return day.play()
    except AssertionError:
        violations = day.deployment.run_recorder.broken
        if not violations:
            raise
        return violations


if __name__ == '__main__':
    main(*map(int, sys.argv[1:]))
