"""Sends starts, stops and paces to the worker, with retries."""

from typing import Any, Callable, Final

from twisted.python.failure import Failure as TwistedFailure

from hyssopring.clock import MILLIS_PER_SECOND, Clock
from hyssopring.jobs.attempts import UNKNOWN_PACE, Attempt, AttemptTable, Phase
from hyssopring.jobs.messages import StartOrder
from hyssopring.jobs.sent_holds import SentHold
from hyssopring.jobs.worker_monitor import WorkerMonitor
from hyssopring.jobs.worker_port import (
    StartOutcome,
    StartRequest,
    WorkerFenced,
    WorkerPort,
    WorkerReplaced,
    WorkerUnreachable,
)

__all__ = ('WorkerOrders',)

# Delay before an unanswered request is repeated. A worker starts the same
# attempt only once.
_RETRY_DELAY_MS: Final = 100.0
# After this many tries a start is abandoned with a stop, which also keeps
# copies in flight from being carried out.
_MAX_TRIES: Final = 6
# A task stops within 900 ms. One that runs later was started after its stop
# was accepted.
_STOP_REPEAT_MS: Final = 1000.0


class WorkerOrders:
    """Sends the requests for the attempts of one worker."""

    def __init__(
        self,
        reactor: Any,
        clock: Clock,
        port: WorkerPort,
        monitor: WorkerMonitor,
        table: AttemptTable,
        on_refused: Callable[[Attempt, str], None],
        may_start: Callable[[Attempt], bool],
    ) -> None:
        """Send requests by ``port``.

        Args:
            on_refused: Called with an attempt that the worker refused to start
                and the reason.
            may_start: Returns whether an accepted start may still be sent.
        """
        self._reactor = reactor
        self._clock = clock
        self._port = port
        self._monitor = monitor
        self._table = table
        self._on_refused = on_refused
        self._may_start = may_start

    def start(self, order: StartOrder, attempt: Attempt) -> None:
        """Send a start, and repeat it until it is answered or abandoned."""
        if not self._is_current(order.boot, attempt):
            return
        if attempt.phase is not Phase.STARTING:
            return
        if not self._monitor.is_answering:
            # The next incarnation might carry it out.
            self._retry_later(self.start, order, attempt)
            return
        if (
            attempt.tries >= _MAX_TRIES
            or not self._may_start(attempt)
            or not self._has_room(attempt)
        ):
            self.stop(attempt)
            return
        attempt.tries += 1
        monitor = self._monitor
        fence = monitor.fences.current
        until_ms = monitor.to_worker_clock(monitor.extend_hold())
        hold = monitor.sent_holds.add(until_ms, attempt.task, attempt.number)
        answer = self._port.start(
            StartRequest(
                order.boot,
                fence,
                attempt.task,
                attempt.number,
                order.payload,
                order.checkpoint,
                until_ms,
                order.ticket,
            ),
        )
        answer.addCallbacks(
            self._handle_start_outcome,
            self._handle_no_answer,
            callbackArgs=(fence, hold, order, attempt),
            errbackArgs=(fence, self.start, order, attempt),
        )

    def stop(self, attempt: Attempt) -> None:
        """Stop an attempt; repeat until the worker accepts the stop."""
        attempt.phase = Phase.STOPPING
        if attempt.is_stop_in_flight or attempt.stop_accepted_at is not None:
            return
        self._send_stop(self._monitor.boot, attempt)

    def repeat_stop(self, attempt: Attempt, listed_at: float) -> None:
        """Stop an attempt again if a listing shows that it runs on.

        Args:
            listed_at: When the poll of that listing was sent.
        """
        accepted_at = attempt.stop_accepted_at
        if accepted_at is None or listed_at - accepted_at <= _STOP_REPEAT_MS:
            return
        attempt.stop_accepted_at = None
        self.stop(attempt)

    def set_pace(self, attempt: Attempt, percent: int) -> None:
        """Limit an attempt to this percentage of its processor time."""
        attempt.pace = percent
        monitor = self._monitor
        answer = self._port.set_pace(
            monitor.boot,
            monitor.fences.current,
            attempt.task,
            attempt.number,
            percent,
        )
        answer.addErrback(self._handle_pace_error, attempt)

    def _send_stop(self, boot: str, attempt: Attempt) -> None:
        attempt.is_stop_in_flight = False
        if not self._is_current(boot, attempt):
            return
        attempt.is_stop_in_flight = True
        fence = self._monitor.fences.current
        answer = self._port.stop(
            boot,
            fence,
            attempt.task,
            attempt.number,
        )
        answer.addCallbacks(
            self._handle_stop_accepted,
            self._handle_no_answer,
            callbackArgs=(attempt,),
            errbackArgs=(fence, self._send_stop, boot, attempt),
        )

    def _handle_start_outcome(
        self,
        outcome: StartOutcome,
        fence: int,
        hold: SentHold,
        order: StartOrder,
        attempt: Attempt,
    ) -> None:
        if outcome is StartOutcome.FENCED:
            self._monitor.sent_holds.remove(hold)
        else:
            self._monitor.fences.reset_step()
            self._monitor.sent_holds.record_answer(
                hold, has_started=outcome is StartOutcome.STARTED
            )
        if not self._is_current(order.boot, attempt):
            return
        if outcome is StartOutcome.STARTED:
            if attempt.phase is Phase.STARTING:
                attempt.phase = Phase.RUNNING
            attempt.confirmed_at = self._clock.now()
        elif outcome in {StartOutcome.FENCED, StartOutcome.LATE}:
            self._raise_fence(outcome, fence)
            self._retry_later(self.start, order, attempt)
        elif attempt.tries > 1:
            self._handle_refused_retry(outcome, attempt)
        else:
            self._table.remove(attempt.task, attempt.number)
            self._on_refused(attempt, outcome.value)

    def _raise_fence(self, outcome: StartOutcome, fence: int) -> None:
        """Raise the fence for another try; the first copy is void then."""
        if outcome is StartOutcome.FENCED:
            self._monitor.fences.raise_above(fence)
        else:
            self._monitor.fences.advance()

    def _handle_refused_retry(
        self, outcome: StartOutcome, attempt: Attempt
    ) -> None:
        """Handle the refusal of a repeated start.

        An earlier, unanswered copy may still be carried out. If the attempt
        were reported as refused, the task would start elsewhere and then here
        as well. An accepted stop invalidates all copies.
        """
        if outcome is StartOutcome.OLD:
            # An earlier copy ran; the listing contains its end.
            attempt.confirmed_at = self._clock.now()
        else:
            self.stop(attempt)

    def _handle_stop_accepted(self, _answer: object, attempt: Attempt) -> None:
        attempt.is_stop_in_flight = False
        attempt.stop_accepted_at = self._clock.now()

    def _handle_no_answer(
        self,
        failure: TwistedFailure,
        fence: int,
        action: Callable[..., None],
        *arguments: Any,
    ) -> None:
        failure.trap(WorkerUnreachable, WorkerReplaced)
        if failure.check(WorkerFenced):
            self._monitor.fences.raise_above(fence)
        self._retry_later(action, *arguments)

    def _retry_later(
        self, action: Callable[..., None], *arguments: Any
    ) -> None:
        self._reactor.callLater(
            _RETRY_DELAY_MS / MILLIS_PER_SECOND, action, *arguments
        )

    def _handle_pace_error(
        self, failure: TwistedFailure, attempt: Attempt
    ) -> None:
        """Mark the pace as unknown so that the next listing sets it again."""
        failure.trap(WorkerUnreachable, WorkerReplaced)
        attempt.pace = UNKNOWN_PACE

    def _has_room(self, attempt: Attempt) -> bool:
        """Return whether a repeated start still fits; the first one did."""
        if not attempt.tries:
            return True
        return self._table.used().fits_in(self._monitor.capacity)

    def _is_current(self, boot: str, attempt: Attempt) -> bool:
        return (
            boot == self._monitor.boot
            and self._table.by_task.get(attempt.task) is attempt
        )
