"""Sends the messages of this package to the entries that know them."""

from typing import Final

from hyssopring.admission.messages import QueueOutlookNotice, RejectionNotice
from hyssopring.jobs.relay import RelayPeers

__all__ = ('share_with_entries',)

# ``EntryGreeting.release`` of the first process that knows the messages.
_FIRST_RELEASE: Final = 1


def share_with_entries(
    peers: RelayPeers, message: QueueOutlookNotice | RejectionNotice
) -> None:
    """Send a message to all connected entries that know its class.

    Other entries would close the connection.
    """
    for entry_id in peers.connected_entries:
        if peers.release_of(entry_id) >= _FIRST_RELEASE:
            peers.send_to_entry(entry_id, message)
