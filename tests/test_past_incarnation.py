"""Which starts an agent counts as possible causes of a worker's crash."""

import pytest

from hyssopring.jobs.attempts import Attempt, Phase
from hyssopring.jobs.past_incarnation import PastIncarnation

ANSWERED_AT = 10_000


def incarnation(failing_since=None, is_planned=False):
    return PastIncarnation('boot', ANSWERED_AT, failing_since, is_planned)


def attempt(ordered_at, is_confirmed=True, tries=1):
    started = Attempt(
        'job.0.0.0', 1, 0, Phase.STARTING, ordered_at, tries=tries
    )
    started.confirmed_at = ordered_at if is_confirmed else None
    return started


@pytest.mark.parametrize(
    ('ordered_at', 'is_suspect'),
    [
        (ANSWERED_AT - 1000, False),
        (ANSWERED_AT - 900, True),
        (ANSWERED_AT + 300, True),
    ],
)
def test_only_a_start_in_the_last_second_may_have_crashed_a_worker(
    ordered_at, is_suspect
):
    assert bool(incarnation().suspects([attempt(ordered_at)])) is is_suspect


def test_nothing_has_crashed_a_worker_that_said_that_it_leaves():
    """Guards against a planned shutdown that counts as a crash."""
    assert not incarnation(is_planned=True).suspects([attempt(ANSWERED_AT)])


def test_a_start_sent_to_a_dead_worker_has_crashed_nothing():
    """Guards against a start that never arrived counting as the cause."""
    late = attempt(ANSWERED_AT + 300, is_confirmed=False)
    assert incarnation(failing_since=ANSWERED_AT + 400).suspects([late])
    assert not incarnation(failing_since=ANSWERED_AT + 200).suspects([late])


def test_a_start_sent_into_a_long_silence_has_crashed_nothing():
    """Guards against an unreachable worker's starts counting as causes."""
    late = attempt(ANSWERED_AT + 700, is_confirmed=False)
    assert not incarnation().suspects([late])


def test_a_repeated_start_without_an_answer_has_crashed_nothing():
    """Guards against a lost start counting as the cause of a later crash."""
    repeated = attempt(ANSWERED_AT, is_confirmed=False, tries=2)
    assert not incarnation().suspects([repeated])


def test_an_attempt_that_a_new_agent_has_found_has_crashed_nothing():
    """Guards against blaming a task that may have been running for long."""
    assert not incarnation().suspects([attempt(ANSWERED_AT, tries=0)])
