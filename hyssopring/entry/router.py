"""Carries each caller's request to one backend server and its answer back.

Guards:
* A pending call is found by its request id, and its answer is taken only from
  the agent and connection that it was sent on, so a late or foreign answer
  reaches no other caller.
* A call whose connection broke is in doubt: it may have run (``doubt``).
"""

import random
from dataclasses import replace

from hyssopring.clock import Clock
from hyssopring.configuration import ConfigurationState
from hyssopring.entry.calls import (
    Answer,
    Attempt,
    Call,
    Callers,
    Links,
    PendingCall,
)
from hyssopring.entry.claims import ClaimTable
from hyssopring.entry.doubt import Doubts
from hyssopring.entry.hedges import Hedges
from hyssopring.entry.keyed import KeyedCalls
from hyssopring.entry.pending import PendingCalls
from hyssopring.errors import ErrorKind, Failure
from hyssopring.invariants import Invariants
from hyssopring.logs import Event, log_event
from hyssopring.membership import AgentRecord, Fleet
from hyssopring.metrics import Metrics
from hyssopring.outcomes import CallOutcome
from hyssopring.protocol.messages import CallRequest, CallResponse, CancelCall
from hyssopring.routing import Admission, BackendSelector, Choice, SendBudget

__all__ = ('CallRouter',)

_MAX_ATTEMPTS = 3
# With less than this left of the caller's time a retry is no help.
_MIN_RETRY_MS = 10.0


