"""Periodic timers and the graceful shutdown of a daemon, on Twisted."""

from typing import Any, Callable

from twisted.internet.defer import maybeDeferred
from twisted.internet.task import LoopingCall
from twisted.python.failure import Failure as TwistedFailure

from hyssopring.clock import Clock
from hyssopring.logs import Event, log_event

__all__ = ('Lifecycle',)

_IDLE_CHECK_INTERVAL_S = 0.05
_FINAL_RESPONSES_S = 0.3
# Open connections bring further requests until the process ends. Without
# repeated checks one that arrives last would get no response.
_FINAL_IDLE_CHECKS = round(_FINAL_RESPONSES_S / _IDLE_CHECK_INTERVAL_S)
# Errors that are logged, and characters of each.
_MAX_LOGGED_TRACES = 50
_MAX_LOGGED_DETAIL = 200


class Lifecycle:
    """Timers and shutdown that entry and agent processes have in common."""

    def __init__(self, reactor: Any, clock: Clock, role: str) -> None:
        """Initialize without timers; ``role`` is a field of log lines."""
        self._reactor = reactor
        self._clock = clock
        self._role = role
        self._loops: list[LoopingCall] = []
        self._idle_checks = 0
        self._logged_traces: set[str] = set()

    def every(self, interval_s: float, action: Callable[[], Any]) -> None:
        """Call ``action`` periodically, first after one interval.

        The calls go on after an error, which is logged once for each trace.
        """
        loop = LoopingCall(self._call, action)
        loop.clock = self._reactor
        loop.start(interval_s, now=False)
        self._loops.append(loop)

    def _call(self, action: Callable[[], Any]) -> Any:
        return maybeDeferred(action).addErrback(self._log_error)

    def _log_error(self, failure: TwistedFailure) -> None:
        trace = failure.getBriefTraceback()
        if trace in self._logged_traces:
            return
        if len(self._logged_traces) < _MAX_LOGGED_TRACES:
            self._logged_traces.add(trace)
            log_event(
                Event.PEER_ERROR,
                peer=self._role,
                detail=repr(failure.value)[:_MAX_LOGGED_DETAIL],
                trace=trace,
            )

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
