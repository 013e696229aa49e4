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
