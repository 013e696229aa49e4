"""Runs a keyed request that is not idempotent at most once, from any entry.

The agent is chosen before the claim, and the request goes to no other one
until that agent has said "not run" and the claim has been moved by
compare-and-set. A request that finds its key taken follows the first one: it
waits for that answer, or takes over once the first is certain never to run.
"""

import hashlib
from typing import Protocol

from result import Err, Result

from hyssopring.entry.calls import PendingCall
from hyssopring.entry.claims import Claim, Claimed, ClaimTable, Taken
from hyssopring.entry.doubt import Doubts
from hyssopring.entry.pending import PendingCalls
from hyssopring.errors import ErrorKind, Failure
from hyssopring.logs import Event, log_event
from hyssopring.routing import BackendChoice

__all__ = ('KeyedCalls',)

_MAX_MOVES = 5


class Dispatcher(Protocol):
    """Chooses backends and sends calls; ``CallSender``."""

    def choose(self, pending: PendingCall) -> BackendChoice | None:
        """Return a backend that the call has not been sent to."""

    def dispatch(self, pending: PendingCall, choice: BackendChoice) -> None:
        """Send the call."""

    def is_open(self, choice: BackendChoice) -> bool:
        """Whether the chosen backend may still be sent to."""


class KeyedCalls:
    """Claims keys for pending calls, and follows earlier claims."""

    def __init__(
        self,
        calls: PendingCalls,
        claims: ClaimTable,
        doubts: Doubts,
        dispatcher: Dispatcher,
    ) -> None:
        """Take the collaborators."""
        self._calls = calls
        self._claims = claims
        self._doubts = doubts
        self._dispatcher = dispatcher
        calls.on_not_run = self._release

    def claim(self, pending: PendingCall, choice: BackendChoice) -> None:
        """Claim the call's key for the chosen agent, then send it."""
        self._claims.insert(
            pending.call.service_name,
            pending.call.key,
            _claim_of(pending, choice),
            lambda answer: self._claimed(pending, choice, answer),
        )

    def move(self, pending: PendingCall, failure: Failure) -> None:
        """The agent in the claim has said "not run": claim another."""
        choice = self._dispatcher.choose(pending)
        row = pending.row
        if row is None or choice is None or pending.moves >= _MAX_MOVES:
            self._calls.fail(pending, failure)
            return
        pending.moves += 1
        self._claims.move(
            row,
            _claim_of(pending, choice),
            lambda answer: self._claimed(pending, choice, answer),
        )

    def _claimed(
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
                self._taken(pending, outcome)
            return
        if is_waiting:
            pending.row = outcome.row
            self._send(pending, choice)
            return
        # Its deadline passed or its caller left: it is never sent.
        self._claims.release(outcome.row)

    def _send(self, pending: PendingCall, choice: BackendChoice) -> None:
        if self._dispatcher.is_open(choice):
            self._dispatcher.dispatch(pending, choice)
            return
        # The agent left while the claim was written; nothing was sent.
        self.move(
            pending,
            Failure(ErrorKind.NO_BACKEND, 'the agent left before the call'),
        )

    def _taken(self, pending: PendingCall, taken: Taken) -> None:
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
        pending.row = taken.row
        log_event(
            Event.REQUEST_FOLLOWED,
            request=pending.call.request_id,
            first=claim.request_id,
            agent=claim.agent_id,
        )
        self._doubts.follow(pending, claim)

    def _release(self, pending: PendingCall) -> None:
        row = pending.row
        if row is not None and row.claim.request_id == pending.call.request_id:
            self._claims.release(row)


def _claim_of(pending: PendingCall, choice: BackendChoice) -> Claim:
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
