"""Entries that follow one configuration over fast and slow links."""

from functools import partial

from twisted.internet.task import Clock as Reactor

from hyssopring.jobs.messages import pack, unpack
from hyssopring.jobs.shared_configuration import SharedConfiguration
from hyssopring.metrics import Metrics
from hyssopring.platform import json_calls
from hyssopring.platform.configuration import ConfigurationFollower
from hyssopring.platform.store import PlatformStore
from standins.narrow_link import (
    TICK_INTERVAL_S,
    ConfigurationRow,
    NarrowLink,
    StoreOverLink,
)

FAST_BYTES_PER_S = 14_000_000
ROUND_TRIP_S = 0.001


class FollowingEntry:
    """An entry's configuration follower and its link.

    Attributes:
        in_force_at: Times in s at which versions came into force, by version.
    """

    def __init__(self, site, name, bytes_per_s):
        self.name = name
        self.in_force_at = {}
        self.link = NarrowLink(site.reactor, bytes_per_s)
        self._site = site
        agent = StoreOverLink(site.reactor, site.row, self.link, name)
        site.patch.setattr(
            json_calls, 'pooled_agent', lambda *_args, **_kwargs: agent
        )
        store = PlatformStore(site.reactor, 'store:1', Metrics())
        self.shared = SharedConfiguration(site.reactor, self)
        self.follower = ConfigurationFollower(
            site.reactor, store, self._on_configured
        )
        self.shared.on_stored = self.follower.apply_from_peer

    @property
    def connected_entries(self):
        """See ``RelayPeers``."""
        return [name for name in self._site.by_name if name != self.name]

    def send_to_entry(self, entry_id, message):
        """See ``PeerTransport``."""
        return self._site.deliver(self.name, entry_id, message)

    def send_response(self, peer_id, message):
        """See ``PeerTransport``."""
        return self._site.deliver(self.name, peer_id, message)

    def _on_configured(self, table, stored):
        self.in_force_at[table.version] = self._site.reactor.seconds()
        self.shared.announce(table.version, stored)


class ConfigurationSite:
    """All entries of one deployment under one virtual clock.

    Attributes:
        dead: Names of the entries that neither send nor receive.
    """

    def __init__(self, patch, wide, narrow, bytes_per_s):
        self.patch = patch
        self.reactor = Reactor()
        self.row = ConfigurationRow(self.reactor)
        self.dead = set()
        rates = {f'wide-{number}': FAST_BYTES_PER_S for number in range(wide)}
        rates |= {f'narrow-{number}': bytes_per_s for number in range(narrow)}
        self.by_name = {
            name: FollowingEntry(self, name, rate)
            for name, rate in rates.items()
        }
        for entry in self.by_name.values():
            entry.follower.start()

    def deliver(self, sender, receiver, message):
        """Send a message over the receiver's link, in order.

        Returns:
            False if one of the two entries is dead.
        """
        if sender in self.dead or receiver in self.dead:
            return False
        payload = pack(message)
        entry = self.by_name[receiver]
        self.reactor.callLater(
            ROUND_TRIP_S / 2,
            entry.link.send,
            sender,
            len(payload),
            partial(self._receive, sender, entry, payload),
        )
        return True

    def _receive(self, sender, entry, payload):
        if sender not in self.dead and entry.name not in self.dead:
            entry.shared.handle_message(unpack(payload), sender)

    def run_until(self, until_s):
        """Advance the virtual clock to a time in s."""
        while self.reactor.seconds() < until_s:
            self.reactor.advance(TICK_INTERVAL_S)
            for entry in self.by_name.values():
                entry.link.tick()

    def delays(self, version):
        """Return s from a version's commit until it is in force, by entry.

        An entry without the version has an infinite delay.
        """
        committed_at = self.row.committed_at[version]
        return {
            name: entry.in_force_at.get(version, float('inf')) - committed_at
            for name, entry in self.by_name.items()
        }
