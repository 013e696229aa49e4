"""Routes each caller's request to a backend server and returns the response.

* A pending call is looked up by its request id, and a response is accepted
  only from the agent and the connection that the call was sent on. A late or
  misdirected response therefore reaches no other caller.
* The outcome of a call whose connection broke is unconfirmed, as it may have
  run; see ``unconfirmed_calls``.
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
from hyssopring.entry.unconfirmed_calls import UnconfirmedCalls
from hyssopring.entry.hedges import Hedges
from hyssopring.entry.inquiries import (
    RUNNING,
    AnswerCallback,
    Inquiries,
    Inquiry,
)
from hyssopring.entry.keyed_calls import KeyedCalls
from hyssopring.entry.liveness import Liveness
from hyssopring.entry.pending_calls import PendingCalls
from hyssopring.entry.call_sender import CallSender
from hyssopring.errors import ErrorKind, Failure
from hyssopring.logs import Event, log_event
from hyssopring.membership import AgentRecord, Fleet
from hyssopring.metrics import Metrics
from hyssopring.outcomes import CallOutcome
from hyssopring.protocol.messages import CallRequest, CallResponse, CancelCall
from hyssopring.routing import AdmissionControl, BackendSelector, BackendChoice

__all__ = ('CallRouter',)


# Refusals by an agent or a backend server that is shutting down. A retry
# elsewhere adds no load, so it needs no retry budget: a planned stop must not
# fail requests because the budget is empty.
_LEAVING_KINDS = frozenset((ErrorKind.STOPPING, ErrorKind.NO_BACKEND))
# Prefix of the paths that the operators' port serves.
_OPERATOR_PATH_PREFIX = 'v1/'


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
        """Set up routing for one entry.

        Args:
            clock: The clock for deadlines.
            zone: This entry's zone, whose backend servers are preferred.
            fleet: The connected agents and their backend servers.
            configuration: The services and their policies.
            links: Sends messages to connected agents.
            callers: Sends responses to callers.
            metrics: Receives counters and latencies.
            rng: Randomness of backend selection, seeded by the caller.
            claims: The claims of idempotency keys.
        """
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
        self._unconfirmed = UnconfirmedCalls(
            clock, fleet, self._calls, links, self.sender
        )
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
            self._unconfirmed,
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
        """The selector of backend servers."""
        return self.sender.selector

    @property
    def pending(self) -> int:
        """Number of calls without a final answer."""
        return len(self._calls)

    @property
    def next_deadline(self) -> float | None:
        """Earliest deadline of the pending calls, in clock milliseconds."""
        return min(
            (pending.call.deadline for pending in self._calls),
            default=None,
        )

    def stop(self) -> None:
        """Refuse new calls; calls in flight finish."""
        self._is_stopping = True

    def submit(self, call: Call) -> None:
        """Route a caller's request; ``callers`` receives its answer."""
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
        """Determine the outcome of a request; see ``Inquiries``."""
        request_id = inquiry.request_id
        is_own = self._calls.get(request_id) is not None
        if is_own or self._calls.calls_awaiting(request_id):
            done(RUNNING)
        else:
            self._inquiries.ask(inquiry, done)

    def cancel(self, request_id: str) -> None:
        """Cancel a call whose caller disconnected, unless it has started."""
        pending = self._calls.get(request_id)
        if pending is not None:
            self._cancel_attempts(pending)
            self._calls.discard(request_id)

    def on_response(self, record: AgentRecord, response: CallResponse) -> None:
        """Handle an agent's response to a call or an outcome query."""
        self.selector.on_response(record, response, self._clock.now())
        request_id = response.request_id
        outcome = CallOutcome.from_wire(response.outcome)
        is_awaited = False
        is_final = outcome not in {CallOutcome.RUNNING, CallOutcome.UNSEEN}
        waiting = self._calls.calls_awaiting(request_id) if is_final else ()
        for pending in waiting:
            attempt = pending.attempt_on(record, request_id)
            if attempt is not None:
                is_awaited = True
                self._handle_response(pending, attempt, response, outcome)
        is_inquired = self._inquiries.on_response(record, response)
        if not (is_awaited or is_inquired):
            log_event(
                Event.LATE_ANSWER_DROPPED,
                request=request_id,
                agent=record.agent_id,
            )
            self._metrics.count('late_answers_total')

    def on_connect(self, record: AgentRecord) -> None:
        """Query a connected agent about calls with an unconfirmed outcome."""
        self._unconfirmed.on_connect(record)

    def on_disconnect(self, record: AgentRecord) -> None:
        """Drop an agent from routing; fail over its calls or mark them lost."""
        self.selector.remove_agent(record)
        self._unconfirmed.on_disconnect(record)

    def tick(self) -> None:
        """Fail calls past their deadline; update all pending work."""
        now_ms = self._clock.now()
        for pending in self._calls:
            if pending.call.deadline <= now_ms:
                self._cancel_attempts(pending)
                self._calls.fail(
                    pending,
                    Failure(ErrorKind.DEADLINE, 'the deadline has passed'),
                )
        self.liveness.tick()
        self._unconfirmed.tick()
        self._inquiries.tick()
        self._claims.tick()
        self._hedges.tick()

    @property
    def is_busy(self) -> bool:
        """Whether ``tick`` has calls, inquiries or claims to process."""
        return bool(
            self._calls or self._inquiries.is_busy or self._claims.is_busy,
        )

    def _admitted_policy(
        self,
        service_name: str,
    ) -> Result[ServicePolicy, Failure]:
        """Return a service's policy, or why its calls are refused."""
        if self._is_stopping:
            return Err(Failure(ErrorKind.STOPPING, 'entry is stopping'))
        if not self._configuration.is_known:
            # An entry that starts during a store outage knows no services.
            # Reporting an unknown service would keep the caller from retrying.
            detail = 'no configuration yet'
            return Err(Failure(ErrorKind.STORE_UNAVAILABLE, detail))
        policy = self._configuration.policy(service_name)
        if policy is None or policy.kind != 'service':
            return Err(_unknown_service(service_name))
        quota_failure = self.admission.quota_failure(policy)
        return Ok(policy) if quota_failure is None else Err(quota_failure)

    def _new_call(self, call: Call, policy: ServicePolicy) -> PendingCall:
        now_ms = self._clock.now()
        request = CallRequest(
            request_id=call.request_id,
            service_name=call.service_name,
            method=call.method,
            path=call.path,
            headers=call.headers,
            body=call.body,
            budget_ms=call.deadline - now_ms,
            urgency=policy.urgency,
            idempotent=policy.idempotent,
        )
        return PendingCall(call, request, policy.idempotent, now_ms)

    def _admit(self, pending: PendingCall, choice: BackendChoice) -> None:
        request = pending.request
        deadline_failure = self.admission.deadline_failure(
            choice,
            request.urgency,
            request.budget_ms,
        )
        if deadline_failure is not None:
            self._calls.fail(pending, deadline_failure)
            return
        if pending.call.key and not pending.idempotent:
            self._keyed.claim(pending, choice)
            return
        self.sender.dispatch(pending, choice)

    def _handle_response(
        self,
        pending: PendingCall,
        attempt: Attempt,
        response: CallResponse,
        outcome: CallOutcome,
    ) -> None:
        if outcome is CallOutcome.ANSWERED:
            self.sender.on_success()
            self._calls.finish(
                pending,
                Answer(response.status, response.headers, response.body),
            )
            return
        is_not_run = outcome is CallOutcome.NOT_RUN
        self._calls.close_attempt(pending, attempt, may_have_run=not is_not_run)
        if pending.attempts:
            # Another attempt of an idempotent call may still succeed.
            return
        failure = Failure(
            ErrorKind.from_wire(response.error),
            response.detail,
            response.retry_after_ms or None,
        )
        if is_not_run and pending.claim_row is not None:
            self._keyed.move(pending, failure)
            return
        if not self._try_again(pending, failure, is_not_run):
            self._calls.fail(pending, failure)

    def _try_again(
        self,
        pending: PendingCall,
        failure: Failure,
        is_not_run: bool,
    ) -> bool:
        """Send the call again where allowed; False if nothing was sent."""
        if is_not_run and failure.kind in _LEAVING_KINDS:
            return self.sender.fail_over(pending)
        return (is_not_run or pending.idempotent) and self.sender.retry(pending)

    def _cancel_attempts(
        self,
        pending: PendingCall,
        winner: Attempt | None = None,
    ) -> None:
        for attempt in pending.attempts:
            # An attempt that follows another call has the id of that call,
            # whose caller may still wait.
            is_own = attempt.request_id == pending.call.request_id
            if is_own and attempt is not winner:
                self._links.send(
                    attempt.agent_id,
                    CancelCall(attempt.request_id),
                )


def _unknown_service(service_name: str) -> Failure:
    """Return the failure, with a hint for an operator's path."""
    detail = service_name
    if service_name.startswith(_OPERATOR_PATH_PREFIX):
        detail = (
            f"{service_name}: this is the callers' port; operators' paths are "
            + "at the entry's other port, its operator_address"
        )
    return Failure(ErrorKind.UNKNOWN_SERVICE, detail)
