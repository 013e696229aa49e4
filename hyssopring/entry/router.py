"""Carries each caller's request to one backend server and its answer back.

Guards:
* A pending call is found by its request id, and its answer is taken only from
  the agent and connection that it was sent on, so a late or foreign answer
  reaches no other caller.
* A call whose connection broke is in doubt: it may have run (``doubt``).
"""

import random

from result import Err, Ok, Result

from hyssopring.clock import Clock
from hyssopring.configuration import ConfigurationState, ServicePolicy
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
from hyssopring.entry.inquiries import (
    RUNNING,
    AnswerCallback,
    Inquiries,
    Inquiry,
)
from hyssopring.entry.keyed import KeyedCalls
from hyssopring.entry.liveness import Liveness
from hyssopring.entry.pending import PendingCalls
from hyssopring.entry.sending import CallSender
from hyssopring.errors import ErrorKind, Failure
from hyssopring.logs import Event, log_event
from hyssopring.membership import AgentRecord, Fleet
from hyssopring.metrics import Metrics
from hyssopring.outcomes import CallOutcome
from hyssopring.protocol.messages import CallRequest, CallResponse, CancelCall
from hyssopring.routing import AdmissionControl, BackendSelector, BackendChoice

__all__ = ('CallRouter',)


# Refusals of an agent or a backend server that is leaving. Sending elsewhere
# adds no load, so a planned stop fails no request for want of a send budget.
_LEFT = frozenset((ErrorKind.STOPPING, ErrorKind.NO_BACKEND))
# How operators' paths begin, as the operators' port takes them.
_OPERATORS_PATHS = 'v1/'


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
        self.admission = AdmissionControl(clock, configuration)
        self._calls = PendingCalls(clock, callers, metrics, rng)
        self.sender = CallSender(
            clock,
            fleet,
            self._calls,
            links,
            BackendSelector(zone, rng),
            metrics,
        )
        self._doubts = Doubts(clock, fleet, self._calls, links, self.sender)
        self.liveness = Liveness(
            clock,
            fleet,
            self._calls,
            links,
            metrics,
        )
        self._inquiries = Inquiries(clock, fleet, links)
        self._claims = claims
        self._keyed = KeyedCalls(
            self._calls,
            claims,
            self._doubts,
            self.sender,
        )
        self._hedges = Hedges(
            clock,
            self._calls,
            self.selector,
            links,
            self.sender,
            metrics,
        )
        self._is_stopping = False

    @property
    def selector(self) -> BackendSelector:
        """What chooses the backend servers."""
        return self.sender.selector

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
        admitted = self._admitted_policy(call.service_name)
        if isinstance(admitted, Err):
            self._calls.refuse(call, admitted.err_value)
            return
        pending = self._new_call(call, admitted.ok_value)
        self._calls.add(pending)
        choice = self.sender.choose(pending)
        if choice is None:
            self._calls.fail(
                pending,
                Failure(ErrorKind.NO_BACKEND, call.service_name),
            )
            return
        self._admit(pending, choice)

    def inquire(self, inquiry: Inquiry, done: AnswerCallback) -> None:
        """Ask what became of a request; see ``Inquiries``."""
        request_id = inquiry.request_id
        is_own = self._calls.get(request_id) is not None
        if is_own or self._calls.waiting_for(request_id):
            done(RUNNING)
        else:
            self._inquiries.ask(inquiry, done)

    def forget(self, request_id: str) -> None:
        """The caller has gone: drop the call if it has not started."""
        pending = self._calls.get(request_id)
        if pending is not None:
            self._cancel(pending)
            self._calls.discard(request_id)

    def on_response(self, record: AgentRecord, response: CallResponse) -> None:
        """Take an agent's answer for a call or an outcome query."""
        self.selector.on_response(record, response, self._clock.now())
        request_id = response.request_id
        outcome = CallOutcome.from_wire(response.outcome)
        is_awaited = False
        is_final = outcome not in {CallOutcome.RUNNING, CallOutcome.UNSEEN}
        waiting = self._calls.waiting_for(request_id) if is_final else ()
        for pending in waiting:
            attempt = pending.attempt_on(record, request_id)
            if attempt is not None:
                is_awaited = True
                self._settle(pending, attempt, response, outcome)
        is_inquired = self._inquiries.on_response(record, response)
        if not (is_awaited or is_inquired):
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
        self.liveness.tick()
        self._doubts.tick()
        self._inquiries.tick()
        self._claims.tick()
        self._hedges.tick()

    @property
    def is_busy(self) -> bool:
        """Whether anything waits that ``tick`` must look after."""
        return bool(
            self._calls or self._inquiries.is_busy or self._claims.is_busy,
        )

    def _admitted_policy(
        self,
        service_name: str,
    ) -> Result[ServicePolicy, Failure]:
        """Return a service's policy, or why its calls are refused now."""
        if self._is_stopping:
            return Err(Failure(ErrorKind.STOPPING, 'entry is stopping'))
        if not self._configuration.is_known:
            # A fresh entry in a store outage must not take a service for
            # unknown: the caller would not come back.
            detail = 'no configuration yet'
            return Err(Failure(ErrorKind.STORE_UNAVAILABLE, detail))
        policy = self._configuration.policy(service_name)
        if policy is None or policy.kind != 'service':
            return Err(_unknown(service_name))
        over_quota = self.admission.quota_failure(policy)
        return Ok(policy) if over_quota is None else Err(over_quota)

    def _new_call(self, call: Call, policy: ServicePolicy) -> PendingCall:
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
        return PendingCall(call, request, policy.idempotent, now)

    def _admit(self, pending: PendingCall, choice: BackendChoice) -> None:
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
        self.sender.dispatch(pending, choice)

    def _settle(
        self,
        pending: PendingCall,
        attempt: Attempt,
        response: CallResponse,
        outcome: CallOutcome,
    ) -> None:
        if outcome is CallOutcome.ANSWERED:
            self.sender.succeeded()
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
        if not self._repeat(pending, failure, not_run):
            self._calls.fail(pending, failure)

    def _repeat(
        self,
        pending: PendingCall,
        failure: Failure,
        not_run: bool,
    ) -> bool:
        """Send again what may be; False if nothing was sent."""
        if not_run and failure.kind in _LEFT:
            return self.sender.rescue(pending)
        return (not_run or pending.idempotent) and self.sender.resend(pending)

    def _cancel(
        self,
        pending: PendingCall,
        winner: Attempt | None = None,
    ) -> None:
        for attempt in pending.attempts:
            # What it follows is another caller's, who may still wait.
            is_own = attempt.request_id == pending.call.request_id
            if is_own and attempt is not winner:
                self._links.send(
                    attempt.agent_id,
                    CancelCall(attempt.request_id),
                )


def _unknown(service_name: str) -> Failure:
    """Return the refusal, and what was probably meant."""
    detail = service_name
    if service_name.startswith(_OPERATORS_PATHS):
        detail = (
            f"{service_name}: this is the callers' port; operators' paths are "
            + "at the entry's other port, its operator_address"
        )
    return Failure(ErrorKind.UNKNOWN_SERVICE, detail)
