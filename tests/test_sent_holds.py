"""Requests whose hold may apply to the next incarnation of a worker."""

import pytest
from twisted.internet.task import Clock as Reactor

from hyssopring.jobs.model import AttemptEnd
from hyssopring.jobs.sent_holds import SentHolds
from hyssopring.jobs.times import CLOCK_DRIFT, MAX_HOLD_MS
from hyssopring.jobs.worker_port import EndRow, Listing, WorkerRow
from standins.jobs.processes import ReactorClock

TASK = '0000000000000001.0.0.0'
NEW_CLOCK_MS = 1000
OLD_UNTIL_MS = 500_000
DELAY_S = 61
RUNNING = Listing(NEW_CLOCK_MS, (WorkerRow(TASK, 1, '', 0, 0),), ())
ENDED = Listing(NEW_CLOCK_MS, (), (EndRow(1, TASK, 1, AttemptEnd.DONE, ''),))
IDLE = Listing(NEW_CLOCK_MS, (), ())
INCOMPLETE = Listing(NEW_CLOCK_MS, (), (), is_complete=False)
LONGEST_MS = MAX_HOLD_MS * (1 + CLOCK_DRIFT)


@pytest.fixture
def reactor():
    return Reactor()


@pytest.fixture
def holds(reactor):
    return SentHolds(ReactorClock(reactor))


def test_nothing_sent_holds_nothing(holds):
    assert not holds.longest_ms(IDLE)
    holds.add(None)
    assert not holds.longest_ms(IDLE)


def test_an_unanswered_request_may_hold_for_the_limit(holds):
    """Guards against an expiry that ignores a request carried out late."""
    holds.add(OLD_UNTIL_MS)
    assert holds.longest_ms(IDLE) == LONGEST_MS


@pytest.mark.parametrize(('until_ms', 'left_ms'), [(3000, 2000), (500, 0)])
def test_a_hold_ends_by_the_next_incarnation_s_clock(holds, until_ms, left_ms):
    holds.add(until_ms)
    assert holds.longest_ms(IDLE) == left_ms * (1 + CLOCK_DRIFT)


def test_a_request_is_forgotten_once_it_cannot_be_carried_out(holds, reactor):
    holds.add(OLD_UNTIL_MS)
    reactor.advance(DELAY_S)
    holds.add(None)
    assert not holds.longest_ms(IDLE)


def test_a_removed_request_does_not_count(holds):
    hold = holds.add(OLD_UNTIL_MS)
    holds.remove(hold)
    assert not holds.longest_ms(IDLE)


@pytest.mark.parametrize(
    ('listing', 'longest_ms'),
    [(RUNNING, LONGEST_MS), (ENDED, LONGEST_MS), (INCOMPLETE, LONGEST_MS)],
)
def test_a_started_task_that_is_listed_counts(holds, listing, longest_ms):
    """Guards against an answer of the next incarnation taken for the former's."""
    hold = holds.add(OLD_UNTIL_MS, TASK, 1)
    holds.record_answer(hold, has_started=True)
    assert holds.longest_ms(listing) == longest_ms


def test_a_started_task_that_is_not_listed_ran_on_the_former(holds):
    """Guards against each recent start that keeps a worker idle."""
    hold = holds.add(OLD_UNTIL_MS, TASK, 1)
    holds.record_answer(hold, has_started=True)
    assert not holds.longest_ms(IDLE)


@pytest.mark.parametrize('polls_later', [False, True])
def test_a_refused_start_counts_until_a_later_poll(holds, reactor, polls_later):
    hold = holds.add(OLD_UNTIL_MS, TASK, 1)
    polled_at = reactor.seconds()
    reactor.advance(1)
    holds.record_answer(hold, has_started=False)
    holds.confirm(2000 if polls_later else polled_at)
    assert bool(holds.longest_ms(IDLE)) is not polls_later
