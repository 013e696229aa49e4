"""Limits that the HTTP ports of one process share."""

import resource
from dataclasses import dataclass
from typing import Any, Final

from hyssopring.body_budget import BodyBudget
from hyssopring.clock import Clock
from hyssopring.connection_limit import ConnectionLimit
from hyssopring.metrics import Metrics
from hyssopring.protocol.unknown_peers import MAX_UNKNOWN_PEERS
from hyssopring.read_turns import ReadTurns

__all__ = ('HttpLimits', 'allowed_unknown_peers')

# The others are for connections to other processes, and for files.
_DESCRIPTOR_SHARE: Final = 0.5
_UNKNOWN_PEER_SHARE: Final = 0.125


@dataclass(frozen=True, slots=True)
class HttpLimits:
    """Limits that the HTTP ports of one process share.

    Attributes:
        bodies: On the bytes of requests.
        connections: On open connections.
        turns: On the time that reading takes at once.
    """

    bodies: BodyBudget
    connections: ConnectionLimit
    turns: ReadTurns

    @classmethod
    def from_settings(
        cls,
        reactor: Any,
        clock: Clock,
        max_buffered_bytes: int,
        max_connections: int,
    ) -> 'HttpLimits':
        """Return the limits of the settings and of the operating system.

        Args:
            reactor: Schedules reading that has to wait.
            clock: Measures the time that reading takes.
            max_buffered_bytes: Bytes of all requests.
            max_connections: Open connections; fewer if the system does not
                allow twice as many descriptors.
        """
        allowed = int(_allowed_descriptors() * _DESCRIPTOR_SHARE)
        return cls(
            BodyBudget(max_buffered_bytes),
            ConnectionLimit(min(max_connections, allowed)),
            ReadTurns(reactor, clock),
        )

    def gauge(self, metrics: Metrics) -> None:
        """Set what is held, and count what was refused."""
        metrics.gauge('request_bytes', self.bodies.held_bytes)
        metrics.gauge('request_bodies_refused_total', self.bodies.refused_count)
        metrics.gauge('client_connections', len(self.connections))
        metrics.gauge(
            'client_connections_closed_total', self.connections.closed_count
        )


def allowed_unknown_peers() -> int:
    """Return how many peers may be connected that are not known yet."""
    allowed = int(_allowed_descriptors() * _UNKNOWN_PEER_SHARE)
    return min(MAX_UNKNOWN_PEERS, allowed)


def _allowed_descriptors() -> int:
    """Return how many descriptors the system lets this process open."""
    return resource.getrlimit(resource.RLIMIT_NOFILE)[0]
