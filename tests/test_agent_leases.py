"""The leases under which an agent runs tasks."""

import pytest

from hyssopring.clock import ManualClock
from hyssopring.jobs.agent_leases import AgentLeases
from hyssopring.jobs.messages import ShardEpoch
from standins.jobs.deployment import settled

_OWNER = 'entry-0'


@pytest.mark.parametrize('others', (2, 40, 400))
def test_slow_owners_grant_counts_with_many_entries(others):
    """Guards against leases that lapse because other entries get reports."""
    leases = AgentLeases(ManualClock())
    leases.note_report_sent(_OWNER, 1, 100)
    for number in range(others):
        leases.note_report_sent(f'entry-{number + 1}', number + 2, 100)
    leases.renew(_OWNER, 1, [ShardEpoch(0, 1)], 5000)
    assert leases.expiry_of(0) == 5100


def test_grant_counts_only_from_the_entry_that_got_the_report():
    """Guards against a lease that counts from a report to another entry."""
    leases = AgentLeases(ManualClock())
    leases.note_report_sent(_OWNER, 1, 100)
    leases.note_report_sent('entry-1', 2, 9000)
    leases.renew(_OWNER, 2, [ShardEpoch(0, 1)], 5000)
    assert leases.expiry_of(0) == 0


def _granted(*grants):
    """Return the leases of an agent and their first term.

    Args:
        grants: For each grant its epoch, when its report was sent, and when
            it arrives.
    """
    clock = ManualClock()
    leases = AgentLeases(clock)
    terms = []
    for sequence, (epoch, sent_at, arrives_at) in enumerate(grants):
        leases.note_report_sent(_OWNER, sequence, sent_at)
        clock.advance(arrives_at - clock.now())
        leases.renew(_OWNER, sequence, [ShardEpoch(0, epoch)], 5000)
        terms.append(leases.term_of(0))
    return clock, leases, terms[0]


def test_renewed_lease_has_not_lapsed():
    """Guards against starts that are abandoned under a valid lease."""
    clock, leases, term = _granted(
        (1, 100, 200), (1, 5000, 5050), (2, 9000, 9010)
    )
    assert not leases.has_lapsed(0, term)
    clock.advance(14_000 - clock.now())
    assert leases.has_lapsed(0, term)


def test_lease_that_was_extended_after_its_expiry_has_lapsed():
    """Guards against a start under a lease that its owner took for expired."""
    clock, leases, term = _granted((1, 100, 200), (1, 5000, 5100))
    assert leases.expiry_of(0) == 10_000
    assert leases.has_lapsed(0, term)


def test_lease_that_a_next_owner_extended_after_its_expiry_has_lapsed():
    """Guards against a start that a new epoch seems to cover."""
    clock, leases, term = _granted((1, 100, 200), (2, 6000, 6010))
    assert leases.has_lapsed(0, term)
    assert not leases.has_lapsed(0, leases.term_of(0))


def test_epochs_are_known_since_their_first_message():
    """Guards against a listing from before an epoch that counts under it."""
    clock, leases, _term = _granted((1, 100, 200), (2, 6000, 6010))
    assert leases.known_at(0) == 6010
    clock.advance(100)
    assert leases.observe_epoch(0, 2, _OWNER)
    assert leases.known_at(0) == 6010


def test_keeps_no_reports_to_entries_that_are_gone():
    """Guards against memory that grows with each entry that was replaced."""
    deployment = settled(workers=1)
    leases = deployment.agents['agent-0'].core._leases
    assert set(leases._sent_at_by_entry) == set(deployment.entries)
    gone = next(name for name in deployment.entries if name != deployment.owner)
    deployment.kill_entry(gone)
    deployment.run(3)
    assert gone not in leases._sent_at_by_entry
