"""The calls of one entry that wait for their final answer.

A call is reported as not run only if nothing was sent, or if each agent that
received it has reported so. Otherwise an idempotent call that failed at one
agent and was refused by the next would be reported as not run.
"""

import random
from dataclasses import replace
from typing import Callable, Iterator

from hyssopring.clock import Clock
from hyssopring.entry.calls import Answer, Attempt, Call, Callers, PendingCall
from hyssopring.errors import ErrorKind, Failure, RunState
from hyssopring.invariants import Invariants
from hyssopring.logs import Event, log_event
from hyssopring.membership import BackendView
from hyssopring.metrics import Metrics

__all__ = ('PendingCalls',)

# Retry delays are multiplied by a random factor in this range.
_SPREAD_LOW = 0.5
_SPREAD_HIGH = 1.5


class PendingCalls:
    """Pending calls by request id; delivers one final answer for each."""

    def __init__(
        self,
        clock: Clock,
        callers: Callers,
        metrics: Metrics,
        rng: random.Random,
    ) -> None:
        """Start empty; ``rng`` spreads the callers' retry delays."""
        self._clock = clock
        self._callers = callers
        self._metrics = metrics
        self._rng = rng
        self._invariants = Invariants(metrics)
        self._call_by_id: dict[str, PendingCall] = {}
        self._calls_by_attempt_id: dict[str, list[PendingCall]] = {}
        # Called with each failed call that certainly did not run.
        self.on_not_run: Callable[[PendingCall], None] = _ignore

    def __len__(self) -> int:
        """Return the number of calls without a final answer."""
        return len(self._call_by_id)

    def __iter__(self) -> Iterator[PendingCall]:
        """Iterate over a copy, so that calls may finish during iteration."""
        return iter(tuple(self._call_by_id.values()))

    def __contains__(self, pending: PendingCall) -> bool:
        """Return whether this call is pending."""
        return self.get(pending.call.request_id) is pending

    def add(self, pending: PendingCall) -> None:
        """Add a call."""
        self._call_by_id[pending.call.request_id] = pending

    def get(self, request_id: str) -> PendingCall | None:
        """Return the pending call with this id, or None."""
        return self._call_by_id.get(request_id)

    def calls_awaiting(self, request_id: str) -> tuple[PendingCall, ...]:
        """Return the calls with an open attempt under this request id."""
        return tuple(self._calls_by_attempt_id.get(request_id, ()))

    def open_attempt(
        self,
        pending: PendingCall,
        backend: BackendView,
    ) -> Attempt:
        """Record an attempt at a backend server, and add to its load."""
        attempt = Attempt.from_backend(
            pending.call.request_id,
            backend,
            self._clock.now(),
        )
        self.add_attempt(pending, attempt)
        pending.sent_count += 1
        pending.tried_incarnations.append(attempt.incarnation)
        backend.in_flight += 1
        return attempt

    def add_attempt(self, pending: PendingCall, attempt: Attempt) -> None:
        """Register an attempt that awaits an agent's response."""
        self._invariants.check(
            pending.idempotent or not pending.attempts,
            'a non-idempotent request is with one agent at a time',
            pending.call.request_id,
        )
        pending.attempts.append(attempt)
        pending.last_attempt = attempt
        awaiting = self._calls_by_attempt_id.setdefault(attempt.request_id, [])
        awaiting.append(pending)

    def close_attempt(
        self,
        pending: PendingCall,
        attempt: Attempt,
        may_have_run: bool,
    ) -> None:
        """Remove an attempt that awaits no response any more."""
        pending.may_have_run = pending.may_have_run or may_have_run
        pending.attempts.remove(attempt)
        awaiting = self._calls_by_attempt_id[attempt.request_id]
        awaiting.remove(pending)
        if not awaiting:
            self._calls_by_attempt_id.pop(attempt.request_id)
        if attempt.backend is not None:
            attempt.backend.in_flight -= 1

    def discard(self, request_id: str) -> PendingCall | None:
        """Remove a call whose caller disconnected, and return it."""
        pending = self._call_by_id.pop(request_id, None)
        if pending is not None:
            self._release(pending)
        return pending

    def finish(self, pending: PendingCall, answer: Answer) -> None:
        """Deliver the final answer to the caller."""
        request_id = pending.call.request_id
        self._release(pending)
        was_pending = self._call_by_id.pop(request_id, None) is pending
        if not self._invariants.check(
            was_pending,
            'one final answer per request',
            request_id,
        ):
            return
        took_ms = self._clock.now() - pending.started_at
        self._metrics.observe('request_latency', took_ms)
        self._log_answer(pending.call, answer, took_ms)
        self._callers.answer(request_id, answer)

    def fail(self, pending: PendingCall, failure: Failure) -> None:
        """Fail a call; the answer says when the caller should retry."""
        is_certain = not (pending.may_have_run or pending.attempts)
        if failure.answer.run_state is RunState.NOT_RUN and not is_certain:
            failure = Failure(
                ErrorKind.OUTCOME_UNKNOWN,
                f'{failure.kind.value} after an attempt that may have run',
                failure.retry_after_ms,
            )
        answer = self._build_failure_answer(failure)
        last_attempt = pending.last_attempt
        if (
            last_attempt is not None
            and failure.answer.run_state is RunState.UNKNOWN
        ):
            answer = replace(
                answer,
                outcome_agent_id=last_attempt.agent_id,
                outcome_request_id=last_attempt.request_id,
                is_outcome_final=pending.is_only_at(last_attempt),
            )
        self.finish(pending, answer)
        if is_certain:
            self.on_not_run(pending)

    def refuse(self, call: Call, failure: Failure) -> None:
        """Answer a call that was refused before it was added."""
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
            call.request_id, self._build_failure_answer(failure)
        )

    def _build_failure_answer(self, failure: Failure) -> Answer:
        row = failure.answer
        if row.retry_after_ms is None:
            return Answer(row.status, failure=failure)
        # Callers that failed together would otherwise retry together.
        spread_factor = self._rng.uniform(_SPREAD_LOW, _SPREAD_HIGH)
        spread = Failure(
            failure.kind,
            failure.detail,
            int(row.retry_after_ms * spread_factor),
        )
        return Answer(row.status, failure=spread)

    def _log_answer(self, call: Call, answer: Answer, took_ms: float) -> None:
        kind = answer.failure.kind.value if answer.failure else 'none'
        self._metrics.count(f'requests_total{{error="{kind}"}}')
        log_event(
            Event.REQUEST_FAILED if answer.failure else Event.REQUEST_ANSWERED,
            request=call.request_id,
            service=call.service_name,
            status=answer.status,
            error=kind,
            ms=f'{took_ms:.1f}',
        )

    def _release(self, pending: PendingCall) -> None:
        for attempt in tuple(pending.attempts):
            self.close_attempt(pending, attempt, may_have_run=True)


def _ignore(pending: PendingCall) -> None:
    """Do nothing; the default without claims."""
