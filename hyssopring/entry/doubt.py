"""What becomes of calls whose connection broke or went silent.

Such a call may have run. An idempotent one is sent elsewhere. For any other
one the same run of the agent is asked, and only its response makes "not run"
certain. When it cannot be asked any more - it was restarted, or has stayed
away - the caller is told at once that the outcome is unknown.
"""

from typing import Protocol

from hyssopring.clock import Clock
from hyssopring.entry.calls import Attempt, AttemptPhase, Links, PendingCall
from hyssopring.entry.claims import Claim
from hyssopring.entry.pending import PendingCalls
from hyssopring.errors import ErrorKind, Failure
from hyssopring.logs import Event, log_event
from hyssopring.membership import AgentRecord, Fleet
from hyssopring.protocol.messages import OutcomeQuery

__all__ = ('Doubts', 'Resender')

# An agent that lives dials again within its longest redial delay and
# connect timeout, 3 s and 2 s.
RETURN_MS = 5000.0
_REMEMBERED_MS = 60_000.0


class Resender(Protocol):
    """Sends a call again; ``CallSender``."""

    def rescue(self, pending: PendingCall) -> bool:
        """Send to another agent; False if there is none or no time left."""

    def repeat(self, pending: PendingCall, attempt: Attempt) -> None:
        """Send again to the run of the agent that may already have it."""


class Doubts:
    """Settles calls whose connection is gone."""

    def __init__(
        self,
        clock: Clock,
        fleet: Fleet,
        calls: PendingCalls,
        links: Links,
        resender: Resender,
    ) -> None:
        """Take the collaborators."""
        self._clock = clock
        self._calls = calls
        self._links = links
        self._resender = resender
        self._fleet = fleet
        self._started_at = clock.now()
        self._left_at_by_agent: dict[str, float] = {}

    def follow(self, pending: PendingCall, claim: Claim) -> None:
        """Ask for the outcome of the call that has this call's key."""
        agent_id = claim.agent_id
        now = self._clock.now()
        attempt = Attempt(
            claim.request_id,
            None,
            agent_id,
            claim.incarnation,
            claim.after,
            generation=0,
            sent_at=now,
            # An agent that left long ago, or has not come since this entry
            # started, is not waited for again.
            changed_at=self._left_at_by_agent.get(agent_id, self._started_at),
            phase=AttemptPhase.LOST,
        )
        self._calls.add_attempt(pending, attempt)
        record = self._fleet.agent(agent_id)
        if record is None:
            self._expire(pending, attempt, now)
        else:
            self._returned(pending, attempt, record)

    def on_disconnect(self, record: AgentRecord) -> None:
        """Put the calls that a lost connection carried in doubt."""
        now = self._clock.now()
        self._left_at_by_agent[record.agent_id] = now
        for pending in self._calls:
            for attempt in tuple(pending.attempts):
                if attempt.is_from(record):
                    attempt.change(AttemptPhase.LOST, 0, now)
                    self._rescue_from(pending, attempt)

    def on_connect(self, record: AgentRecord) -> None:
        """Ask an agent that is back about the calls that are in doubt."""
        self._left_at_by_agent.pop(record.agent_id, None)
        for pending in self._calls:
            for attempt in tuple(pending.attempts):
                is_lost = attempt.phase is AttemptPhase.LOST
                if is_lost and attempt.agent_id == record.agent_id:
                    self._returned(pending, attempt, record)

    def tick(self) -> None:
        """Rescue calls from silence; give up those whose agent is gone."""
        now = self._clock.now()
        for pending in self._calls:
            if self._is_cut_off(pending):
                # Its own attempts stay open: the first answer counts.
                self._rescue(pending)
            for attempt in tuple(pending.attempts):
                if attempt.phase is AttemptPhase.LOST:
                    self._expire(pending, attempt, now)
        for agent_id, left_at in tuple(self._left_at_by_agent.items()):
            if now - left_at > _REMEMBERED_MS:
                self._left_at_by_agent.pop(agent_id)

    def _expire(
        self,
        pending: PendingCall,
        attempt: Attempt,
        now: float,
    ) -> None:
        if now - attempt.changed_at > RETURN_MS:
            self._hopeless(pending, attempt, 'has stayed away')

    def _rescue_from(self, pending: PendingCall, lost: Attempt) -> None:
        if self._rescue(pending):
            self._calls.close_attempt(pending, lost, may_have_run=True)

    def _is_cut_off(self, pending: PendingCall) -> bool:
        """Whether no agent that has the call can be heard."""
        return bool(pending.attempts) and not any(
            self._is_heard(attempt) for attempt in pending.attempts
        )

    def _is_heard(self, attempt: Attempt) -> bool:
        record = self._fleet.agent(attempt.agent_id)
        return (
            record is not None
            and attempt.is_from(record)
            and not record.is_suspect
        )

    def _rescue(self, pending: PendingCall) -> bool:
        return pending.idempotent and self._resender.rescue(pending)

    def _returned(
        self,
        pending: PendingCall,
        attempt: Attempt,
        record: AgentRecord,
    ) -> None:
        if record.incarnation != attempt.incarnation:
            # Its memory of the call is gone: nobody can say whether it ran.
            self._hopeless(pending, attempt, 'was restarted')
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
            # The agent answers a repeat from its memory, or runs it.
            self._resender.repeat(pending, attempt)
            return
        self._links.send(
            record.agent_id,
            OutcomeQuery(attempt.request_id, attempt.after),
        )

    def _hopeless(
        self,
        pending: PendingCall,
        attempt: Attempt,
        why: str,
    ) -> None:
        self._calls.close_attempt(pending, attempt, may_have_run=True)
        if pending.attempts:
            return
        if pending.idempotent and self._resender.rescue(pending):
            return
        self._calls.fail(
            pending,
            Failure(ErrorKind.OUTCOME_UNKNOWN, f'{attempt.agent_id} {why}'),
        )