class CallRouter:
    """Routes calls; one instance per entry, driven by one thread."""

    def __init__(
        self,
        clock: Clock,
        zone: str,
        fleet: Fleet,
        configuration: ConfigurationState,
        links: Links,
        callers: Callers,
        metrics: Metrics,
        rng: random.Random,
        claims: ClaimTable,
    ) -> None:
        """Take the collaborators; ``rng`` is seeded by the caller."""
        self._clock = clock
        self._fleet = fleet
        self._configuration = configuration
        self._links = links
        self._metrics = metrics
        self._invariants = Invariants(metrics)
        self.admission = Admission(clock, configuration)
        self.selector = BackendSelector(zone, rng)
        self._budget = SendBudget()
        self._calls = PendingCalls(clock, callers, metrics, rng)
        self._doubts = Doubts(clock, fleet, self._calls, links, self)
        self._claims = claims
        self._keyed = KeyedCalls(self._calls, claims, self._doubts, self)
        self._hedges = Hedges(
            clock,
            self._calls,
            self.selector,
            links,
            self,
            metrics,
        )
        self._is_stopping = False

    @property
    def pending(self) -> int:
        """How many calls have not had their answer."""
        return len(self._calls)

    @property
    def next_deadline(self) -> float | None:
        """When the earliest pending call's time is up."""
        return min(
            (pending.call.deadline for pending in self._calls),
            default=None,
        )

    def stop(self) -> None:
        """Refuse new calls; those in flight finish."""
        self._is_stopping = True

    def submit(self, call: Call) -> None:
        """Take a caller's request; its answer comes through ``callers``."""
        policy = self._configuration.policy(call.service_name)
        if self._is_stopping:
            self._calls.refuse(
                call,
                Failure(ErrorKind.STOPPING, 'entry is stopping'),
            )
            return
        if not self._configuration.is_known:
            # A fresh entry in a store outage must not take a service for
            # unknown: the caller would not come back.
            self._calls.refuse(
                call,
                Failure(ErrorKind.STORE_UNAVAILABLE, 'no configuration yet'),
            )
            return
        if policy is None or policy.kind != 'service':
            self._calls.refuse(
                call,
                Failure(ErrorKind.UNKNOWN_SERVICE, call.service_name),
            )
            return
        over_quota = self.admission.quota_failure(policy)
        if over_quota is not None:
            self._calls.refuse(call, over_quota)
            return
        now = self._clock.now()
        request = CallRequest(
            request_id=call.request_id,
            service_name=call.service_name,
            method=call.method,
            path=call.path,
            headers=call.headers,
            body=call.body,
            budget_ms=call.deadline - now,
            urgency=policy.urgency,
            idempotent=policy.idempotent,
        )
        pending = PendingCall(call, request, policy.idempotent, now)
        self._calls.add(pending)
        choice = self.choose(pending)
        if choice is None:
            self._calls.fail(
                pending,
                Failure(ErrorKind.NO_BACKEND, call.service_name),
            )
            return
        self._admit(pending, choice)

    def forget(self, request_id: str) -> None:
        """The caller has gone: drop the call if it has not started."""
        pending = self._calls.get(request_id)
        if pending is not None:
            self._cancel(pending)
            self._calls.discard(request_id)

    def on_response(self, record: AgentRecord, response: CallResponse) -> None:
        """Take an agent's answer for a call or an outcome query."""
        self.selector.heard(record, response, self._clock.now())
        request_id = response.request_id
        is_awaited = False
        for pending in self._calls.waiting_for(request_id):
            attempt = pending.attempt_on(record, request_id)
            if attempt is not None:
                is_awaited = True
                self._settle(pending, attempt, response)
        if not is_awaited:
            log_event(
                Event.LATE_ANSWER_DROPPED,
                request=request_id,
                agent=record.agent_id,
            )
            self._metrics.count('late_answers_total')

    def on_connect(self, record: AgentRecord) -> None:
        """An agent has connected."""
        self._doubts.on_connect(record)

    def on_disconnect(self, record: AgentRecord) -> None:
        """An agent's connection is gone."""
        self.selector.forget(record)
        self._doubts.on_disconnect(record)

    def tick(self) -> None:
        """Give up the calls whose deadline has passed."""
        now = self._clock.now()
        for pending in self._calls:
            if pending.call.deadline <= now:
                self._cancel(pending)
                self._calls.fail(
                    pending,
                    Failure(ErrorKind.DEADLINE, 'the deadline has passed'),
                )
        self._doubts.tick()
        self._claims.tick()
        self._hedges.tick()

    def resend(self, pending: PendingCall) -> bool:
        """Send to another agent; False if there is none or no time left."""
        left = pending.call.deadline - self._clock.now()
        if pending.sent_count >= _MAX_ATTEMPTS or left < _MIN_RETRY_MS:
            return False
        choice = self.choose(pending)
        if choice is None or not self._budget.take():
            return False
        log_event(
            Event.REQUEST_RETRIED,
            request=pending.call.request_id,
            tried=pending.sent_count,
        )
        self._metrics.count('retries_total')
        self.dispatch(pending, choice)
        return True

    def repeat(self, pending: PendingCall, attempt: Attempt) -> None:
        """Send again to the run of the agent that may already have it."""
        self._links.send(attempt.agent_id, self._request(pending))

    def choose(self, pending: PendingCall) -> Choice | None:
        """Return a backend that the call has not been sent to."""
        candidates = [
            view
            for view in self._fleet.backends(pending.call.service_name)
            if view.agent.incarnation not in pending.tried
        ]
        now = self._clock.now()
        return self.selector.choose(candidates, now)

    def is_open(self, choice: Choice) -> bool:
        """Whether the chosen backend may still be sent to."""
        record = choice.backend.agent
        is_connected = self._fleet.agent(record.agent_id) is record
        return is_connected and choice.backend.is_routable

    def dispatch(self, pending: PendingCall, choice: Choice) -> None:
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
        self.selector.sent(
            choice.backend,
            pending.call.request_id,
            attempt.sent_at,
        )
        self._links.send(attempt.agent_id, self._request(pending))

    def _admit(self, pending: PendingCall, choice: Choice) -> None:
        request = pending.request
        too_late = self.admission.deadline_failure(
            choice,
            request.urgency,
            request.budget_ms,
        )
        if too_late is not None:
            self._calls.fail(pending, too_late)
            return
        if pending.call.key and not pending.idempotent:
            self._keyed.claim(pending, choice)
            return
        self.dispatch(pending, choice)

    def _request(self, pending: PendingCall) -> CallRequest:
        left = pending.call.deadline - self._clock.now()
        return replace(
            pending.request,
            budget_ms=left,
            after=pending.attempts[-1].after,
        )

    def _settle(
        self,
        pending: PendingCall,
        attempt: Attempt,
        response: CallResponse,
    ) -> None:
        outcome = CallOutcome.from_wire(response.outcome)
        if outcome is CallOutcome.ANSWERED:
            self._budget.succeeded()
            self._calls.finish(
                pending,
                Answer(response.status, response.headers, response.body),
            )
            return
        not_run = outcome is CallOutcome.NOT_RUN
        self._calls.close_attempt(pending, attempt, may_have_run=not not_run)
        if pending.attempts:
            # A sibling attempt of an idempotent call may still answer.
            return
        failure = Failure(
            ErrorKind.from_wire(response.error),
            response.detail,
            response.retry_after_ms or None,
        )
        if not_run and pending.row is not None:
            self._keyed.move(pending, failure)
            return
        may_repeat = not_run or pending.idempotent
        if not (may_repeat and self.resend(pending)):
            self._calls.fail(pending, failure)

    def _cancel(self, pending: PendingCall) -> None:
        for attempt in pending.attempts:
            # What it follows is another caller's, who may still wait.
            if attempt.request_id == pending.call.request_id:
                self._links.send(
                    attempt.agent_id,
                    CancelCall(attempt.request_id),
                )
