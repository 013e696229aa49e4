"""Messages of earlier releases are still taken, and change nothing."""

import pytest

from hyssopring.jobs.messages import pack, unpack
from hyssopring.jobs.retired_messages import (
    RetiredOutlookNotice,
    RetiredRejectionNotice,
)
from hyssopring.protocol.structs import struct, write_struct
from standins.jobs.deployment import settled


@struct
class FormerNotice:
    """A message with fields that this release does not know."""

    queue: str
    works: list[int]
    rate: float


FIELDS = write_struct(FormerNotice('large', [1, 2], 0.5))


@pytest.mark.parametrize(
    ('number', 'message_class'),
    [(-2, RetiredOutlookNotice), (-1, RetiredRejectionNotice)],
)
def test_notice_of_an_earlier_release_is_read(number, message_class):
    """Guards against connections that end with each notice of a peer."""
    first_byte = pack(message_class())[:1]
    assert isinstance(unpack(first_byte + FIELDS), message_class)


@pytest.mark.parametrize(
    'message', [RetiredOutlookNotice(), RetiredRejectionNotice()]
)
def test_entry_ignores_a_retired_notice(message, errors):
    core = settled().entries['entry-0'].core
    core.handle_message(message, 'entry-1')
    assert errors == []
