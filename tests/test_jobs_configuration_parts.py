"""Transfer of a configuration in parts, and faults during the transfer."""

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
    """Records the messages that are sent, with their receivers."""

    connected_entries = ()

    def __init__(self):
        self.sent = []

    def send_response(self, peer_id, message):
        self.sent.append((peer_id, message))
        return True

    send_to_entry = send_response

    def last(self):
        return self.sent[-1]


class Requester:
    """An entry that was told of version 7 by two holders."""

    def __init__(self, version=SEVEN, holders=('one', 'two')):
        self.clock, self.peers, self.received = Clock(), Peers(), []
        self.shared = SharedConfiguration(self.clock, self.peers)
        self.shared.on_stored = self._on_stored
        for holder in holders:
            self.shared.handle_message(ConfigurationNotice(version), holder)
        self.clock.advance(0.25)

    def _on_stored(self, stored):
        self.received.append(stored)
        version = {LARGE: SEVEN, LARGER: EIGHT}[stored]
        self.shared.announce(version, stored)

    def deliver(self, holder, message):
        self.shared.handle_message(message, holder)

    def get_all_from(self, name, holder):
        """Serve requests until no more are sent to this holder."""
        count = -1
        while len(self.peers.sent) > count and self.peers.last()[0] == name:
            count = len(self.peers.sent)
            response = response_of(holder, self.peers.last()[1])
            if response is not None:
                self.deliver(name, response)


def create_holder(version=SEVEN, stored=LARGE):
    holder = SharedConfiguration(Clock(), Peers())
    holder.announce(version, stored)
    return holder


def response_of(holder, request):
    """Return the response of a holder to a request, or None."""
    count = len(holder._peers.sent)
    holder.handle_message(request, 'requester')
    return holder._peers.last()[1] if holder._peers.sent[count:] else None


def test_configuration_in_parts_arrives_unchanged():
    requester = Requester()
    requester.get_all_from('one', create_holder())
    assert requester.received == [LARGE]
    # One request a part, and none once all parts have arrived.
    assert [message.part for _to, message in requester.peers.sent] == [
        0,
        1,
        2,
        3,
    ]


def test_next_holder_sends_all_parts_when_the_first_one_stops():
    """The first holder is killed after two parts.

    Parts of two holders are not combined: their compression libraries may
    have different versions.
    """
    requester = Requester()
    holder = create_holder()
    for _part in range(2):
        requester.deliver('one', response_of(holder, requester.peers.last()[1]))
    requester.clock.advance(0.4)
    assert requester.peers.last() == ('two', ConfigurationRequest(SEVEN, 0))
    requester.get_all_from('two', create_holder())
    assert requester.received == [LARGE]


def test_slow_link_does_not_time_out():
    """Each part takes 0.3 s, all of them more than a second."""
    requester = Requester()
    holder = create_holder()
    for _part in range(4):
        requester.clock.advance(0.3)
        requester.deliver('one', response_of(holder, requester.peers.last()[1]))
    assert requester.received == [LARGE]
    assert all(to == 'one' for to, _message in requester.peers.sent)


def test_newer_version_of_the_holder_restarts_the_transfer():
    """A change between two parts must not combine parts of two texts."""
    requester = Requester()
    holder = create_holder()
    requester.deliver('one', response_of(holder, requester.peers.last()[1]))
    holder.announce(EIGHT, LARGER)
    requester.get_all_from('one', holder)
    assert requester.received == [LARGER]


def test_newer_version_of_another_entry_is_requested_next():
    """The holder that sends parts has only the version before."""
    requester = Requester()
    holder = create_holder()
    requester.deliver('one', response_of(holder, requester.peers.last()[1]))
    requester.deliver('three', ConfigurationNotice(EIGHT))
    requester.get_all_from('one', holder)
    assert requester.received == [LARGE]
    requester.get_all_from('three', create_holder(EIGHT, LARGER))
    assert requester.received == [LARGE, LARGER]


def test_duplicate_part_causes_no_duplicate_request():
    requester = Requester()
    part = response_of(create_holder(), requester.peers.last()[1])
    requester.deliver('one', part)
    requester.deliver('one', part)
    assert [message.part for _to, message in requester.peers.sent] == [0, 1]


def test_transfer_stops_when_the_store_delivers_the_version():
    requester = Requester()
    part = response_of(create_holder(), requester.peers.last()[1])
    requester.shared.announce(SEVEN, LARGE)
    requester.deliver('one', part)
    requester.clock.advance(2)
    assert len(requester.peers.sent) == 1
    assert not requester.received


def _packed(raw):
    return base64.b64encode(raw).decode()


@pytest.mark.parametrize(
    'malformed',
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
def test_malformed_parts_are_rejected_and_the_next_holder_is_asked(malformed):
    """The parts decode to no text, or to one longer than the store allows."""
    requester = Requester()
    requester.deliver('one', malformed)
    assert not requester.received
    assert requester.peers.last() == ('two', ConfigurationRequest(SEVEN, 0))


def test_unrequested_parts_are_dropped():
    requester = Requester()
    requester.deliver(
        'three', response_of(create_holder(), ConfigurationRequest(SEVEN, 0))
    )
    assert len(requester.peers.sent) == 1


def test_request_for_an_unknown_part_gets_no_response():
    assert response_of(create_holder(), ConfigurationRequest(SEVEN, 99)) is None
    assert response_of(create_holder(), ConfigurationRequest(EIGHT, 0)) is None


@struct
class _RequestWithoutParts:
    version: int


def test_entry_of_the_previous_release_gets_the_whole_text():
    """Entries are upgraded one by one; old requests name no part."""
    code = 24
    payload = bytes((code,)) + write_struct(_RequestWithoutParts(SEVEN))
    response = response_of(create_holder(), unpack(payload))
    assert response == ConfigurationText(LARGE.text)


def test_entry_of_the_previous_release_can_read_a_request():
    """It skips the unknown field and responds with the whole text."""
    payload = write_struct(ConfigurationRequest(SEVEN, 3))
    request = read_struct(_RequestWithoutParts, payload)
    assert request == _RequestWithoutParts(SEVEN)


def test_entry_of_the_previous_release_may_send_the_whole_text():
    requester = Requester()
    requester.shared.on_stored = requester.received.append
    requester.deliver('one', ConfigurationText(LARGE.text))
    assert requester.received == [StoredConfiguration(LARGE.text, 0)]
