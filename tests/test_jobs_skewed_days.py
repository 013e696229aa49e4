"""Random days at size with clock steps, late orders and rolling restarts.

Longer runs: ``python -m tests.test_jobs_skewed_days FIRST LAST WORKERS ENTRIES``,
with ``--no-clock-steps`` without steps of the time of day.
"""

import argparse
from collections import Counter

import pytest

from hyssopring.logs import configure_logging
from standins.jobs.skewed_days import SkewedDay


def play_broken(day):
    """Play a day; return what the record says is broken and other lines."""
    try:
        others = day.play()
    except AssertionError:
        if not day.deployment.run_recorder.broken:
            raise
        others = []
    return day.deployment.run_recorder.broken, others


@pytest.mark.parametrize(
    ('seed', 'workers', 'entries', 'series', 'has_clock_steps'),
    [
        (507, 8, 4, 2, True),
        (205, 8, 4, 2, False),
        (301, 46, 6, 1, False),
    ],
)
def test_a_day_of_rolling_restarts(
    seed, workers, entries, series, has_clock_steps
):
    """Guards against tasks that run twice beside late orders and restarts.

    The workers' record asserts that no task runs twice or starts after its end.
    """
    day = SkewedDay(seed, workers, entries, series, has_clock_steps)
    broken, _others = play_broken(day)
    print(day.counts)
    assert not broken, day.faults
    assert day.counts['late_calls'], 'no order was carried out late'


def main():
    """Play a range of seeds; print what each has had and what is broken."""
    parser = argparse.ArgumentParser()
    for name in ('first', 'last', 'workers', 'entries'):
        parser.add_argument(name, type=int)
    parser.add_argument('--no-clock-steps', action='store_true')
    given = parser.parse_args()
    configure_logging('ERROR')
    counts = Counter()
    for seed in range(given.first, given.last + 1):
        day = SkewedDay(
            seed,
            given.workers,
            given.entries,
            has_clock_steps=not given.no_clock_steps,
        )
        broken, others = play_broken(day)
        counts.update(day.counts)
        counts['broken_days'] += bool(broken)
        counts['other_days'] += bool(others)
        print(seed, day.counts, *broken, *others, sep='\n  ', flush=True)
        if broken:
            print(*day.faults, sep='\n  ', flush=True)
    print('all', dict(counts))


if __name__ == '__main__':
    main()
