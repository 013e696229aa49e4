"""The calls of one entry that wait for their final answer.

Guard: "not run" is said only when nothing was sent, or when each agent that
was sent the call has said so. An idempotent call that failed at one agent and
was refused by the next would otherwise be told the second agent's "not run".
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

# Times to come back are spread over half to one and a half of the table's.
_SPREAD_LOW = 0.5
_SPREAD_HIGH = 1.5


class PendingCalls:
    """Pending calls by request id; gives each its one final answer."""

    def __init__(
        self,
        clock: Clock,
        callers: Callers,
        metrics: Metrics,
        rng: random.Random,
    ) -> None:
        """Start empty; ``rng`` spreads the times to come back."""
        self._clock = clock
        self._callers = callers
        self._metrics = metrics
        self._rng = rng
        self._invariants = Invariants(metrics)
        self._call_by_id: dict[str, PendingCall] = {}
        self._calls_by_agents_id: dict[str, list[PendingCall]] = {}
        # Called with a call that failed and is certain not to have run.
        self.on_not_run: Callable[[PendingCall], None] = _ignore

    def __len__(self) -> int:
        """Return how many calls have not had their answer."""
        return len(self._call_by_id)

    def __iter__(self) -> Iterator[PendingCall]:
        """Iterate over a copy, so that calls may finish meanwhile."""
        return iter(tuple(self._call_by_id.values()))

    def __contains__(self, pending: PendingCall) -> bool:
        """Tell whether this call still waits."""
        return self.get(pending.call.request_id) is pending

    def add(self, pending: PendingCall) -> None:
        """Take in a call."""
        self._call_by_id[pending.call.request_id] = pending

    def get(self, request_id: str) -> PendingCall | None:
        """Return a call that waits."""
        return self._call_by_id.get(request_id)

    def waiting_for(self, request_id: str) -> tuple[PendingCall, ...]:
        """Return the calls with an attempt under this id at an agent."""
        return tuple(self._calls_by_agents_id.get(request_id, ()))

    def open_attempt(
        self,
        pending: PendingCall,
        backend: BackendView,
    ) -> Attempt:
        """Count a sending to a backend server."""
        attempt = Attempt.from_backend(
            pending.call.request_id,
            backend,
            self._clock.now(),
        )
        self.add_attempt(pending, attempt)
        pending.sent_count += 1
        pending.tried.append(attempt.incarnation)
        backend.in_flight += 1
        return attempt

    def add_attempt(self, pending: PendingCall, attempt: Attempt) -> None:
        """Expect an agent's response to this attempt."""
        self._invariants.check(
            pending.idempotent or not pending.attempts,
            'a non-idempotent request is with one agent at a time',
            pending.call.request_id,
        )
        pending.attempts.append(attempt)
        pending.last_attempt = attempt
        waiting = self._calls_by_agents_id.setdefault(attempt.request_id, [])
        waiting.append(pending)

    def close_attempt(
        self,
        pending: PendingCall,
        attempt: Attempt,
        may_have_run: bool,
    ) -> None:
        """Nothing more is expected from this attempt."""
        pending.may_have_run = pending.may_have_run or may_have_run
        pending.attempts.remove(attempt)
        waiting = self._calls_by_agents_id[attempt.request_id]
        waiting.remove(pending)
        if not waiting:
            self._calls_by_agents_id.pop(attempt.request_id)
        if attempt.backend is not None:
            attempt.backend.in_flight -= 1

    def discard(self, request_id: str) -> PendingCall | None:
        """Forget a call whose caller has gone."""
        pending = self._call_by_id.pop(request_id, None)
        if pending is not None:
            self._release(pending)
        return pending

    def finish(self, pending: PendingCall, answer: Answer) -> None:
        """Give the final answer to the caller."""
        request_id = pending.call.request_id
        self._release(pending)
        was_pending = self._call_by_id.pop(request_id, None) is pending
        if not self._invariants.check(
            was_pending,
            'one final answer per request',
            request_id,
        ):
            return
        took = self._clock.now() - pending.started_at
        self._metrics.observe('request_latency', took)
        self._report(pending.call, answer, took)
        self._callers.answer(request_id, answer)

    def fail(self, pending: PendingCall, failure: Failure) -> None:
        """Give up a call; its caller is told at once when to come back."""
        is_certain = not (pending.may_have_run or pending.attempts)
        if failure.answer.run_state is RunState.NOT_RUN and not is_certain:
            failure = Failure(
                ErrorKind.OUTCOME_UNKNOWN,
                f'{failure.kind.value} after an attempt that may have run',
                failure.retry_after_ms,
            )
        answer = self._failed(failure)
        last = pending.last_attempt
        if last is not None and failure.answer.run_state is RunState.UNKNOWN:
            answer = replace(
                answer,
                ask_agent=last.agent_id,
                ask_id=last.request_id,
                ask_is_final=pending.is_only_at(last),
            )
        self.finish(pending, answer)
        if is_certain:
            self.on_not_run(pending)

    def refuse(self, call: Call, failure: Failure) -> None:
        """Answer a call that was never taken in."""
        log_event(
            Event.REQUEST_REFUSED,
            request=call.request_id,
            service=call.service_name,
            why=failure.kind.value,
        )
        self._metrics.count(
            f'requests_total{{error="{failure.kind.value}"}}',
        )
        self._callers.answer(call.request_id, self._failed(failure))

    def _failed(self, failure: Failure) -> Answer:
        row = failure.answer
        if row.retry_after_ms is None:
            return Answer(row.status, failure=failure)
        # Callers that failed together would otherwise return together.
        factor = self._rng.uniform(_SPREAD_LOW, _SPREAD_HIGH)
        spread = Failure(
            failure.kind,
            failure.detail,
            int(row.retry_after_ms * factor),
        )
        return Answer(row.status, failure=spread)

    def _report(self, call: Call, answer: Answer, took: float) -> None:
        kind = answer.failure.kind.value if answer.failure else 'none'
        self._metrics.count(f'requests_total{{error="{kind}"}}')
        log_event(
            Event.REQUEST_FAILED if answer.failure else Event.REQUEST_ANSWERED,
            request=call.request_id,
            service=call.service_name,
            status=answer.status,
            error=kind,
            ms=f'{took:.1f}',
        )

    def _release(self, pending: PendingCall) -> None:
        for attempt in tuple(pending.attempts):
            self.close_attempt(pending, attempt, may_have_run=True)


def _ignore(pending: PendingCall) -> None:
    """Do nothing: no claims are kept."""
