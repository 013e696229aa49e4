"""Sends starts, stops and paces to the worker, with retries."""

from typing import Any, Callable, Final

from twisted.python.failure import Failure as TwistedFailure

from hyssopring.clock import MILLIS_PER_SECOND, Clock
from hyssopring.jobs.attempts import UNKNOWN_PACE, Attempt, AttemptTable, Phase
from hyssopring.jobs.messages import StartOrder
from hyssopring.jobs.worker_monitor import WorkerMonitor
from hyssopring.jobs.worker_port import (
    StartRequest,
    StartOutcome,
    WorkerFenced,
    WorkerPort,
    WorkerReplaced,
    WorkerUnreachable,
)

__all__ = ('WorkerOrders',)

# Delay before an unanswered request is repeated. A worker starts the same
# attempt only once.
_REPEAT_MS: Final = 100.0
# After this many tries a start is abandoned with a stop, which also keeps
# copies in flight from being carried out.
_MAX_TRIES: Final = 6


class WorkerOrders:
    """Sends the requests for the attempts of one worker."""

    def __init__(
        self,
        reactor: Any,
        clock: Clock,
        port: WorkerPort,
        watch: WorkerMonitor,
        table: AttemptTable,
        on_refused: Callable[[Attempt, str], None],
    ) -> None:
        """Send requests by ``port``.

        Args:
            on_refused: Called with an attempt that the worker refused to start
                and the reason.
        """
        self._reactor = reactor
        self._clock = clock
        self._port = port
        self._watch = watch
        self._table = table
        self._on_refused = on_refused

    def start(self, order: StartOrder, attempt: Attempt) -> None:
        """Send a start, and repeat it until it is answered or abandoned."""
        if not self._is_current(order.boot, attempt):
            return
        if attempt.phase is not Phase.STARTING:
            return
        if not self._watch.is_answering:
            # The next incarnation might carry it out.
            self._again(self.start, order, attempt)
            return
        if attempt.tries >= _MAX_TRIES or not self._has_room(attempt):
            self.stop(attempt)
            return
        attempt.tries += 1
        watch = self._watch
        fence = watch.fences.current
        asked = self._port.start(
            StartRequest(
                order.boot,
                fence,
                attempt.task,
                attempt.number,
                order.payload,
                order.checkpoint,
                watch.worker_time(watch.hold_until()),
                order.ticket,
            ),
        )
        asked.addCallbacks(
            self._started,
            self._unanswered,
            callbackArgs=(fence, order, attempt),
            errbackArgs=(fence, self.start, order, attempt),
        )

    def stop(self, attempt: Attempt) -> None:
        """Stop an attempt; repeat until the worker accepts the stop."""
        attempt.phase = Phase.STOPPING
        if attempt.is_stop_under_way or attempt.stop_taken_at is not None:
            return
        self._send_stop(self._watch.boot, attempt)

    def set_pace(self, attempt: Attempt, percent: int) -> None:
        """Limit an attempt to this percentage of its processor time."""
        attempt.pace = percent
        watch = self._watch
        asked = self._port.set_pace(
            watch.boot,
            watch.fences.current,
            attempt.task,
            attempt.number,
            percent,
        )
        asked.addErrback(self._pace_unknown, attempt)

    def _send_stop(self, boot: str, attempt: Attempt) -> None:
        attempt.is_stop_under_way = False
        if not self._is_current(boot, attempt):
            return
        attempt.is_stop_under_way = True
        fence = self._watch.fences.current
        asked = self._port.stop(
            boot,
            fence,
            attempt.task,
            attempt.number,
        )
        asked.addCallbacks(
            self._stopped,
            self._unanswered,
            callbackArgs=(attempt,),
            errbackArgs=(fence, self._send_stop, boot, attempt),
        )

    def _started(
        self,
        outcome: StartOutcome,
        fence: int,
        order: StartOrder,
        attempt: Attempt,
    ) -> None:
        if outcome is not StartOutcome.FENCED:
            self._watch.fences.taken()
        if not self._is_current(order.boot, attempt):
            return
        if outcome is StartOutcome.STARTED:
            if attempt.phase is Phase.STARTING:
                attempt.phase = Phase.RUNNING
            attempt.confirmed_at = self._clock.now()
        elif outcome in {StartOutcome.FENCED, StartOutcome.LATE}:
            self._watch.fences.refused(fence)
            self._again(self.start, order, attempt)
        elif attempt.tries > 1:
            self._copy_refused(outcome, attempt)
        else:
            self._table.ended(attempt.task, attempt.number)
            self._on_refused(attempt, outcome.value)

    def _copy_refused(self, outcome: StartOutcome, attempt: Attempt) -> None:
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

    def _stopped(self, _taken: object, attempt: Attempt) -> None:
        attempt.is_stop_under_way = False
        attempt.stop_taken_at = self._clock.now()

    def _unanswered(
        self,
        failure: TwistedFailure,
        fence: int,
        again: Callable[..., None],
        *order: Any,
    ) -> None:
        failure.trap(WorkerUnreachable, WorkerReplaced)
        if failure.check(WorkerFenced):
            self._watch.fences.refused(fence)
        self._again(again, *order)

    def _again(self, again: Callable[..., None], *order: Any) -> None:
        self._reactor.callLater(_REPEAT_MS / MILLIS_PER_SECOND, again, *order)

    def _pace_unknown(self, failure: TwistedFailure, attempt: Attempt) -> None:
        """Mark the pace as unknown so that the next listing sets it again."""
        failure.trap(WorkerUnreachable, WorkerReplaced)
        attempt.pace = UNKNOWN_PACE

    def _has_room(self, attempt: Attempt) -> bool:
        """Return whether a repeated start still fits; the first one did."""
        if not attempt.tries:
            return True
        return self._table.used().fits_in(self._watch.announced.room)

    def _is_current(self, boot: str, attempt: Attempt) -> bool:
        return (
            boot == self._watch.boot
            and self._table.by_task.get(attempt.task) is attempt
        )
