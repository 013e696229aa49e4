"""Run times that are learned from ends."""

import random

import pytest

from hyssopring.learning.run_times import MAX_KEYS, RunTimes
from hyssopring.learning.spread import Spread

_KEY = 'image:cut'


def test_without_ends_the_estimate_counts():
    run_times = RunTimes()
    assert run_times.expected_ms(_KEY, 700) == 700
    assert run_times.quantile_ms(_KEY, 700, 0.5) is None


def test_ends_outweigh_an_estimate_that_is_off_by_90_percent():
    run_times = RunTimes()
    first = None
    for _each in range(50):
        run_times.record(_KEY, 100, 1000)
        first = first or run_times.expected_ms(_KEY, 100)
    assert 100 < first < 500
    assert run_times.expected_ms(_KEY, 100) == pytest.approx(1000, rel=0.1)


def test_jobs_of_different_sizes_share_the_ratio():
    """An average of times would take a large job for a small one."""
    run_times = RunTimes()
    for number in range(100):
        estimate_ms = 100 * (1 + number % 10)
        run_times.record(_KEY, estimate_ms, 2 * estimate_ms)
    assert run_times.expected_ms(_KEY, 5000) == pytest.approx(10_000, rel=0.1)
    median_ms = run_times.quantile_ms(_KEY, 5000, 0.5)
    assert median_ms == pytest.approx(10_000, rel=0.1)


def test_times_predict_where_estimates_are_arbitrary():
    """A ratio to estimates off by 90% would be off as much itself."""
    rng = random.Random(1)
    run_times = RunTimes()
    for _each in range(100):
        run_times.record(_KEY, 1000 * rng.uniform(0.1, 1.9), 1000)
    for estimate_ms in (100, 1900):
        expected_ms = run_times.expected_ms(_KEY, estimate_ms)
        assert expected_ms == pytest.approx(1000, rel=0.1)


def test_a_tail_of_7_times_shows_in_the_last_quantile_only():
    """Halving of the counts must not change the tail's share either."""
    rng = random.Random(2)
    run_times = RunTimes()
    for _each in range(5000):
        factor = 7 if rng.random() < 0.03 else 1
        run_times.record(_KEY, 1000, factor * 1000)
    assert run_times.quantile_ms(_KEY, 1000, 0.9) == pytest.approx(
        1000, rel=0.07
    )
    assert run_times.quantile_ms(_KEY, 1000, 0.995) == pytest.approx(
        7000, rel=0.07
    )
    assert run_times.expected_ms(_KEY, 1000) == pytest.approx(1180, rel=0.1)


def test_an_image_that_gets_slower_is_followed():
    run_times = RunTimes()
    for run_ms in [100] * 2000 + [500] * 1500:
        run_times.record(_KEY, 100, run_ms)
    assert run_times.expected_ms(_KEY, 100) > 400


def test_a_new_image_keeps_its_estimate_beside_others():
    run_times = RunTimes()
    for _each in range(50):
        run_times.record(_KEY, 100, 1000)
    assert run_times.expected_ms('image:new', 100) == 100


def test_without_an_estimate_times_predict():
    run_times = RunTimes()
    for _each in range(30):
        run_times.record(_KEY, 0, 400)
    assert run_times.expected_ms(_KEY, 0) == pytest.approx(400)
    assert run_times.quantile_ms(_KEY, 0, 0.95) == pytest.approx(400, rel=0.07)


@pytest.mark.parametrize('run_ms', [0, -5, float('nan'), float('inf')])
def test_impossible_times_are_ignored(run_ms):
    run_times = RunTimes()
    run_times.record(_KEY, 100, run_ms)
    assert run_times.expected_ms(_KEY, 100) == 100


def test_extreme_estimates_do_not_fail():
    run_times = RunTimes()
    for estimate_ms in (10**299, 1e-300):
        run_times.record(_KEY, estimate_ms, 1000)
        assert run_times.expected_ms(_KEY, estimate_ms) > 0


def test_keys_are_bounded_and_much_used_ones_kept():
    run_times = RunTimes()
    for _each in range(50):
        run_times.record(_KEY, 100, 1000)
    for number in range(5 * MAX_KEYS):
        run_times.record(f'image:{number}', 100, 100)
    assert len(run_times) == MAX_KEYS
    assert run_times.expected_ms(_KEY, 100) > 900


def test_scaled_counts_keep_rare_values():
    """Rounding each count by itself would drop a tail of single ends."""
    spread = Spread.from_counts([(1, 400)] + [(50 + n, 1) for n in range(20)])
    scaled = spread.counts(42)
    assert sum(count for _number, count in scaled) == 42
    assert sum(count for number, count in scaled if number > 40) == 2
