"""Resolves calls whose connection broke or went silent.

Such a call may have run, so its outcome is unconfirmed. An idempotent call is
sent elsewhere. For any other call the same agent incarnation is queried, and
only its response confirms that the call did not run. If that incarnation is
lost, as the agent restarted or did not reconnect in time, the call fails at
once with an unknown outcome.
"""

from typing import Protocol

from hyssopring.clock import Clock
from hyssopring.entry.calls import Attempt, AttemptPhase, Links, PendingCall
from hyssopring.entry.claims import Claim
from hyssopring.entry.pending_calls import PendingCalls
from hyssopring.errors import ErrorKind, Failure
from hyssopring.logs import Event, log_event
from hyssopring.membership import AgentRecord, Fleet
from hyssopring.protocol.messages import OutcomeQuery

__all__ = ('UnconfirmedCalls', 'Resender')

# A running agent reconnects within its longest redial delay and its connect
# timeout, 3 s and 2 s.
AGENT_RETURN_MS = 5000.0
_DISCONNECT_MEMORY_MS = 60_000.0


class Resender(Protocol):
    """Sends a call again; ``CallSender``."""

    def fail_over(self, pending: PendingCall) -> bool:
        """Send to another agent; False if there is none or no time left."""

    def resend(self, pending: PendingCall, attempt: Attempt) -> None:
        """Resend to the agent incarnation that may have the call already."""


class UnconfirmedCalls:
    """Resolves calls whose outcome is unconfirmed."""

    def __init__(
        self,
        clock: Clock,
        fleet: Fleet,
        calls: PendingCalls,
        links: Links,
        resender: Resender,
    ) -> None:
        """Start without disconnected agents."""
        self._clock = clock
        self._calls = calls
        self._links = links
        self._resender = resender
        self._fleet = fleet
        self._started_at = clock.now()
        self._disconnected_at_by_agent: dict[str, float] = {}

    def follow(self, pending: PendingCall, claim: Claim) -> None:
        """Await the outcome of the call that has claimed this call's key."""
        agent_id = claim.agent_id
        now_ms = self._clock.now()
        attempt = Attempt(
            claim.request_id,
            None,
            agent_id,
            claim.incarnation,
            claim.after,
            generation=0,
            sent_at=now_ms,
            # The wait for a reconnect starts when the agent disconnected, or
            # when this entry started if it has not connected since.
            changed_at=self._disconnected_at_by_agent.get(
                agent_id, self._started_at
            ),
            phase=AttemptPhase.LOST,
        )
        self._calls.add_attempt(pending, attempt)
        record = self._fleet.agent(agent_id)
        if record is None:
            self._give_up_if_overdue(pending, attempt, now_ms)
        else:
            self._query_outcome(pending, attempt, record)

    def on_disconnect(self, record: AgentRecord) -> None:
        """Fail over calls of a closed connection, or mark them as lost."""
        now_ms = self._clock.now()
        self._disconnected_at_by_agent[record.agent_id] = now_ms
        for pending in self._calls:
            for attempt in tuple(pending.attempts):
                if attempt.is_from(record):
                    attempt.change(AttemptPhase.LOST, 0, now_ms)
                    self._fail_over_from(pending, attempt)

    def on_connect(self, record: AgentRecord) -> None:
        """Query a reconnected agent for its unconfirmed calls."""
        self._disconnected_at_by_agent.pop(record.agent_id, None)
        for pending in self._calls:
            for attempt in tuple(pending.attempts):
                is_lost = attempt.phase is AttemptPhase.LOST
                if is_lost and attempt.agent_id == record.agent_id:
                    self._query_outcome(pending, attempt, record)

    def tick(self) -> None:
        """Fail over calls of silent agents; give up those of lost agents."""
        now_ms = self._clock.now()
        for pending in self._calls:
            if self._is_unreachable(pending):
                # The earlier attempts stay open: the first response wins.
                self._fail_over(pending)
            for attempt in tuple(pending.attempts):
                if attempt.phase is AttemptPhase.LOST:
                    self._give_up_if_overdue(pending, attempt, now_ms)
        for agent_id, disconnected_at in tuple(
            self._disconnected_at_by_agent.items()
        ):
            if now_ms - disconnected_at > _DISCONNECT_MEMORY_MS:
                self._disconnected_at_by_agent.pop(agent_id)

    def _give_up_if_overdue(
        self,
        pending: PendingCall,
        attempt: Attempt,
        now_ms: float,
    ) -> None:
        if now_ms - attempt.changed_at > AGENT_RETURN_MS:
            self._give_up(pending, attempt, 'has stayed away')

    def _fail_over_from(
        self, pending: PendingCall, lost_attempt: Attempt
    ) -> None:
        if self._fail_over(pending):
            self._calls.close_attempt(pending, lost_attempt, may_have_run=True)

    def _is_unreachable(self, pending: PendingCall) -> bool:
        """Whether no agent that has the call is responsive."""
        return bool(pending.attempts) and not any(
            self._is_responsive(attempt) for attempt in pending.attempts
        )

    def _is_responsive(self, attempt: Attempt) -> bool:
        record = self._fleet.agent(attempt.agent_id)
        return (
            record is not None
            and attempt.is_from(record)
            and not record.is_suspect
        )

    def _fail_over(self, pending: PendingCall) -> bool:
        return pending.idempotent and self._resender.fail_over(pending)

    def _query_outcome(
        self,
        pending: PendingCall,
        attempt: Attempt,
        record: AgentRecord,
    ) -> None:
        if record.incarnation != attempt.incarnation:
            # The record of the call was lost: whether it ran is unknown.
            self._give_up(pending, attempt, 'was restarted')
            return
        attempt.change(
            AttemptPhase.ASKED,
            record.generation,
            self._clock.now(),
        )
        log_event(
            Event.REQUEST_OUTCOME_ASKED,
            request=pending.call.request_id,
            agent=record.agent_id,
        )
        if pending.idempotent:
            # The agent answers a repeated call from its record, or runs it.
            self._resender.resend(pending, attempt)
            return
        self._links.send(
            record.agent_id,
            OutcomeQuery(attempt.request_id, attempt.after),
        )

    def _give_up(
        self,
        pending: PendingCall,
        attempt: Attempt,
        why: str,
    ) -> None:
        self._calls.close_attempt(pending, attempt, may_have_run=True)
        if pending.attempts:
            return
        if pending.idempotent and self._resender.fail_over(pending):
            return
        self._calls.fail(
            pending,
            Failure(ErrorKind.OUTCOME_UNKNOWN, f'{attempt.agent_id} {why}'),
        )
