"""Entries without a response from the store get new configurations."""

import pytest
from twisted.internet.defer import Deferred, succeed
from twisted.internet.task import Clock

from hyssopring.jobs.configuration_messages import (
    ConfigurationPart,
    ConfigurationText,
)
from hyssopring.jobs.rows import Page, Row, RowKey
from hyssopring.jobs.stored_configuration import StoredConfiguration
from hyssopring.platform.configuration import ConfigurationFollower
from standins.jobs.deployment import settled

TABLE = '{"version": %d, "routes": []}'
SEVEN = StoredConfiguration('seven', 70)


def record_received(deployment):
    """Record the configurations that each entry gets from its peers."""
    received_by_entry = {name: [] for name in deployment.entries}
    for name, entry in deployment.entries.items():
        entry.core.configuration.on_stored = received_by_entry[name].append
    return received_by_entry


def record_sent_texts(deployment):
    """Record the receivers of configuration texts sent from now on."""
    sent = []
    for entry in deployment.entries.values():
        send_original = entry.send_response

        def record_and_send(peer_id, message, send_original=send_original):
            if isinstance(message, (ConfigurationText, ConfigurationPart)):
                sent.append(peer_id)
            return send_original(peer_id, message)

        entry.send_response = record_and_send
    return sent


def test_entry_ignored_by_the_store_gets_configuration_from_peers():
    """The store ignores one entry and sends a new version to the others.

    The entry took two seconds to detect that the store did not respond, then
    asked a peer that was ignored as well, and still served callers by the
    old version 3.8 s after the new one was acknowledged.
    """
    deployment = settled()
    received_by_entry = record_received(deployment)
    for name in ('entry-0', 'entry-1'):
        deployment.entries[name].core.configuration.announce(7, SEVEN)
    deployment.run(0.5)
    assert received_by_entry == {
        'entry-0': [],
        'entry-1': [],
        'entry-2': [SEVEN],
    }


def test_no_text_is_sent_to_entries_that_the_store_serves():
    """All entries get the new version within some milliseconds."""
    deployment = settled()
    sent = record_sent_texts(deployment)
    received_by_entry = record_received(deployment)
    for entry in deployment.entries.values():
        entry.core.configuration.announce(7, SEVEN)
        deployment.run(0.05)
    deployment.run(2)
    assert not sent
    assert not any(received_by_entry.values())


def test_next_holder_is_asked_when_the_first_one_dies():
    """Two entries announce a new version, and the first is killed."""
    deployment = settled()
    received_by_entry = record_received(deployment)
    deployment.entries['entry-0'].core.configuration.announce(7, SEVEN)
    deployment.run(0.1)
    deployment.entries['entry-1'].core.configuration.announce(7, SEVEN)
    deployment.run(0.1)
    deployment.kill_entry('entry-0')
    deployment.run(1)
    assert received_by_entry['entry-2'] == [SEVEN]


def test_entry_that_starts_during_a_store_outage_gets_the_version():
    """A new entry connects to the others; the store responds to nobody."""
    deployment = settled()
    received_by_entry = record_received(deployment)
    holder, newcomer = deployment.entries['entry-0'], 'entry-1'
    holder.core.configuration.announce(7, SEVEN)
    received_by_entry[newcomer].clear()
    deployment.run(1)
    received_by_entry[newcomer].clear()
    holder.core.configuration.announce_to(newcomer)
    deployment.run(0.5)
    assert received_by_entry[newcomer] == [SEVEN]


def test_older_text_of_a_peer_does_not_replace_the_one_in_force():
    """A peer's response comes after a newer version of the store."""
    reactor, tables = Clock(), []

    class UnresponsiveStore:
        def read(self, *_asked):
            return Deferred()

    follower = ConfigurationFollower(
        reactor,
        UnresponsiveStore(),
        lambda table, _stored: tables.append(table.version),
    )
    follower.start()
    for version in (7, 6, 7, 9):
        follower.apply_from_peer(StoredConfiguration(TABLE % version, 0))
    assert tables == [7, 9]


class _StoreWithHistory:
    """A store whose first response holds several versions of the row."""

    def __init__(self, *texts):
        self._rows = tuple(
            Row(RowKey('op', '', 'config'), text, 10 + number)
            for number, text in enumerate(texts)
        )

    def read(self, *_asked):
        return succeed(Page(self._rows, False, 20))

    def changes(self, *_asked):
        return Deferred()


@pytest.mark.parametrize(
    ('texts', 'in_force'),
    [
        ((TABLE % 7, TABLE % 8, TABLE % 9), [9]),
        ((TABLE % 7, TABLE % 8, 'no configuration'), [8]),
        (('no configuration',), []),
    ],
)
def test_only_the_newest_of_several_versions_is_parsed(texts, in_force):
    """An entry with a third of a core is slow to parse whole versions.

    A malformed version does not hide the valid one before it.
    """
    tables = []
    follower = ConfigurationFollower(
        Clock(),
        _StoreWithHistory(*texts),
        lambda table, _stored: tables.append(table.version),
    )
    follower.start()
    assert tables == in_force
