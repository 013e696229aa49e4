"""Periodic timers and the graceful shutdown of a daemon, on Twisted."""

from typing import Any, Callable

from twisted.internet.task import LoopingCall

from hyssopring.clock import Clock
from hyssopring.logs import Event, log_event

__all__ = ('Lifecycle',)

_IDLE_CHECK_INTERVAL_S = 0.05
_FINAL_RESPONSES_S = 0.3


class Lifecycle:
    """Timers and shutdown that entry and agent processes have in common."""

    def __init__(self, reactor: Any, clock: Clock, role: str) -> None:
        """Initialize without timers; ``role`` is a field of log lines."""
        self._reactor = reactor
        self._clock = clock
        self._role = role
        self._loops: list[LoopingCall] = []

    def every(self, interval_s: float, action: Callable[[], Any]) -> None:
        """Call ``action`` periodically, first after one interval."""
        loop = LoopingCall(action)
        loop.clock = self._reactor
        loop.start(interval_s, now=False)
        self._loops.append(loop)

    def drain(self, is_idle: Callable[[], bool], drain_ms: float) -> None:
        """Stop the reactor once idle, after ``drain_ms`` at the latest."""
        self._check_idle(is_idle, self._clock.now() + drain_ms)

    def _check_idle(self, is_idle: Callable[[], bool], deadline: float) -> None:
        if is_idle() or self._clock.now() > deadline:
            # Leaves time for sending the last responses.
            self._reactor.callLater(_FINAL_RESPONSES_S, self._stop)
            return
        self._reactor.callLater(
            _IDLE_CHECK_INTERVAL_S,
            self._check_idle,
            is_idle,
            deadline,
        )

    def _stop(self) -> None:
        log_event(Event.PROCESS_STOPPED, role=self._role)
        self._reactor.stop()
