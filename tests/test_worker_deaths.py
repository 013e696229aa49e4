"""Deaths of workers that come alone, together, and often."""

import pytest

from hyssopring.jobs.fleet import Fleet
from hyssopring.jobs.messages import WorkerReport
from hyssopring.jobs.worker_crashes import WorkerCrashes

AGENTS = 11
START = 100_000


class StillClock:
    """Stands at a time until it is set."""

    at = START

    def now(self):
        return self.at


def report(boot, silent_ms=0, is_leaving=False):
    return WorkerReport(
        1,
        boot,
        'service',
        [],
        16_000,
        64_000,
        0,
        is_leaving,
        0,
        silent_ms,
        [],
        [],
        [],
        0,
        0,
        0,
        0,
    )


class Deaths:
    """Reports of some agents to one owner."""

    def __init__(self):
        self.clock = StillClock()
        self.fleet = Fleet(self.clock)
        self.deaths = WorkerCrashes(self.clock, self.fleet)
        for number in range(AGENTS):
            worker = self.fleet.connected(f'agent-{number}', 'zone')
            worker.report = report('first')
            worker.reported_at = START

    def tell(self, number, trials=(), **fields):
        worker = self.fleet.by_agent[f'agent-{number}']
        told = report(**fields)
        self.deaths.record_report(worker, told, trials)
        worker.report = told
        worker.reported_at = self.clock.at


@pytest.fixture
def told():
    return Deaths()


@pytest.mark.parametrize(('others', 'is_common'), [(1, False), (2, True)])
def test_deaths_of_three_at_once_have_a_common_cause(told, others, is_common):
    for number in range(others + 1):
        told.tell(number, boot='second')
    assert told.deaths.has_common_cause('agent-0', ()) is is_common


def test_those_that_are_silent_since_then_are_among_the_others(told):
    """Guards against proof by a wave of which only one worker is back."""
    told.clock.at = START + 2500
    for number in (1, 2):
        told.tell(number, boot='first', silent_ms=2500)
    told.tell(0, boot='second')
    assert told.deaths.has_common_cause('agent-0', ())


def test_workers_on_trial_are_none_of_the_others(told):
    """Guards against suspects that hide each other's crashes."""
    trials = {'agent-1', 'agent-2'}
    for number in (1, 2, 0):
        told.tell(number, trials, boot='second')
    assert not told.deaths.has_common_cause('agent-0', trials)


def test_a_planned_end_is_no_death(told):
    for number in range(6):
        told.tell(number, boot='first', is_leaving=True)
        told.tell(number, boot='second')
    assert not told.deaths.are_frequent
    assert not told.deaths.has_common_cause('agent-7', ())


def test_deaths_of_half_of_the_workers_in_a_short_time_are_frequent(told):
    for number in range(5):
        told.tell(number, boot='second')
    assert not told.deaths.are_frequent
    told.tell(5, boot='second')
    assert told.deaths.are_frequent
    told.clock.at += 25_000
    assert not told.deaths.are_frequent


def test_a_trial_of_a_former_owner_explains_its_death(told):
    """Guards against trials that make deaths look frequent after a takeover."""
    for number in range(6):
        told.tell(number, boot='second')
    told.deaths.attribute_to_trial('agent-3')
    assert not told.deaths.are_frequent
