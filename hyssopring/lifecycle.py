"""Periodic timers and the graceful shutdown of a daemon, on Twisted."""

from typing import Any, Callable

from twisted.internet.task import LoopingCall

from hyssopring.clock import Clock
from hyssopring.logs import Event, log_event

__all__ = ('Lifecycle',)

_IDLE_CHECK_INTERVAL_S = 0.05
_FINAL_RESPONSES_S = 0.3
# Open connections bring further requests until the process ends. Without
# repeated checks one that arrives last would get no response.
_FINAL_IDLE_CHECKS = round(_FINAL_RESPONSES_S / _IDLE_CHECK_INTERVAL_S)


class Lifecycle:
    """Timers and shutdown that entry and agent processes have in common."""

    def __init__(self, reactor: Any, clock: Clock, role: str) -> None:
        """Initialize without timers; ``role`` is a field of log lines."""
        self._reactor = reactor
        self._clock = clock
        self._role = role
        self._loops: list[LoopingCall] = []
        self._idle_checks = 0

    def every(self, interval_s: float, action: Callable[[], Any]) -> None:
        """Call ``action`` periodically, first after one interval."""
        loop = LoopingCall(action)
        loop.clock = self._reactor
        loop.start(interval_s, now=False)
        self._loops.append(loop)

    def drain(self, is_idle: Callable[[], bool], drain_ms: float) -> None:
        """Stop the reactor once idle for a while, or after a time.

        Args:
            is_idle: Returns whether no request is open and none came since
                the last call.
            drain_ms: The longest time to wait for that.
        """
        self._check_idle(is_idle, self._clock.now() + drain_ms)

    def _check_idle(self, is_idle: Callable[[], bool], deadline: float) -> None:
        if self._clock.now() > deadline:
            # Leaves time for sending the last responses.
            self._reactor.callLater(_FINAL_RESPONSES_S, self._stop)
            return
        self._idle_checks = self._idle_checks + 1 if is_idle() else 0
        if self._idle_checks > _FINAL_IDLE_CHECKS:
            self._stop()
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
