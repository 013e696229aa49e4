"""Propagation of large configurations over narrow links.

An operator adds 1,400 queues, 1,400 more 1.5 s later, and then makes small
changes. Entries with links of 10 Mbit/s used an outdated version for 4 to 9 s
after a change was acknowledged, and rejected jobs for added queues. Their
processors were idle and their links saturated: the response of the store holds
the complete configuration, and its timeout, which counted from the request,
discarded and restarted it after two thirds of its bytes (seen in a log of the
bytes received at the timeout). Complete texts that were requested from one
peer after the other shared the link with it.
"""

import pytest

from standins.configuration_site import ConfigurationSite
from standins.narrow_link import a_configuration

# Time within which an accepted configuration must be in force everywhere.
MAX_PROPAGATION_S = 3
# Measured payload rate of a link of 10 Mbit/s, and half of it.
BYTES_PER_S_10_MBIT = 700_000
BYTES_PER_S_5_MBIT = 350_000


def late_versions(site, versions):
    """Return entry, version and delay in s of late updates."""
    return [
        (name, version, round(delay_s, 2))
        for version in versions
        for name, delay_s in site.delays(version).items()
        if delay_s > MAX_PROPAGATION_S
    ]


@pytest.mark.parametrize(
    'bytes_per_s', [BYTES_PER_S_10_MBIT, BYTES_PER_S_5_MBIT]
)
def test_large_then_small_changes(monkeypatch, bytes_per_s):
    """Four entries have wide links, and there are no faults."""
    site = ConfigurationSite(monkeypatch, 4, 3, bytes_per_s)
    site.run_until(5)
    site.row.commit(5, a_configuration(5, 1400))
    site.run_until(6.5)
    site.row.commit(9, a_configuration(9, 2800))
    site.run_until(11)
    site.row.commit(11, a_configuration(11, 2800, latency_ms=310))
    site.run_until(16)
    site.row.commit(13, a_configuration(13, 2800, latency_ms=320))
    site.run_until(26)
    assert not late_versions(site, (9, 11, 13))


def test_large_changes_where_every_link_is_narrow(monkeypatch):
    """No peer has the configuration before the response of the store.

    5,600 queues are 1.7 MB in the response, 2.4 s on the link, which is longer
    than the timeout for a silent store.
    """
    site = ConfigurationSite(monkeypatch, 0, 3, BYTES_PER_S_10_MBIT)
    site.run_until(5)
    site.row.commit(5, a_configuration(5, 5600))
    site.run_until(10)
    site.row.commit(7, a_configuration(7, 5600, latency_ms=310))
    site.run_until(20)
    assert not late_versions(site, (5, 7))


def test_a_change_from_peers_stops_the_response_of_the_store(monkeypatch):
    """The response of the store with the same change is aborted.

    Otherwise it goes on for 2.4 s and delays the submission of jobs.
    """
    site = ConfigurationSite(monkeypatch, 2, 1, BYTES_PER_S_5_MBIT)
    site.run_until(5)
    site.row.commit(5, a_configuration(5, 2800))
    site.run_until(6)
    link = site.by_name['narrow-0'].link
    carried_before = link.carried
    site.run_until(7)
    assert site.delays(5)['narrow-0'] < 1
    # Only empty responses of the store.
    assert link.carried - carried_before < 1000


def test_a_change_comes_from_the_store_when_peers_crash(monkeypatch):
    """All peers with the change crash; the response of the store goes on."""
    site = ConfigurationSite(monkeypatch, 2, 1, BYTES_PER_S_10_MBIT)
    site.run_until(5)
    site.row.commit(5, a_configuration(5, 2800))
    site.run_until(5.2)
    site.dead |= {'wide-0', 'wide-1'}
    site.run_until(10)
    assert site.delays(5)['narrow-0'] < MAX_PROPAGATION_S


def test_a_large_change_reaches_an_entry_without_store_responses(monkeypatch):
    site = ConfigurationSite(monkeypatch, 2, 1, BYTES_PER_S_5_MBIT)
    site.run_until(5)
    site.row.is_silent_for = {'narrow-0'}
    site.row.commit(5, a_configuration(5, 2800))
    site.run_until(10)
    assert site.delays(5)['narrow-0'] < 1


def test_changes_in_quick_succession(monkeypatch):
    """Eight large versions within 2 s, each of them in the feed."""
    site = ConfigurationSite(monkeypatch, 2, 2, BYTES_PER_S_5_MBIT)
    for number in range(8):
        site.run_until(5 + number / 4)
        version = 10 + number
        site.row.commit(version, a_configuration(version, 2800, 300 + number))
    site.run_until(12)
    assert not late_versions(site, (17,))
    assert all(
        sorted(entry.in_force_at) == list(entry.in_force_at)
        for entry in site.by_name.values()
    )
