"""Outliers, the budget of copies, and the speeds of workers."""

import pytest

from hyssopring.stragglers.copy_budget import CopyBudget
from hyssopring.stragglers.outliers import (
    RunEvidence,
    copy_gain_ms,
    is_outlier,
)
from hyssopring.stragglers.progress import Progress
from hyssopring.stragglers.slow_moves import ends_earlier_elsewhere
from hyssopring.stragglers.step_siblings import StepSiblings
from hyssopring.stragglers.worker_speeds import (
    SpeedSample,
    WorkerSpeeds,
    slow_workers,
)


def evidence(run_ms, **known):
    fields = {
        'progress_ms': 0,
        'done_share': None,
        'siblings_ms': None,
        'high_quantile_ms': None,
        'expected_ms': 1000,
    }
    return RunEvidence(run_ms, **{**fields, **known})


@pytest.mark.parametrize(
    'run, expected',
    [
        (evidence(299, high_quantile_ms=100), False),
        (evidence(301, high_quantile_ms=300), True),
        (evidence(5000, high_quantile_ms=5000), False),
        (evidence(60_000), False),
        (evidence(1500, siblings_ms=1000), False),
        (evidence(1501, siblings_ms=1000), True),
        # A third is done after what siblings need for a half.
        (
            evidence(2600, progress_ms=2600, done_share=0.3, siblings_ms=5000),
            False,
        ),
        (
            evidence(2700, progress_ms=2700, done_share=0.3, siblings_ms=5000),
            True,
        ),
        # No progress is reported by the step's tasks.
        (
            evidence(2700, progress_ms=2700, done_share=None, siblings_ms=5000),
            False,
        ),
        (
            evidence(900, progress_ms=200, done_share=0, siblings_ms=1000),
            False,
        ),
    ],
)
def test_a_run_is_an_outlier_by_its_key_its_siblings_or_its_progress(
    run, expected
):
    assert is_outlier(run) is expected


def test_a_run_that_is_almost_done_gains_nothing_from_a_copy():
    nearly_done = evidence(3000, done_share=0.9, siblings_ms=1000)
    assert copy_gain_ms(nearly_done) < 0
    assert copy_gain_ms(evidence(3000, done_share=0.3, siblings_ms=1000)) > 0
    assert copy_gain_ms(evidence(3000, siblings_ms=1000)) > 0


def test_copies_use_their_share_and_a_single_one_may_exceed_it():
    budget = CopyBudget(0.05, running_millis=10_000)
    assert budget.allows(1000)
    budget.add_copy(300)
    assert budget.allows(200)
    assert not budget.allows(300)
    assert not CopyBudget(0, running_millis=10_000).allows(1)


def test_progress_counts_time_at_a_reduced_pace_in_proportion():
    """A throttled task would count as a slow one."""
    progress = Progress(0, 0, 0)
    progress.update(1000, 1000, 10, pace_share=0.5)
    assert progress.run_ms == 500
    progress.update(2000, 2000, 20, pace_share=0)
    assert progress.run_ms == 500


def test_progress_is_measured_between_reports_that_show_some():
    progress = Progress(0, 0, 0)
    for now_ms, percent in ((500, 0), (1000, 5), (1500, 10), (2100, 16)):
        progress.update(now_ms, now_ms, percent, pace_share=1)
    assert progress.full_ms == pytest.approx(10_000)


def test_progress_of_a_stuck_task_is_a_bound():
    progress = Progress(0, 0, 0)
    for now_ms in range(500, 4001, 500):
        progress.update(now_ms, now_ms, 0, pace_share=1)
    assert progress.full_ms >= 200_000


def test_progress_does_not_change_without_a_new_report():
    """An agent that is away would make its tasks look stuck."""
    progress = Progress(0, 0, 0)
    for now_ms, reported_at_ms, percent in (
        (1000, 1000, 10),
        (2500, 2500, 25),
        (9000, 2500, 25),
    ):
        progress.update(now_ms, reported_at_ms, percent, pace_share=1)
    assert progress.full_ms == pytest.approx(10_000)
    assert progress.reported_run_ms == 2500


def test_a_resumed_attempt_is_judged_by_its_own_share():
    progress = Progress(0, 60, 60)
    progress.update(1000, 1000, 80, pace_share=1)
    assert progress.done_share == 0.5
    assert progress.own_share == 0.4


def test_siblings_on_the_same_worker_show_nothing():
    siblings = StepSiblings()
    for boot in ('a', 'a', 'a', 'b', 'b'):
        siblings.add_finished(boot, 1000)
    assert siblings.median_ms('a') is None
    assert siblings.median_ms('b') == 1000


def speeds_after(speeds_by_key, count=8):
    speeds = WorkerSpeeds()
    for _round in range(count):
        for key, speed in speeds_by_key.items():
            speeds.record(SpeedSample('boot', key, speed), 0)
    return speeds


def test_the_speed_averages_keys():
    assert speeds_after({'one': 0.2, 'two': 0.4}).speed_of(
        'boot'
    ) == pytest.approx(0.4)
    assert speeds_after({'one': 0.2, 'two': 0.4, 'three': 0.9}).speed_of(
        'boot'
    ) == pytest.approx(0.5)


def test_one_key_alone_makes_no_worker_slow():
    assert speeds_after({'one': 0.1}).speed_of('boot') == 1
    assert speeds_after({'one': 0.01, 'two': 0.9}).speed_of('boot') >= 0.9


def test_an_unknown_worker_has_the_usual_speed():
    assert WorkerSpeeds().speed_of('boot') == 1


def test_speeds_are_forgotten_without_evidence_and_with_the_boot():
    speeds = speeds_after({'one': 0.2, 'two': 0.2})
    speeds.forget_old(['boot'], 30_000)
    assert speeds.speed_of('boot') < 0.5
    speeds.forget_old(['boot'], 30_001)
    assert speeds.speed_of('boot') == 1
    replaced = speeds_after({'one': 0.2, 'two': 0.2})
    replaced.forget_old(['other'], 0)
    assert replaced.speed_of('boot') == 1


def test_at_most_a_quarter_of_a_service_is_slow():
    speed_by_boot = {str(number): 0.1 + number / 100 for number in range(8)}
    assert set(slow_workers(speed_by_boot, 0.5)) == {'0', '1'}
    assert not slow_workers({'a': 0.1, 'b': 1, 'c': 1}, 0.5)


def test_a_stop_must_end_the_task_clearly_earlier():
    assert ends_earlier_elsewhere(left_ms=5000, speed=0.14)
    assert not ends_earlier_elsewhere(left_ms=500, speed=0.14)
    assert not ends_earlier_elsewhere(left_ms=5000, speed=0.5)
