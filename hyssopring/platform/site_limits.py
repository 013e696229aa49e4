"""Limits over all HTTP sites of one process."""

from dataclasses import dataclass
from typing import Any, Final

from hyssopring.body_budget import BodyBudget
from hyssopring.clock import MonotonicClock
from hyssopring.connection_limit import ConnectionLimit
from hyssopring.metrics import Metrics
from hyssopring.platform.settings import Limits
from hyssopring.read_turns import ReadTurns

__all__ = ('MAX_BODY_BYTES', 'SiteLimits')

# A job's row holds 65,536 bytes; its JSON may be longer by blanks and escapes.
# A report with all labels that are allowed has 70 KB; another writer's may have
# more fields.
MAX_BODY_BYTES: Final = 4 * 1024 * 1024
_BYTES_PER_MB: Final = 1024 * 1024
# The rest is for the state of the process, and for parsing a body.
_MEMORY_SHARE: Final = 0.125
# Files take the first; connections to other processes and to the store, half of
# the others.
_FILE_DESCRIPTORS: Final = 200
_DESCRIPTOR_SHARE: Final = 0.5
_MIN_CONNECTIONS: Final = 16


@dataclass(frozen=True, slots=True)
class SiteLimits:
    """Limits that the sites of a process share.

    Attributes:
        bodies: On the bytes of unfinished requests.
        connections: On open connections.
        turns: On the time of reading in a turn of the reactor.
    """

    bodies: BodyBudget
    connections: ConnectionLimit
    turns: ReadTurns

    @classmethod
    def from_limits(cls, limits: Limits, reactor: Any) -> 'SiteLimits':
        """Return the limits that the memory and descriptors allow."""
        budget = int(limits.memory_mb * _BYTES_PER_MB * _MEMORY_SHARE)
        sockets = limits.max_fds - _FILE_DESCRIPTORS
        return cls(
            BodyBudget(max(budget, 2 * MAX_BODY_BYTES)),
            ConnectionLimit(
                max(int(sockets * _DESCRIPTOR_SHARE), _MIN_CONNECTIONS)
            ),
            ReadTurns(reactor, MonotonicClock()),
        )

    def gauge(self, metrics: Metrics) -> None:
        """Set what is held, and count what was refused."""
        metrics.gauge('request_bytes', self.bodies.held_bytes)
        metrics.gauge('request_bodies_refused_total', self.bodies.refused_count)
        metrics.gauge('client_connections', len(self.connections))
        metrics.gauge(
            'client_connections_closed_total', self.connections.closed_count
        )
