"""Reads of the rows that evacuate zones, on a scripted store."""

import pytest
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from hyssopring.jobs.rows import (
    Changes,
    Page,
    Row,
    RowKey,
    StoreRefused,
    StoreUncertain,
)
from hyssopring.jobs.stored_configuration import StoredConfiguration
from hyssopring.platform.configuration import ConfigurationFollower
from hyssopring.platform.evacuations import EvacuationReader

CONFIGURATION = '{"version": %d, "routes": []}'


def row(key, version=1):
    return Row(RowKey('op', '', key), '{}', version)


class ScriptedStore:
    """Keeps each call's deferred, by the first key of a read."""

    def __init__(self):
        self.reads = {}
        self.feeds = []

    def read(self, _table, _part, first=''):
        reading = Deferred()
        self.reads.setdefault(first, []).append(reading)
        return reading

    def changes(self, _table, after, _wait_ms):
        feed = Deferred()
        self.feeds.append((after, feed))
        return feed

    def answer(self, first, *rows, version, has_more=False):
        self.reads[first].pop(0).callback(Page(rows, has_more, version))


@pytest.fixture
def reader():
    reactor, store, seen = Clock(), ScriptedStore(), []
    reader = EvacuationReader(
        reactor, store, {'a', 'b'}, lambda version, zones: seen.append(zones)
    )
    reader.reactor, reader.store, reader.seen = reactor, store, seen
    return reader


def test_change_during_a_read_is_read_again(reader):
    """Guards against a row that is written while the rows are being read."""
    reader.refresh()
    reader.refresh()
    reader.store.answer('evacuate/', version=5)
    reader.store.answer('evacuate/', row('evacuate/a'), version=6)
    assert reader.seen == [set(), {'a'}]


@pytest.mark.parametrize('error', [StoreRefused('503'), StoreUncertain('late')])
def test_failed_read_is_repeated(reader, error):
    """Guards against an evacuation that is lost with one failed read."""
    reader.refresh()
    reader.store.reads['evacuate/'].pop(0).errback(error)
    reader.reactor.advance(0.2)
    reader.store.answer('evacuate/', row('evacuate/a'), version=6)
    assert reader.seen == [{'a'}]


def test_rows_on_several_pages(reader):
    """Guards against zones beyond the first page."""
    reader.refresh()
    reader.store.answer(
        'evacuate/', row('evacuate/a'), version=6, has_more=True
    )
    reader.store.answer(
        'evacuate/a\0', row('evacuate/b'), row('wave/1'), version=7
    )
    assert reader.seen == [{'a', 'b'}]


def test_pages_after_the_last_evacuation_are_not_read(reader):
    """Guards against reads of all that follows in the table."""
    reader.refresh()
    reader.store.answer('evacuate/', row('wave/1'), version=6, has_more=True)
    assert reader.seen == [set()]
    assert list(reader.store.reads) == ['evacuate/']


def follow(store):
    """Return a follower and the list of its calls for a read of the zones."""
    outdated = []
    follower = ConfigurationFollower(Clock(), store, lambda *_table: None)
    follower.on_evacuations_outdated = lambda: outdated.append('outdated')
    follower.start()
    outdated.clear()
    return follower, outdated


def test_changes_that_a_peers_configuration_skips():
    """Guards against an evacuation before a configuration from a peer.

    The changes up to that configuration's version are not read.
    """
    follower, outdated = follow(ScriptedStore())
    follower.apply_from_peer(StoredConfiguration(CONFIGURATION % 7, 70))
    assert outdated


@pytest.mark.parametrize(
    ('key', 'is_outdated'),
    [('evacuate/a', True), ('config', False), ('wave/1', False)],
)
def test_only_changes_of_evacuations_are_read(key, is_outdated):
    """Guards against a read for each change of the configuration."""
    store = ScriptedStore()
    _follower, outdated = follow(store)
    store.answer('config', version=5)
    _after, feed = store.feeds.pop()
    feed.callback(Changes((row(key, 6),), 6))
    assert bool(outdated) is is_outdated


def test_deeply_nested_row_evacuates_its_zone_and_hides_no_other(reader):
    """Guards against one row whose error makes each read fail."""
    reader.refresh()
    nested = Row(RowKey('op', '', 'evacuate/a'), '[' * 100_000, 1)
    reader.store.answer('evacuate/', nested, row('evacuate/b'), version=6)
    assert reader.seen == [{'a', 'b'}]
