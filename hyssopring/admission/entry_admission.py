"""Admission at an entry: the outlook that it publishes, and its gate."""

from functools import singledispatchmethod
from typing import Any, Callable

from hyssopring.admission.gate import AdmissionGate
from hyssopring.admission.messages import QueueOutlookNotice, RejectionNotice
from hyssopring.admission.peers import share_with_entries
from hyssopring.admission.publisher import OutlookPublisher
from hyssopring.clock import Clock
from hyssopring.jobs.fleet import Fleet
from hyssopring.jobs.owner import JobOwner
from hyssopring.jobs.relay import RelayPeers
from hyssopring.jobs.rows import RowStore
from hyssopring.jobs.scheduling_options import AdmissionOptions

__all__ = ('EntryAdmission',)


class EntryAdmission:
    """Connects the publisher and the gate of an entry with its peers.

    Attributes:
        gate: Decides about submitted jobs.
        publisher: Publishes the outlook while this entry is an owner.
    """

    def __init__(
        self,
        reactor: Any,
        clock: Clock,
        wall_ms: Callable[[], float],
        store: RowStore,
        peers: RelayPeers,
        fleet: Fleet,
        owner: JobOwner,
        may_act: Callable[[], bool],
        options: AdmissionOptions,
    ) -> None:
        """Start without an outlook."""
        self._peers = peers
        self.gate = AdmissionGate(
            reactor, clock, wall_ms, store, peers, options
        )
        self.publisher = OutlookPublisher(
            clock, fleet, owner, may_act, self._publish
        )
        self.publisher.expected_ms = owner.learning.expected_ms

    @singledispatchmethod
    def handle_notice(self, notice: Any) -> None:
        """Apply a notice of another entry."""
        raise TypeError(f'unexpected {type(notice).__name__}')

    @handle_notice.register
    def _handle_outlook(self, notice: QueueOutlookNotice) -> None:
        self.gate.handle_outlook(notice)

    @handle_notice.register
    def _handle_rejection(self, notice: RejectionNotice) -> None:
        self.gate.handle_rejection(notice)

    def tick(self) -> None:
        """Publish the outlook if due; call a few times a second."""
        self.publisher.tick()
        self.gate.tick()

    def _publish(self, notice: QueueOutlookNotice) -> None:
        self.gate.handle_outlook(notice)
        share_with_entries(self._peers, notice)
