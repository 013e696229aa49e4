"""Interval and timeout of heartbeats between agents and entries.

The entry sets the interval: one second with few agents. With more agents the
interval grows so that the entry's rate of heartbeats stays constant, up to a
maximum that leaves two more attempts within a batch lease of 15 s after a
lost heartbeat.
"""

from typing import Final

__all__ = ('heartbeat_interval_ms', 'silence_timeout_ms')

_MIN_INTERVAL_MS: Final = 1000.0
_MAX_INTERVAL_MS: Final = 5000.0
_HEARTBEATS_PER_S: Final = 100
_TIMEOUT_INTERVALS: Final = 2.5


def heartbeat_interval_ms(agents: int) -> float:
    """Return the time between the heartbeats of each agent, in ms."""
    return min(
        max(_MIN_INTERVAL_MS * agents / _HEARTBEATS_PER_S, _MIN_INTERVAL_MS),
        _MAX_INTERVAL_MS,
    )


def silence_timeout_ms(interval_ms: float) -> float:
    """Return the time without a message after which to close a connection.

    A peer that has lost the connection's state never responds on it, so the
    connection is aborted and dialled again. Calls do not wait for this
    timeout: the router pings a silent peer that has calls in flight.
    """
    return _TIMEOUT_INTERVALS * interval_ms
