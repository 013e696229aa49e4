"""A newer configuration reaches entries that the store does not answer."""

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


def followed(deployment):
    """What each entry is told by its peers, by the entry's name."""
    told = {name: [] for name in deployment.entries}
    for name, entry in deployment.entries.items():
        entry.core.configuration.on_stored = told[name].append
    return told


def count_texts(deployment):
    """Count the texts that are sent from now on."""
    sent = []
    for entry in deployment.entries.values():
        carry = entry.answer

        def answer(peer_id, message, carry=carry):
            if isinstance(message, (ConfigurationText, ConfigurationPart)):
                sent.append(peer_id)
            return carry(peer_id, message)

        entry.answer = answer
    return sent


def test_an_entry_that_the_store_ignores_learns_from_its_peers():
    """The store ignores one entry and tells the others of a new version.

    The entry noticed after two seconds that the store is silent, asked a peer
    that was ignored as well, and answered callers by the former version
    3.8 s after the new one was acknowledged.
    """
    deployment = settled()
    told = followed(deployment)
    for name in ('entry-0', 'entry-1'):
        deployment.entries[name].core.configuration.applied(7, SEVEN)
    deployment.run(0.5)
    assert told == {'entry-0': [], 'entry-1': [], 'entry-2': [SEVEN]}


def test_no_text_is_sent_to_entries_that_the_store_answers():
    """All entries have the new version some milliseconds apart."""
    deployment = settled()
    sent = count_texts(deployment)
    told = followed(deployment)
    for entry in deployment.entries.values():
        entry.core.configuration.applied(7, SEVEN)
        deployment.run(0.05)
    deployment.run(2)
    assert not sent
    assert not any(told.values())


def test_a_holder_that_dies_is_passed_over_for_the_next_one():
    """Two entries have a new version, and the first to say so is killed."""
    deployment = settled()
    told = followed(deployment)
    deployment.entries['entry-0'].core.configuration.applied(7, SEVEN)
    deployment.run(0.1)
    deployment.entries['entry-1'].core.configuration.applied(7, SEVEN)
    deployment.run(0.1)
    deployment.kill_entry('entry-0')
    deployment.run(1)
    assert told['entry-2'] == [SEVEN]


def test_an_entry_that_starts_while_the_store_is_away_learns_the_version():
    """A new entry dials the others, and the store answers nobody."""
    deployment = settled()
    told = followed(deployment)
    holder, newcomer = deployment.entries['entry-0'], 'entry-1'
    holder.core.configuration.applied(7, SEVEN)
    told[newcomer].clear()
    deployment.run(1)
    told[newcomer].clear()
    holder.core.configuration.greeted(newcomer)
    deployment.run(0.5)
    assert told[newcomer] == [SEVEN]


def test_an_older_text_of_a_peer_does_not_replace_the_one_in_force():
    """A peer's answer comes after the store has told of a newer version."""
    reactor, tables = Clock(), []

    class Silent:
        def read(self, *_asked):
            return Deferred()

    follower = ConfigurationFollower(
        reactor,
        Silent(),
        lambda table, _stored: tables.append(table.version),
    )
    follower.start()
    for version in (7, 6, 7, 9):
        follower.take_from_peer(StoredConfiguration(TABLE % version, 0))
    assert tables == [7, 9]


class _History:
    """A store whose first answer holds some versions of the row."""

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
def test_of_versions_that_come_together_only_the_newest_is_read(
    texts, in_force
):
    """Each is whole, and an entry of a third of a core reads one at a time.

    One that another writer has garbled does not hide the one before it.
    """
    tables = []
    follower = ConfigurationFollower(
        Clock(),
        _History(*texts),
        lambda table, _stored: tables.append(table.version),
    )
    follower.start()
    assert tables == in_force
