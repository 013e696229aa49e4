"""Crashes of single workers, of many at once, and frequent ones."""

import pytest

from hyssopring.jobs.fleet import Fleet
from hyssopring.jobs.messages import WorkerReport
from hyssopring.jobs.worker_crashes import WorkerCrashes

AGENTS = 11
START = 100_000


class FixedClock:
    """A clock that is set by hand."""

    now_ms = START

    def now(self):
        return self.now_ms


def worker_report(boot, silent_ms=0, is_leaving=False):
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


class ReportedCrashes:
    """The crashes that an owner records from the reports of some agents."""

    def __init__(self):
        self.clock = FixedClock()
        self.fleet = Fleet(self.clock)
        self.crashes = WorkerCrashes(self.clock, self.fleet)
        for number in range(AGENTS):
            worker = self.fleet.record_connection(f'agent-{number}', 'zone')
            worker.report = worker_report('first')
            worker.reported_at = START

    def report(self, number, trial_agents=(), **fields):
        worker = self.fleet.by_agent[f'agent-{number}']
        new_report = worker_report(**fields)
        self.crashes.record_report(worker, new_report, trial_agents)
        worker.report = new_report
        worker.reported_at = self.clock.now_ms


@pytest.fixture
def reported():
    return ReportedCrashes()


@pytest.mark.parametrize(
    ('other_count', 'has_common_cause'), [(1, False), (2, True)]
)
def test_three_crashes_at_once_have_a_common_cause(
    reported, other_count, has_common_cause
):
    for number in range(other_count + 1):
        reported.report(number, boot='second')
    assert reported.crashes.has_common_cause('agent-0', ()) is has_common_cause


def test_workers_silent_since_the_crash_count_as_crashed(reported):
    """Guards against isolated crashes if only one of many workers is back."""
    reported.clock.now_ms = START + 2500
    for number in (1, 2):
        reported.report(number, boot='first', silent_ms=2500)
    reported.report(0, boot='second')
    assert reported.crashes.has_common_cause('agent-0', ())


def test_workers_in_trials_do_not_count_as_other_crashes(reported):
    """Guards against simultaneous trials taken for a common cause."""
    trial_agents = {'agent-1', 'agent-2'}
    for number in (1, 2, 0):
        reported.report(number, trial_agents, boot='second')
    assert not reported.crashes.has_common_cause('agent-0', trial_agents)


def test_announced_end_is_no_crash(reported):
    for number in range(6):
        reported.report(number, boot='first', is_leaving=True)
        reported.report(number, boot='second')
    assert not reported.crashes.are_frequent
    assert not reported.crashes.has_common_cause('agent-7', ())


def test_crashes_of_half_of_the_workers_in_a_short_time_are_frequent(reported):
    for number in range(5):
        reported.report(number, boot='second')
    assert not reported.crashes.are_frequent
    reported.report(5, boot='second')
    assert reported.crashes.are_frequent
    reported.clock.now_ms += 25_000
    assert not reported.crashes.are_frequent


def test_crash_in_a_trial_of_a_former_owner_is_not_counted(reported):
    """Guards against trials that make crashes look frequent after takeovers."""
    for number in range(6):
        reported.report(number, boot='second')
    reported.crashes.attribute_to_trial('agent-3')
    assert not reported.crashes.are_frequent
