"""Sends pending calls to agents: first, again, and elsewhere."""

from dataclasses import replace

from hyssopring.clock import Clock
from hyssopring.entry.calls import Attempt, Links, PendingCall
from hyssopring.entry.pending import PendingCalls
from hyssopring.invariants import Invariants
from hyssopring.logs import Event, log_event
from hyssopring.membership import Fleet
from hyssopring.metrics import Metrics
from hyssopring.protocol.messages import CallRequest
from hyssopring.routing import BackendSelector, BackendChoice, RetryBudget

__all__ = ('CallSender',)

_MAX_ATTEMPTS = 3
# With less than this left of the caller's time a retry is no help.
_MIN_RETRY_MS = 10.0


class CallSender:
    """Chooses a backend server for a call and writes it to its agent."""

    def __init__(
        self,
        clock: Clock,
        fleet: Fleet,
        calls: PendingCalls,
        links: Links,
        selector: BackendSelector,
        metrics: Metrics,
    ) -> None:
        """Take the collaborators."""
        self._clock = clock
        self._fleet = fleet
        self._calls = calls
        self._links = links
        self._metrics = metrics
        self._invariants = Invariants(metrics)
        self._budget = RetryBudget()
        self.selector = selector

    def succeeded(self) -> None:
        """An answer has come: earn a share of one retry."""
        self._budget.on_success()

    def choose(self, pending: PendingCall) -> BackendChoice | None:
        """Return a backend that the call has not been sent to."""
        candidates = [
            view
            for view in self._fleet.backends(pending.call.service_name)
            if view.agent.incarnation not in pending.tried
        ]
        now = self._clock.now()
        return self.selector.choose(candidates, now)

    def is_open(self, choice: BackendChoice) -> bool:
        """Whether the chosen backend may still be sent to."""
        record = choice.backend.agent
        is_connected = self._fleet.agent(record.agent_id) is record
        return is_connected and choice.backend.is_routable

    def dispatch(self, pending: PendingCall, choice: BackendChoice) -> None:
        """Send the call; a keyed one only under its own claim."""
        agent_run = choice.backend.agent.incarnation
        if not self._invariants.check(
            pending.is_claimed_for(agent_run),
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
            why=choice.why,
        )
        self.selector.on_sent(
            choice.backend,
            pending.call.request_id,
            attempt.sent_at,
        )
        self._links.send(attempt.agent_id, self._request(pending))

    def resend(self, pending: PendingCall) -> bool:
        """Retry within the send budget; False if nothing was sent.

        The budget is asked last: a call that goes nowhere must not use up
        the retry of one that could.
        """
        choice = self._choose_again(pending)
        if choice is None or not self._budget.try_spend():
            return False
        self._retry(pending, choice)
        return True

    def rescue(self, pending: PendingCall) -> bool:
        """Send to another agent; False if there is none or no time left.

        A rescue takes nothing from the send budget. Its first copy was lost
        with a connection or refused by who is leaving; a service that fails
        its calls gets no more load by it.
        """
        choice = self._choose_again(pending)
        if choice is None:
            return False
        self._retry(pending, choice)
        return True

    def repeat(self, pending: PendingCall, attempt: Attempt) -> None:
        """Send again to the run of the agent that may already have it."""
        self._links.send(attempt.agent_id, self._request(pending))

    def _choose_again(self, pending: PendingCall) -> BackendChoice | None:
        left = pending.call.deadline - self._clock.now()
        if pending.sent_count >= _MAX_ATTEMPTS or left < _MIN_RETRY_MS:
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
        left = pending.call.deadline - self._clock.now()
        return replace(
            pending.request,
            budget_ms=left,
            after=pending.attempts[-1].after,
        )
