"""A configuration passed on in parts, with what may go wrong on the way."""

import base64
import zlib

import pytest
from twisted.internet.task import Clock

from hyssopring.jobs.configuration_messages import (
    ConfigurationNotice,
    ConfigurationPart,
    ConfigurationRequest,
    ConfigurationText,
)
from hyssopring.jobs.messages import unpack
from hyssopring.jobs.shared_configuration import SharedConfiguration
from hyssopring.jobs.stored_configuration import StoredConfiguration
from hyssopring.protocol.structs import read_struct, struct, write_struct
from standins.narrow_link import a_configuration

# Four parts of 16 KB.
LARGE = StoredConfiguration(a_configuration(7, 4200), 70)
LARGER = StoredConfiguration(a_configuration(8, 4200, latency_ms=310), 80)
SEVEN = 7
EIGHT = 8


class Peers:
    """Keeps what is sent, by receiver."""

    connected_entries = ()

    def __init__(self):
        self.sent = []

    def answer(self, peer_id, message):
        self.sent.append((peer_id, message))
        return True

    to_entry = answer

    def last(self):
        return self.sent[-1]


class Asker:
    """An entry that has heard of version 7 at two holders."""

    def __init__(self, version=SEVEN, holders=('one', 'two')):
        self.clock, self.peers, self.taken = Clock(), Peers(), []
        self.shared = SharedConfiguration(self.clock, self.peers)
        self.shared.on_stored = self._take
        for holder in holders:
            self.shared.handle_message(ConfigurationNotice(version), holder)
        self.clock.advance(0.25)

    def _take(self, stored):
        self.taken.append(stored)
        version = {LARGE: SEVEN, LARGER: EIGHT}[stored]
        self.shared.applied(version, stored)

    def tell(self, holder, message):
        self.shared.handle_message(message, holder)

    def get_all_from(self, name, holder):
        """Answer questions until none is asked of this holder any more."""
        count = -1
        while len(self.peers.sent) > count and self.peers.last()[0] == name:
            count = len(self.peers.sent)
            answer = asked(holder, self.peers.last()[1])
            if answer is not None:
                self.tell(name, answer)


def a_holder(version=SEVEN, stored=LARGE):
    holder = SharedConfiguration(Clock(), Peers())
    holder.applied(version, stored)
    return holder


def asked(holder, question):
    """What a holder answers, None for nothing."""
    before = len(holder._peers.sent)
    holder.handle_message(question, 'asker')
    return holder._peers.last()[1] if holder._peers.sent[before:] else None


def test_a_configuration_in_parts_arrives_as_it_was():
    asker = Asker()
    asker.get_all_from('one', a_holder())
    assert asker.taken == [LARGE]
    # One question a part, and none once it is whole.
    assert [message.part for _to, message in asker.peers.sent] == [0, 1, 2, 3]


def test_a_holder_that_falls_silent_between_parts_is_passed_over():
    """The first holder is killed after two parts: the second gives them all.

    Both may have packed the text by different versions of the library.
    """
    asker = Asker()
    holder = a_holder()
    for _part in range(2):
        asker.tell('one', asked(holder, asker.peers.last()[1]))
    asker.clock.advance(0.4)
    assert asker.peers.last() == ('two', ConfigurationRequest(SEVEN, 0))
    asker.get_all_from('two', a_holder())
    assert asker.taken == [LARGE]


def test_a_slow_link_does_not_pass_a_holder_over():
    """Each part takes 0.3 s, all of them over a second."""
    asker = Asker()
    holder = a_holder()
    for _part in range(4):
        asker.clock.advance(0.3)
        asker.tell('one', asked(holder, asker.peers.last()[1]))
    assert asker.taken == [LARGE]
    assert all(to == 'one' for to, _message in asker.peers.sent)


def test_a_holder_that_takes_a_newer_version_meanwhile_gives_that_one():
    """A change comes between two parts: halves of two texts make none."""
    asker = Asker()
    holder = a_holder()
    asker.tell('one', asked(holder, asker.peers.last()[1]))
    holder.applied(EIGHT, LARGER)
    asker.get_all_from('one', holder)
    assert asker.taken == [LARGER]


