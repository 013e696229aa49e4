"""Timers of the reactor by the clock that does not step."""

from typing import Any

from hyssopring.clock import MILLIS_PER_SECOND, Clock

__all__ = ('use_steady_timers',)


def use_steady_timers(reactor: Any, clock: Clock) -> None:
    """Let a reactor schedule its calls by a clock; call before any is pending.

    Twisted uses the time of day. If it steps back, pending calls are delayed
    by as much: heartbeats stop and leases expire while messages are still
    handled. If it steps ahead, all timeouts expire at once.
    """
    reactor.seconds = lambda: clock.now() / MILLIS_PER_SECOND
