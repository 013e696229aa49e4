"""Second chances for calls that take long, within the send budget.

An idempotent call is sent to a second backend server once it is older than
nearly all others were at their answer. Any other call is recalled: if it
still waits for a slot, the agent gives it back as certainly not run, and it
is sent elsewhere; if it runs already, nothing changes.
"""

from typing import Final, Protocol

from hyssopring.clock import Clock
from hyssopring.entry.calls import Attempt, AttemptPhase, Links, PendingCall
from hyssopring.entry.pending import PendingCalls
from hyssopring.logs import Event, log_event
from hyssopring.metrics import Metrics
from hyssopring.protocol.messages import CancelCall
from hyssopring.routing import BackendSelector

__all__ = ('HedgeSender', 'Hedges')

_MAX_UTILIZATION: Final = 0.8
_VERY_LATE: Final = 2


class HedgeSender(Protocol):
    """Sends a call again; ``CallSender``."""

    def resend(self, pending: PendingCall) -> bool:
        """Send to another agent; False if nothing was sent."""


class Hedges:
    """Looks through the pending calls of one entry."""

    def __init__(
        self,
        clock: Clock,
        calls: PendingCalls,
        selector: BackendSelector,
        links: Links,
        sender: HedgeSender,
        metrics: Metrics,
    ) -> None:
        """Take the collaborators."""
        self._clock = clock
        self._calls = calls
        self._selector = selector
        self._links = links
        self._sender = sender
        self._metrics = metrics

    def tick(self) -> None:
        """Hedge or recall the calls that are late."""
        now = self._clock.now()
        for pending in self._calls:
            if len(pending.attempts) == 1:
                self._consider(pending, pending.attempts[0], now)

    def _consider(
        self,
        pending: PendingCall,
        attempt: Attempt,
        now: float,
    ) -> None:
        if attempt.is_recalled or attempt.phase is not AttemptPhase.SENT:
            return
        window = self._selector.latency_window(pending.call.service_name)
        age = now - attempt.sent_at
        if age < window.p95_ms:
            return
        if pending.idempotent:
            self._hedge(pending, age, window.p95_ms)
        elif attempt.request_id == pending.call.request_id:
            self._recall(pending, attempt, age)

    def _hedge(self, pending: PendingCall, age: float, p95: float) -> None:
        # Both copies run to their end, and late calls are the long ones:
        # with few slots free, hedges would fill them all. The very late are
        # few, and are hedged also then.
        service_name = pending.call.service_name
        is_busy = self._selector.utilization(service_name) > _MAX_UTILIZATION
        if is_busy and age < p95 * _VERY_LATE:
            return
        if not self._sender.resend(pending):
            return
        self._metrics.count('hedges_total')
        log_event(
            Event.REQUEST_HEDGED,
            request=pending.call.request_id,
            why=f'unanswered for {age:.0f} ms, p95 is {p95:.0f} ms',
        )

    def _recall(
        self,
        pending: PendingCall,
        attempt: Attempt,
        age: float,
    ) -> None:
        attempt.is_recalled = True
        self._metrics.count('recalls_total')
        log_event(
            Event.REQUEST_RECALLED,
            request=pending.call.request_id,
            agent=attempt.agent_id,
            why=f'unanswered for {age:.0f} ms',
        )
        self._links.send(
            attempt.agent_id,
            CancelCall(pending.call.request_id),
        )
