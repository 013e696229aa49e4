"""How often an agent and an entry say that they live.

The entry sets the pace: with few agents a heartbeat each second; with more
it spreads what it takes in a second over them, within bounds that leave a
batch lease of 15 s two more tries after a lost heartbeat.
"""

from typing import Final

__all__ = ('heartbeat_interval_ms', 'silence_timeout_ms')

_MIN_MS: Final = 1000.0
_MAX_MS: Final = 5000.0
_BEATS_PER_S: Final = 100
_SILENT_BEATS: Final = 2.5


def heartbeat_interval_ms(agents: int) -> float:
    """Return the milliseconds between heartbeats of each of the agents."""
    return min(max(_MIN_MS * agents / _BEATS_PER_S, _MIN_MS), _MAX_MS)


def silence_timeout_ms(interval_ms: float) -> float:
    """Return after how long with nothing heard a connection is silent.

    A peer that lost track of the connection answers nothing for good, so it
    is aborted and dialled afresh. Calls on it do not wait for this: the
    router pings a quiet peer that owes an answer.
    """
    return _SILENT_BEATS * interval_ms
