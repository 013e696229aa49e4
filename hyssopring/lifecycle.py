"""Timers and the graceful end of a daemon (Twisted shell)."""

from typing import Any, Callable

from twisted.internet.task import LoopingCall

from hyssopring.clock import Clock
from hyssopring.logs import Event, log_event

__all__ = ('Lifecycle',)

_DRAIN_CHECK_S = 0.05
_LAST_ANSWERS_S = 0.3


class Lifecycle:
    """What an entry's and an agent's process do alike on their reactor."""

    def __init__(self, reactor: Any, clock: Clock, role: str) -> None:
        """Start no timer yet; ``role`` stands in the log."""
        self._reactor = reactor
        self._clock = clock
        self._role = role
        self._loops: list[LoopingCall] = []

    def every(self, seconds: float, action: Callable[[], Any]) -> None:
        """Repeat an action, first after one interval."""
        loop = LoopingCall(action)
        loop.clock = self._reactor
        loop.start(seconds, now=False)
        self._loops.append(loop)

    def drain(self, is_idle: Callable[[], bool], drain_ms: float) -> None:
        """Stop the reactor once idle, at the latest after ``drain_ms``."""
        self._check(is_idle, self._clock.now() + drain_ms)

    def _check(self, is_idle: Callable[[], bool], deadline: float) -> None:
        if is_idle() or self._clock.now() > deadline:
            # A while more, so that the last answers leave the process.
            self._reactor.callLater(_LAST_ANSWERS_S, self._finish)
            return
        self._reactor.callLater(
            _DRAIN_CHECK_S,
            self._check,
            is_idle,
            deadline,
        )

    def _finish(self) -> None:
        log_event(Event.PROCESS_STOPPED, role=self._role)
        self._reactor.stop()
