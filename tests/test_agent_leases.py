"""The leases under which an agent runs tasks."""

import pytest

from hyssopring.jobs.agent_leases import AgentLeases
from hyssopring.jobs.messages import ShardEpoch
from standins.jobs.deployment import settled

_OWNER = 'entry-0'


@pytest.mark.parametrize('others', (2, 40, 400))
def test_slow_owners_grant_counts_with_many_entries(others):
    """Guards against leases that lapse because other entries get reports."""
    leases = AgentLeases()
    leases.note_report_sent(_OWNER, 1, 100)
    for number in range(others):
        leases.note_report_sent(f'entry-{number + 1}', number + 2, 100)
    leases.renew(_OWNER, 1, [ShardEpoch(0, 1)], 5000)
    assert leases.expiry_of(0) == 5100


def test_grant_counts_only_from_the_entry_that_got_the_report():
    """Guards against a lease that counts from a report to another entry."""
    leases = AgentLeases()
    leases.note_report_sent(_OWNER, 1, 100)
    leases.note_report_sent('entry-1', 2, 9000)
    leases.renew(_OWNER, 2, [ShardEpoch(0, 1)], 5000)
    assert leases.expiry_of(0) == 0


def test_keeps_no_reports_to_entries_that_are_gone():
    """Guards against memory that grows with each entry that was replaced."""
    deployment = settled(workers=1)
    leases = deployment.agents['agent-0'].core._leases
    assert set(leases._sent_at_by_entry) == set(deployment.entries)
    gone = next(name for name in deployment.entries if name != deployment.owner)
    deployment.kill_entry(gone)
    deployment.run(3)
    assert gone not in leases._sent_at_by_entry
