"""The times of an agent's regular reports."""

import pytest

from hyssopring.clock import ManualClock
from hyssopring.jobs.messages import PROTOCOL_RELEASE, WorkerReport, pack
from hyssopring.jobs.report_schedule import ReportSchedule
from hyssopring.jobs.times import REPORT_INTERVAL_MS
from standins.jobs.deployment import a_job, settled, starts_of

_SECONDS = 10
_OWNERS = frozenset(('entry-0',))
# What an agent may send and receive for control, see docs/CAPACITY.md.
_MAX_BYTES_PER_S = 11_000


def _schedule(entries, release=PROTOCOL_RELEASE):
    clock = ManualClock(1000)
    schedule = ReportSchedule(clock, lambda _entry: release)
    schedule.due_entries(_OWNERS, is_settled=True)
    for number in range(entries):
        schedule.record_report(f'entry-{number}')
    return clock, schedule


def _due_after(milliseconds, is_settled=True, **options):
    clock, schedule = _schedule(**options)
    # The first intervals were announced while fewer entries were known.
    for entry_id in schedule.entries:
        schedule.record_report(entry_id)
    clock.advance(milliseconds)
    return schedule.due_entries(_OWNERS, is_settled=is_settled)


@pytest.mark.parametrize(('entries', 'due_ms'), [(5, 500), (20, 2000)])
def test_entries_without_a_shard_get_spaced_reports(entries, due_ms):
    assert _due_after(due_ms - 1, entries=entries) in ([], ['entry-0'])
    assert len(_due_after(due_ms, entries=entries)) == entries


def test_owner_gets_frequent_reports():
    assert _due_after(REPORT_INTERVAL_MS, entries=40) == ['entry-0']


def test_all_entries_get_frequent_reports_while_the_owner_is_in_doubt():
    """Guards against a next owner that knows an agent's state of long ago."""
    due = _due_after(REPORT_INTERVAL_MS, is_settled=False, entries=40)
    assert len(due) == 40


def test_earlier_releases_get_frequent_reports():
    """Guards against entries that close a connection after 2 s of silence."""
    assert len(_due_after(REPORT_INTERVAL_MS, entries=40, release=1)) == 40


class _SentBytes:
    """Counts the bytes of the messages to and from agents."""

    def __init__(self, deployment):
        self._deployment = deployment
        self._carry = deployment.carry
        deployment.carry = self.carry
        self.bytes_by_agent = dict.fromkeys(deployment.agents, 0)
        self.reports = 0

    def carry(self, sender, name, message):
        for agent in {sender.name, name} & self.bytes_by_agent.keys():
            self.bytes_by_agent[agent] += len(pack(message))
        self.reports += isinstance(message, WorkerReport)
        return self._carry(sender, name, message)


def _measure(**options):
    deployment = settled(**options)
    deployment.run(5)
    sent = _SentBytes(deployment)
    deployment.run(_SECONDS)
    return sent


def test_idle_agent_stays_within_its_bytes_with_many_entries():
    """Guards against reports whose cost grows with the number of entries."""
    sent = _measure(workers=2, entries=35)
    most = max(sent.bytes_by_agent.values()) / _SECONDS
    assert most <= _MAX_BYTES_PER_S


def test_number_of_reports_grows_with_agents_alone():
    """Guards against as many reports as the product of agents and entries."""
    few = _measure(workers=2, entries=12).reports
    many = _measure(workers=2, entries=36).reports
    assert many <= 1.2 * few


@pytest.mark.parametrize('entries', [3, 20])
def test_takeover_with_many_entries_starts_tasks_as_early(entries):
    """Guards against a next owner that waits for spaced reports."""
    deployment = settled(workers=4, entries=entries)
    deployment.run(6)
    first = deployment.owner
    deployment.kill_entry(first)
    live = next(name for name in deployment.entries if name != first)
    deployment.run(1)
    job = a_job(7, ((4, ()),))
    deployment.submit(job, live)
    deployment.run(5)
    assert len(starts_of(deployment, job)) == 4