def test_a_newer_version_that_another_entry_tells_of_is_asked_for_next():
    """The holder that is being asked has only the version before."""
    asker = Asker()
    holder = a_holder()
    asker.tell('one', asked(holder, asker.peers.last()[1]))
    asker.tell('three', ConfigurationNotice(EIGHT))
    asker.get_all_from('one', holder)
    assert asker.taken == [LARGE]
    asker.get_all_from('three', a_holder(EIGHT, LARGER))
    assert asker.taken == [LARGE, LARGER]


def test_a_part_that_comes_twice_asks_for_nothing_twice():
    asker = Asker()
    part = asked(a_holder(), asker.peers.last()[1])
    asker.tell('one', part)
    asker.tell('one', part)
    assert [message.part for _to, message in asker.peers.sent] == [0, 1]


def test_parts_stop_once_the_store_has_told_of_the_version():
    asker = Asker()
    part = asked(a_holder(), asker.peers.last()[1])
    asker.shared.applied(SEVEN, LARGE)
    asker.tell('one', part)
    asker.clock.advance(2)
    assert len(asker.peers.sent) == 1
    assert not asker.taken


def _packed(raw):
    return base64.b64encode(raw).decode()


@pytest.mark.parametrize(
    'odd',
    [
        ConfigurationPart(SEVEN, 70, 0, 1, 'no base64'),
        ConfigurationPart(SEVEN, 70, 0, 1, _packed(b'not compressed')),
        ConfigurationPart(SEVEN, 70, 0, 1, _packed(zlib.compress(b'\xff'))),
        ConfigurationPart(SEVEN, 70, 0, 1, _packed(zlib.compress(b'a')[:-1])),
        ConfigurationPart(
            SEVEN, 70, 0, 1, _packed(zlib.compress(bytes(9 * 1024 * 1024)))
        ),
        ConfigurationPart(SEVEN, 70, 0, 0, ''),
        ConfigurationPart(SEVEN, 70, 0, 10**9, ''),
    ],
)
def test_odd_parts_are_refused_and_the_next_holder_is_asked(odd):
    """A peer's parts make no text, or one longer than the store's may be."""
    asker = Asker()
    asker.tell('one', odd)
    assert not asker.taken
    assert asker.peers.last() == ('two', ConfigurationRequest(SEVEN, 0))


def test_parts_that_nobody_asked_for_are_dropped():
    asker = Asker()
    asker.tell('three', asked(a_holder(), ConfigurationRequest(SEVEN, 0)))
    assert len(asker.peers.sent) == 1


def test_a_part_that_there_is_not_is_not_answered():
    assert asked(a_holder(), ConfigurationRequest(SEVEN, 99)) is None
    assert asked(a_holder(), ConfigurationRequest(EIGHT, 0)) is None


@struct
class _QuestionWithoutParts:
    version: int


def test_an_entry_of_the_release_before_gets_the_whole_text():
    """Entries are upgraded in turn: its question names no part."""
    code = 24
    payload = bytes((code,)) + write_struct(_QuestionWithoutParts(SEVEN))
    answer = asked(a_holder(), unpack(payload))
    assert answer == ConfigurationText(LARGE.text)


def test_an_entry_of_the_release_before_can_read_a_question():
    """It knows no parts, passes the field over, and gives the whole text."""
    payload = write_struct(ConfigurationRequest(SEVEN, 3))
    question = read_struct(_QuestionWithoutParts, payload)
    assert question == _QuestionWithoutParts(SEVEN)


def test_an_entry_of_the_release_before_may_answer_with_the_whole_text():
    asker = Asker()
    asker.shared.on_stored = asker.taken.append
    asker.tell('one', ConfigurationText(LARGE.text))
    assert asker.taken == [StoredConfiguration(LARGE.text, 0)]
