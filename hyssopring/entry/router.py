"""Carries each caller's request to one backend server and its answer back.

Guards:
* A pending call is found by its request id, and its answer is taken only from
  the agent and connection that it was sent on, so a late or foreign answer
  reaches no other caller.
* A call whose connection broke is in doubt: it may have run. An idempotent
  one is sent elsewhere. For any other one the agent is asked, and only its
  word makes "not run" certain; if the agent's memory is gone the caller is
  told "unknown".
"""

import random

from hyssopring.clock import Clock
from hyssopring.configuration import ConfigurationState
from hyssopring.entry.calls import (
    Answer,
    Call,
    Callers,
    CallPhase,
    Links,
    PendingCall,
)
from hyssopring.errors import ErrorKind, Failure
from hyssopring.invariants import Invariants
from hyssopring.logs import Event, log_event
from hyssopring.membership import AgentRecord, BackendView, Fleet
from hyssopring.metrics import Metrics
from hyssopring.outcomes import CallOutcome
from hyssopring.protocol.messages import (
    CallRequest,
    CallResponse,
    CancelCall,
    OutcomeQuery,
)
from hyssopring.routing import choose_backend

__all__ = ('CallRouter',)

_MAX_ATTEMPTS = 3


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
    ) -> None:
        """Take the collaborators; ``rng`` is seeded by the caller."""
        self._clock = clock
        self._zone = zone
        self._fleet = fleet
        self._configuration = configuration
        self._links = links
        self._callers = callers
        self._metrics = metrics
        self._rng = rng
        self._invariants = Invariants(metrics)
        self._pending_by_id: dict[str, PendingCall] = {}
        self._is_stopping = False

    @property
    def pending(self) -> int:
        """How many calls have not had their answer."""
        return len(self._pending_by_id)

    @property
    def next_deadline(self) -> float | None:
        """When the earliest pending call's time is up."""
        return min(
            (entry.call.deadline for entry in self._pending_by_id.values()),
            default=None,
        )

    def stop(self) -> None:
        """Refuse new calls; those in flight finish."""
        self._is_stopping = True

    def submit(self, call: Call) -> None:
        """Take a caller's request; its answer comes through ``callers``."""
        policy = self._configuration.policy(call.service_name)
        if self._is_stopping:
            self._refuse(call, Failure(ErrorKind.STOPPING, 'entry is stopping'))
            return
        if policy is None or policy.kind != 'service':
            self._refuse(
                call,
                Failure(ErrorKind.UNKNOWN_SERVICE, call.service_name),
            )
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
        self._pending_by_id[call.request_id] = pending
        self._send(pending)

    def forget(self, request_id: str) -> None:
        """The caller has gone: drop the call if it has not started."""
        pending = self._pending_by_id.pop(request_id, None)
        if pending is not None:
            self._release(pending)
            self._links.send(pending.agent_id, CancelCall(request_id))

    def on_response(self, record: AgentRecord, response: CallResponse) -> None:
        """Take an agent's answer for a call or an outcome query."""
        pending = self._pending_by_id.get(response.request_id)
        if pending is None or not self._is_own(pending, record):
            log_event(
                Event.LATE_ANSWER_DROPPED,
                request=response.request_id,
                agent=record.agent_id,
            )
            self._metrics.count('late_answers_total')
            return
        self._settle(pending, response)

    def on_connect(self, record: AgentRecord) -> None:
        """Ask an agent that is back about the calls that are in doubt."""
        for pending in list(self._pending_by_id.values()):
            in_doubt = pending.phase is CallPhase.ASKING
            if in_doubt and pending.agent_id == record.agent_id:
                self._ask(pending, record)

    def on_disconnect(self, record: AgentRecord) -> None:
        """Settle or put in doubt the calls that a lost connection carried."""
        for pending in list(self._pending_by_id.values()):
            if self._is_own(pending, record):
                self._lost(pending)

    def tick(self) -> None:
        """Give up the calls whose deadline has passed."""
        now = self._clock.now()
        for pending in list(self._pending_by_id.values()):
            if pending.call.deadline <= now:
                self._expire(pending)

    def _is_own(self, pending: PendingCall, record: AgentRecord) -> bool:
        return (
            pending.agent_id == record.agent_id
            and pending.generation == record.generation
        )

    def _send(self, pending: PendingCall) -> None:
        candidates = [
            view
            for view in self._fleet.backends(pending.call.service_name)
            if view.agent.agent_id not in pending.tried
        ]
        now = self._clock.now()
        choice = choose_backend(candidates, self._zone, now, self._rng)
        if choice is None:
            self._fail(
                pending,
                Failure(ErrorKind.NO_BACKEND, pending.call.service_name),
            )
            return
        self._dispatch(pending, choice.backend, choice.why)

    def _dispatch(
        self,
        pending: PendingCall,
        backend: BackendView,
        why: str,
    ) -> None:
        record = backend.agent
        pending.phase = CallPhase.SENT
        pending.backend = backend
        pending.agent_id = record.agent_id
        pending.incarnation = record.incarnation
        pending.generation = record.generation
        pending.attempts += 1
        pending.tried.append(record.agent_id)
        backend.in_flight += 1
        log_event(
            Event.REQUEST_ROUTED,
            request=pending.call.request_id,
            service=pending.call.service_name,
            agent=record.agent_id,
            attempt=pending.attempts,
            why=why,
        )
        self._links.send(record.agent_id, pending.request)

    def _settle(self, pending: PendingCall, response: CallResponse) -> None:
        outcome = CallOutcome(response.outcome)
        if outcome is CallOutcome.ANSWERED:
            self._finish(
                pending,
                Answer(response.status, response.headers, response.body),
            )
            return
        failure = Failure(
            ErrorKind(response.error),
            response.detail,
            response.retry_after_ms or None,
        )
        may_repeat = outcome is CallOutcome.NOT_RUN or pending.idempotent
        if may_repeat and pending.attempts < _MAX_ATTEMPTS:
            self._retry(pending, failure)
            return
        self._fail(pending, failure)

    def _retry(self, pending: PendingCall, failure: Failure) -> None:
        routable = [
            view
            for view in self._fleet.backends(pending.call.service_name)
            if view.agent.agent_id not in pending.tried and view.is_routable
        ]
        if not routable:
            self._fail(pending, failure)
            return
        self._release(pending)
        log_event(
            Event.REQUEST_RETRIED,
            request=pending.call.request_id,
            after=failure.kind.value,
            detail=failure.detail,
        )
        self._metrics.count('retries_total')
        self._send(pending)

    def _lost(self, pending: PendingCall) -> None:
        failure = Failure(
            ErrorKind.OUTCOME_UNKNOWN,
            f'connection to {pending.agent_id} was lost',
        )
        if pending.idempotent:
            self._retry(pending, failure)
            return
        pending.phase = CallPhase.ASKING
        pending.generation = 0

    def _ask(self, pending: PendingCall, record: AgentRecord) -> None:
        if record.incarnation != pending.incarnation:
            # The agent was restarted and its memory of the call is gone:
            # nobody can say whether it ran.
            self._fail(
                pending,
                Failure(
                    ErrorKind.OUTCOME_UNKNOWN,
                    f'{record.agent_id} was restarted',
                ),
            )
            return
        pending.generation = record.generation
        log_event(
            Event.REQUEST_OUTCOME_ASKED,
            request=pending.call.request_id,
            agent=record.agent_id,
        )
        self._links.send(
            record.agent_id,
            OutcomeQuery(pending.call.request_id),
        )

    def _expire(self, pending: PendingCall) -> None:
        if pending.phase is CallPhase.SENT:
            self._links.send(
                pending.agent_id,
                CancelCall(pending.call.request_id),
            )
        self._fail(
            pending,
            Failure(ErrorKind.OUTCOME_UNKNOWN, 'the deadline has passed'),
        )

    def _fail(self, pending: PendingCall, failure: Failure) -> None:
        self._finish(pending, Answer(failure.answer.status, failure=failure))

    def _finish(self, pending: PendingCall, answer: Answer) -> None:
        self._release(pending)
        request_id = pending.call.request_id
        was_pending = self._pending_by_id.pop(request_id, None) is pending
        if not self._invariants.check(
            was_pending,
            'one final answer per request',
            request_id,
        ):
            return
        took = self._clock.now() - pending.started_at
        self._metrics.observe('request_latency', took)
        self._report(request_id, pending.call.service_name, answer, took)
        self._callers.answer(request_id, answer)

    def _report(
        self,
        request_id: str,
        service_name: str,
        answer: Answer,
        took: float,
    ) -> None:
        kind = answer.failure.kind.value if answer.failure else 'none'
        self._metrics.count(f'requests_total{{error="{kind}"}}')
        log_event(
            Event.REQUEST_ANSWERED,
            request=request_id,
            service=service_name,
            status=answer.status,
            error=kind,
            ms=f'{took:.1f}',
        )

    def _refuse(self, call: Call, failure: Failure) -> None:
        log_event(
            Event.REQUEST_REFUSED,
            request=call.request_id,
            service=call.service_name,
            why=failure.kind.value,
        )
        self._metrics.count(
            f'requests_total{{error="{failure.kind.value}"}}',
        )
        self._callers.answer(
            call.request_id,
            Answer(failure.answer.status, failure=failure),
        )

    def _release(self, pending: PendingCall) -> None:
        if pending.backend is not None:
            pending.backend.in_flight -= 1
            pending.backend = None
