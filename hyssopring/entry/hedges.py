"""Hedges or recalls calls that take long, within the retry budget.

An idempotent call is sent to a second backend server once its age exceeds
the 95th percentile of the service's latency. Any other call is recalled: if
it still waits for a slot, the agent reports it as not run, and it is sent
elsewhere; if it runs already, nothing changes.
"""

from typing import Final, Protocol

from hyssopring.clock import Clock
from hyssopring.entry.calls import Attempt, AttemptPhase, Links, PendingCall
from hyssopring.entry.pending_calls import PendingCalls
from hyssopring.logs import Event, log_event
from hyssopring.metrics import Metrics
from hyssopring.protocol.messages import CancelCall
from hyssopring.routing import BackendSelector

__all__ = ('HedgeSender', 'Hedges')

_MAX_UTILIZATION: Final = 0.8
_VERY_LATE_FACTOR: Final = 2


class HedgeSender(Protocol):
    """Sends a call again; ``CallSender``."""

    def retry(self, pending: PendingCall) -> bool:
        """Send to another agent; False if nothing was sent."""


class Hedges:
    """Hedges and recalls the pending calls of one entry."""

    def __init__(
        self,
        clock: Clock,
        calls: PendingCalls,
        selector: BackendSelector,
        links: Links,
        sender: HedgeSender,
        metrics: Metrics,
    ) -> None:
        """Keep the collaborators; ``tick`` does the work."""
        self._clock = clock
        self._calls = calls
        self._selector = selector
        self._links = links
        self._sender = sender
        self._metrics = metrics

    def tick(self) -> None:
        """Hedge or recall the calls that are late."""
        now_ms = self._clock.now()
        for pending in self._calls:
            if len(pending.attempts) == 1:
                self._check_call(pending, pending.attempts[0], now_ms)

    def _check_call(
        self,
        pending: PendingCall,
        attempt: Attempt,
        now_ms: float,
    ) -> None:
        if attempt.is_recalled or attempt.phase is not AttemptPhase.SENT:
            return
        latency_window = self._selector.latency_window(
            pending.call.service_name
        )
        age_ms = now_ms - attempt.sent_at
        if age_ms < latency_window.p95_ms:
            return
        if pending.idempotent:
            self._hedge(pending, age_ms, latency_window.p95_ms)
        elif attempt.request_id == pending.call.request_id:
            self._recall(pending, attempt, age_ms)

    def _hedge(
        self, pending: PendingCall, age_ms: float, p95_ms: float
    ) -> None:
        # Both copies run to completion, and late calls tend to be long ones:
        # with few free slots, hedges would fill them all. Calls that are very
        # late are few, and are hedged even then.
        service_name = pending.call.service_name
        is_busy = self._selector.utilization(service_name) > _MAX_UTILIZATION
        if is_busy and age_ms < p95_ms * _VERY_LATE_FACTOR:
            return
        if not self._sender.retry(pending):
            return
        self._metrics.count('hedges_total')
        log_event(
            Event.REQUEST_HEDGED,
            request=pending.call.request_id,
            why=f'unanswered for {age_ms:.0f} ms, p95 is {p95_ms:.0f} ms',
        )

    def _recall(
        self,
        pending: PendingCall,
        attempt: Attempt,
        age_ms: float,
    ) -> None:
        attempt.is_recalled = True
        self._metrics.count('recalls_total')
        log_event(
            Event.REQUEST_RECALLED,
            request=pending.call.request_id,
            agent=attempt.agent_id,
            why=f'unanswered for {age_ms:.0f} ms',
        )
        self._links.send(
            attempt.agent_id,
            CancelCall(pending.call.request_id),
        )
