"""Entries on wide and narrow links that follow one configuration."""

from functools import partial

from twisted.internet.task import Clock as Reactor

from hyssopring.jobs.messages import pack, unpack
from hyssopring.jobs.shared_configuration import SharedConfiguration
from hyssopring.metrics import Metrics
from hyssopring.platform import json_calls
from hyssopring.platform.configuration import ConfigurationFollower
from hyssopring.platform.store import PlatformStore
from standins.narrow_link import (
    TURN_S,
    ConfigurationRow,
    NarrowLink,
    StoreOverLink,
)

WIDE_BYTES_PER_S = 14_000_000
RTT_S = 0.001


class FollowingEntry:
    """An entry's part in the configuration, with its link."""

    def __init__(self, site, name, bytes_per_s):
        self.name = name
        self.in_force_at = {}
        self.link = NarrowLink(site.reactor, bytes_per_s)
        self._site = site
        agent = StoreOverLink(site.reactor, site.row, self.link, name)
        site.patch.setattr(
            json_calls, 'pooled_agent', lambda *_how, **_named: agent
        )
        store = PlatformStore(site.reactor, 'store:1', Metrics())
        self.shared = SharedConfiguration(site.reactor, self)
        self.follower = ConfigurationFollower(
            site.reactor, store, self._configured
        )
        self.shared.on_stored = self.follower.apply_from_peer

    @property
    def connected_entries(self):
        """See ``RelayPeers``."""
        return [name for name in self._site.by_name if name != self.name]

    def to_entry(self, entry_id, message):
        """See ``PeerTransport``."""
        return self._site.carry(self.name, entry_id, message)

    def answer(self, peer_id, message):
        """See ``PeerTransport``."""
        return self._site.carry(self.name, peer_id, message)

    def _configured(self, table, stored):
        self.in_force_at[table.version] = self._site.reactor.seconds()
        self.shared.applied(table.version, stored)


class ConfigurationSite:
    """All entries of one deployment under one virtual clock.

    Attributes:
        dead: Names of entries to and from which nothing is carried.
    """

    def __init__(self, patch, wide, narrow, bytes_per_s):
        self.patch = patch
        self.reactor = Reactor()
        self.row = ConfigurationRow(self.reactor)
        self.dead = set()
        rates = {f'wide-{number}': WIDE_BYTES_PER_S for number in range(wide)}
        rates |= {f'narrow-{number}': bytes_per_s for number in range(narrow)}
        self.by_name = {
            name: FollowingEntry(self, name, rate)
            for name, rate in rates.items()
        }
        for entry in self.by_name.values():
            entry.follower.start()

    def carry(self, sender, receiver, message):
        """Carry a message over the receiver's link, in order."""
        if sender in self.dead or receiver in self.dead:
            return False
        payload = pack(message)
        entry = self.by_name[receiver]
        self.reactor.callLater(
            RTT_S / 2,
            entry.link.send,
            sender,
            len(payload),
            partial(self._take, sender, entry, payload),
        )
        return True

    def _take(self, sender, entry, payload):
        if sender not in self.dead and entry.name not in self.dead:
            entry.shared.handle_message(unpack(payload), sender)

    def run_until(self, second):
        """Let time pass up to this second of the day."""
        while self.reactor.seconds() < second:
            self.reactor.advance(TURN_S)
            for entry in self.by_name.values():
                entry.link.turn()

    def delays(self, version):
        """Seconds from a version's commit until it is in force, by entry."""
        committed_at = self.row.committed_at[version]
        return {
            name: entry.in_force_at.get(version, float('inf')) - committed_at
            for name, entry in self.by_name.items()
        }
