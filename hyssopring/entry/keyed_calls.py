"""Runs a keyed request that is not idempotent at most once, at any entry.

The agent is chosen before the claim. The request is sent to another agent only
after the first one has reported it as not run and the claim has been moved by
compare-and-set. A request whose key is claimed already follows the earlier
request: it waits for that answer, or takes over the claim once the earlier
request certainly never runs.
"""

import hashlib
from typing import Protocol

from result import Err, Result

from hyssopring.entry.calls import PendingCall
from hyssopring.entry.claims import Claim, Claimed, ClaimTable, Taken
from hyssopring.entry.unconfirmed_calls import UnconfirmedCalls
from hyssopring.entry.pending_calls import PendingCalls
from hyssopring.errors import ErrorKind, Failure
from hyssopring.logs import Event, log_event
from hyssopring.routing import BackendChoice

__all__ = ('KeyedCalls',)

_MAX_CLAIM_MOVES = 5


class Dispatcher(Protocol):
    """Chooses backends and sends calls; ``CallSender``."""

    def choose(self, pending: PendingCall) -> BackendChoice | None:
        """Return a backend server that has not received the call, or None."""

    def dispatch(self, pending: PendingCall, choice: BackendChoice) -> None:
        """Send the call to the chosen backend server."""

    def can_send_to(self, choice: BackendChoice) -> bool:
        """Whether the chosen backend server is connected and routable."""


class KeyedCalls:
    """Claims keys for pending calls, and follows earlier claims."""

    def __init__(
        self,
        calls: PendingCalls,
        claims: ClaimTable,
        unconfirmed: UnconfirmedCalls,
        dispatcher: Dispatcher,
    ) -> None:
        """Register for calls that certainly did not run."""
        self._calls = calls
        self._claims = claims
        self._unconfirmed = unconfirmed
        self._dispatcher = dispatcher
        calls.on_not_run = self._release

    def claim(self, pending: PendingCall, choice: BackendChoice) -> None:
        """Claim the call's key for the chosen agent, then send it."""
        self._claims.insert(
            pending.call.service_name,
            pending.call.key,
            _build_claim(pending, choice),
            lambda answer: self._on_claim(pending, choice, answer),
        )

    def move(self, pending: PendingCall, failure: Failure) -> None:
        """Claim the key for another agent, as its agent did not run the call.

        Fail the call with ``failure`` if there is no other agent.
        """
        choice = self._dispatcher.choose(pending)
        row = pending.claim_row
        if (
            row is None
            or choice is None
            or pending.claim_moves >= _MAX_CLAIM_MOVES
        ):
            self._calls.fail(pending, failure)
            return
        pending.claim_moves += 1
        self._claims.move(
            row,
            _build_claim(pending, choice),
            lambda answer: self._on_claim(pending, choice, answer),
        )

    def _on_claim(
        self,
        pending: PendingCall,
        choice: BackendChoice,
        answer: Result[Claimed | Taken, Failure],
    ) -> None:
        is_waiting = pending in self._calls
        if isinstance(answer, Err):
            if is_waiting:
                self._calls.fail(pending, answer.err_value)
            return
        outcome = answer.ok_value
        if isinstance(outcome, Taken):
            if is_waiting:
                self._follow(pending, outcome)
            return
        if is_waiting:
            pending.claim_row = outcome.row
            self._send(pending, choice)
            return
        # The deadline passed or the caller disconnected: never sent.
        self._claims.release(outcome.row)

    def _send(self, pending: PendingCall, choice: BackendChoice) -> None:
        if self._dispatcher.can_send_to(choice):
            self._dispatcher.dispatch(pending, choice)
            return
        # The agent disconnected during the commit; nothing was sent.
        self.move(
            pending,
            Failure(ErrorKind.NO_BACKEND, 'the agent left before the call'),
        )

    def _follow(self, pending: PendingCall, taken: Taken) -> None:
        claim = taken.row.claim
        if claim.digest != _digest(pending):
            self._calls.fail(
                pending,
                Failure(
                    ErrorKind.CONFLICT,
                    'the idempotency key was used for another request',
                ),
            )
            return
        pending.claim_row = taken.row
        log_event(
            Event.REQUEST_FOLLOWED,
            request=pending.call.request_id,
            first=claim.request_id,
            agent=claim.agent_id,
        )
        self._unconfirmed.follow(pending, claim)

    def _release(self, pending: PendingCall) -> None:
        row = pending.claim_row
        if row is not None and row.claim.request_id == pending.call.request_id:
            self._claims.release(row)


def _build_claim(pending: PendingCall, choice: BackendChoice) -> Claim:
    record = choice.backend.agent
    return Claim(
        pending.call.request_id,
        record.agent_id,
        record.incarnation,
        record.sequence,
        _digest(pending),
    )


def _digest(pending: PendingCall) -> str:
    call = pending.call
    head = f'{call.method} {call.path}\n'.encode('latin-1', 'replace')
    return hashlib.sha256(head + call.body).hexdigest()
