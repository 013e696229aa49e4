"""Large configurations are in force in time on narrow links, too.

An operator adds 1,400 queues, 1,400 more 1.5 s later, and makes small changes
after that. Entries with links of 10 Mbit/s answered callers by the version
before the acknowledged one for 4 to 9 s: they refused jobs for a queue that
had been added. Their processors were idle and their links full. The store's
answer holds the whole configuration; its time limit counted from the sending
of the request, so that it was thrown away at two thirds of its bytes and begun
anew, while whole texts asked of one peer after the other shared the link with
it. A log of the bytes that had come at the time limit showed that.
"""

import pytest

from standins.configuration_site import ConfigurationSite
from standins.narrow_link import a_configuration

# What is promised: an accepted configuration is in force everywhere by then.
IN_FORCE_S = 3
# What was seen to pass through a link of 10 Mbit/s, and half of it.
LINK_10_MBIT = 700_000
LINK_5_MBIT = 350_000


def late(site, versions):
    """Return what was in force too late: entry, version, seconds."""
    return [
        (name, version, round(delay_s, 2))
        for version in versions
        for name, delay_s in site.delays(version).items()
        if delay_s > IN_FORCE_S
    ]


@pytest.mark.parametrize('bytes_per_s', [LINK_10_MBIT, LINK_5_MBIT])
def test_large_then_small_changes(monkeypatch, bytes_per_s):
    """Four entries have wide links, and no fault happens."""
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
    assert not late(site, (9, 11, 13))


def test_large_changes_where_every_link_is_narrow(monkeypatch):
    """No peer has the configuration sooner than the store's answer brings it.

    5,600 queues are 1.7 MB in the store's answer, 2.4 s of the link: longer
    than a silent store may be waited for.
    """
    site = ConfigurationSite(monkeypatch, 0, 3, LINK_10_MBIT)
    site.run_until(5)
    site.row.commit(5, a_configuration(5, 5600))
    site.run_until(10)
    site.row.commit(7, a_configuration(7, 5600, latency_ms=310))
    site.run_until(20)
    assert not late(site, (5, 7))


def test_a_change_passed_on_by_peers_does_not_leave_the_link_full(monkeypatch):
    """The store's answer, which holds the same, is cut short.

    It went on for 2.4 s, and calls that hand jobs in waited behind it.
    """
    site = ConfigurationSite(monkeypatch, 2, 1, LINK_5_MBIT)
    site.run_until(5)
    site.row.commit(5, a_configuration(5, 2800))
    site.run_until(6)
    link = site.by_name['narrow-0'].link
    carried = link.carried
    site.run_until(7)
    assert site.delays(5)['narrow-0'] < 1
    # Empty answers of the store, and nothing else.
    assert link.carried - carried < 1000


def test_peers_that_are_gone_leave_the_change_to_the_store(monkeypatch):
    """All holders die as they are asked; the store's answer goes on."""
    site = ConfigurationSite(monkeypatch, 2, 1, LINK_10_MBIT)
    site.run_until(5)
    site.row.commit(5, a_configuration(5, 2800))
    site.run_until(5.2)
    site.dead |= {'wide-0', 'wide-1'}
    site.run_until(10)
    assert site.delays(5)['narrow-0'] < IN_FORCE_S


def test_an_entry_that_the_store_ignores_gets_a_large_change(monkeypatch):
    site = ConfigurationSite(monkeypatch, 2, 1, LINK_5_MBIT)
    site.run_until(5)
    site.row.is_silent_for = {'narrow-0'}
    site.row.commit(5, a_configuration(5, 2800))
    site.run_until(10)
    assert site.delays(5)['narrow-0'] < 1


def test_changes_in_quick_succession(monkeypatch):
    """Eight large versions within 2 s; the feed holds each of them."""
    site = ConfigurationSite(monkeypatch, 2, 2, LINK_5_MBIT)
    for number in range(8):
        site.run_until(5 + number / 4)
        version = 10 + number
        site.row.commit(version, a_configuration(version, 2800, 300 + number))
    site.run_until(12)
    assert not late(site, (17,))
    assert all(
        sorted(entry.in_force_at) == list(entry.in_force_at)
        for entry in site.by_name.values()
    )
