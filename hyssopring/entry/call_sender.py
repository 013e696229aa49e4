"""Sends pending calls to agents: first attempts, retries and failover."""

from dataclasses import replace

from hyssopring.clock import Clock
from hyssopring.entry.calls import Attempt, Links, PendingCall
from hyssopring.entry.pending_calls import PendingCalls
from hyssopring.invariants import Invariants
from hyssopring.logs import Event, log_event
from hyssopring.membership import Fleet
from hyssopring.metrics import Metrics
from hyssopring.protocol.messages import CallRequest
from hyssopring.routing import BackendSelector, BackendChoice, RetryBudget

__all__ = ('CallSender',)

_MAX_ATTEMPTS = 3
# With less time than this before the deadline, a retry rarely succeeds.
_MIN_RETRY_MS = 10.0


class CallSender:
    """Chooses a backend server for a call and sends the call to its agent."""

    def __init__(
        self,
        clock: Clock,
        fleet: Fleet,
        calls: PendingCalls,
        links: Links,
        selector: BackendSelector,
        metrics: Metrics,
    ) -> None:
        """Start with a full retry budget."""
        self._clock = clock
        self._fleet = fleet
        self._calls = calls
        self._links = links
        self._metrics = metrics
        self._invariants = Invariants(metrics)
        self._budget = RetryBudget()
        self.selector = selector

    def on_success(self) -> None:
        """Credit the retry budget for an answered call."""
        self._budget.on_success()

    def choose(self, pending: PendingCall) -> BackendChoice | None:
        """Return a backend server that has not received the call, or None."""
        candidates = [
            view
            for view in self._fleet.backends(pending.call.service_name)
            if view.agent.incarnation not in pending.tried_incarnations
        ]
        now_ms = self._clock.now()
        return self.selector.choose(candidates, now_ms)

    def can_send_to(self, choice: BackendChoice) -> bool:
        """Whether the chosen backend server is connected and routable."""
        record = choice.backend.agent
        is_connected = self._fleet.agent(record.agent_id) is record
        return is_connected and choice.backend.is_routable

    def dispatch(self, pending: PendingCall, choice: BackendChoice) -> None:
        """Send the call; a keyed call only to the agent in its claim."""
        incarnation = choice.backend.agent.incarnation
        if not self._invariants.check(
            pending.is_claimed_for(incarnation),
            'a keyed request runs only where its claim says',
            pending.call.request_id,
        ):
            return
        attempt = self._calls.open_attempt(pending, choice.backend)
        log_event(
            Event.REQUEST_ROUTED,
            request=pending.call.request_id,
            service=pending.call.service_name,
            agent=attempt.agent_id,
            attempt=pending.sent_count,
            why=choice.reason,
        )
        self.selector.on_sent(
            choice.backend,
            pending.call.request_id,
            attempt.sent_at,
        )
        self._links.send(attempt.agent_id, self._request(pending))

    def retry(self, pending: PendingCall) -> bool:
        """Retry within the retry budget; False if nothing was sent.

        The budget is checked last, so that a call without an eligible backend
        server spends nothing.
        """
        choice = self._choose_for_retry(pending)
        if choice is None or not self._budget.try_spend():
            return False
        self._retry(pending, choice)
        return True

    def fail_over(self, pending: PendingCall) -> bool:
        """Send to another agent; False if there is none or no time left.

        Failover spends no retry budget: the earlier attempt was lost with a
        connection or refused by an agent or backend server that is shutting
        down, so it adds no load to a service that fails its calls.
        """
        choice = self._choose_for_retry(pending)
        if choice is None:
            return False
        self._retry(pending, choice)
        return True

    def resend(self, pending: PendingCall, attempt: Attempt) -> None:
        """Resend to the agent incarnation that may have the call already."""
        self._links.send(attempt.agent_id, self._request(pending))

    def _choose_for_retry(self, pending: PendingCall) -> BackendChoice | None:
        remaining_ms = pending.call.deadline - self._clock.now()
        if pending.sent_count >= _MAX_ATTEMPTS or remaining_ms < _MIN_RETRY_MS:
            return None
        return self.choose(pending)

    def _retry(self, pending: PendingCall, choice: BackendChoice) -> None:
        log_event(
            Event.REQUEST_RETRIED,
            request=pending.call.request_id,
            tried=pending.sent_count,
        )
        self._metrics.count('retries_total')
        self.dispatch(pending, choice)

    def _request(self, pending: PendingCall) -> CallRequest:
        remaining_ms = pending.call.deadline - self._clock.now()
        return replace(
            pending.request,
            budget_ms=remaining_ms,
            after=pending.attempts[-1].after,
        )
