"""What entries tell each other apart from shards and jobs."""

from functools import singledispatchmethod
from typing import Any, Callable

from hyssopring.clock import Clock
from hyssopring.jobs.configuration_messages import (
    ConfigurationNotice,
    ConfigurationPart,
    ConfigurationRequest,
    ConfigurationText,
)
from hyssopring.jobs.evacuation_messages import EvacuationNotice
from hyssopring.jobs.messages import JobsMessage
from hyssopring.jobs.relay import RelayPeers
from hyssopring.jobs.retired_messages import (
    RetiredOutlookNotice,
    RetiredRejectionNotice,
)
from hyssopring.jobs.shared_configuration import SharedConfiguration
from hyssopring.jobs.shared_evacuations import SharedEvacuations
from hyssopring.logs import Event, log_event

__all__ = ('SharedState',)


class SharedState:
    """The state that entries share by messages of their own.

    Attributes:
        configuration: The configuration that the entries share.
        evacuations: The evacuated zones that entries and agents share.
    """

    def __init__(
        self,
        reactor: Any,
        clock: Clock,
        peers: RelayPeers,
        connected_agents: Callable[[], list[str]],
    ) -> None:
        """Start without any knowledge.

        Args:
            connected_agents: Returns the IDs of the connected agents.
        """
        self.configuration = SharedConfiguration(reactor, peers)
        self.evacuations = SharedEvacuations(clock, peers, connected_agents)

    @singledispatchmethod
    def handle_message(self, message: JobsMessage, peer_id: str) -> None:
        """Handle a message of a peer; log one of an unexpected type."""
        log_event(
            Event.PEER_ERROR,
            peer=peer_id,
            detail=f'unexpected {type(message).__name__}',
        )

    @handle_message.register(ConfigurationNotice)
    @handle_message.register(ConfigurationRequest)
    @handle_message.register(ConfigurationText)
    @handle_message.register(ConfigurationPart)
    def _handle_configuration(self, message: JobsMessage, peer_id: str) -> None:
        self.configuration.handle_message(message, peer_id)

    @handle_message.register
    def _handle_evacuations(
        self, message: EvacuationNotice, peer_id: str
    ) -> None:
        self.evacuations.handle_notice(message, peer_id)

    @handle_message.register(RetiredOutlookNotice)
    @handle_message.register(RetiredRejectionNotice)
    def _ignore(self, message: JobsMessage, peer_id: str) -> None:
        """Ignore what only an earlier release uses."""
