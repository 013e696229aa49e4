"""Polls one worker, tracks its incarnation, and extends its hold.

A hold is the time, on the worker's clock, until which the worker keeps its
tasks running without another poll.
"""

import math
from collections import deque
from typing import Any, Callable, Final

from twisted.python.failure import Failure as TwistedFailure

from hyssopring.clock import MILLIS_PER_SECOND, Clock
from hyssopring.jobs.announced_state import AnnouncedState
from hyssopring.jobs.fences import FenceCounter
from hyssopring.jobs.model import Size
from hyssopring.jobs.past_incarnation import PastIncarnation
from hyssopring.jobs.poll_backoff import MAX_TIMEOUT_MS, PollBackoff
from hyssopring.jobs.sent_holds import SentHold, SentHolds
from hyssopring.jobs.stall_detector import StallDetector
from hyssopring.jobs.times import CLOCK_DRIFT, HOLD_MS
from hyssopring.jobs.worker_port import (
    Announcement,
    Listing,
    PollRequest,
    WorkerFenced,
    WorkerPort,
    WorkerReplaced,
    WorkerUnreachable,
)
from hyssopring.logs import Event, log_event

__all__ = ('WorkerMonitor',)

# How long the worker may delay an answer until a task ends. Tail latencies
# cover 500 ms and are read as often.
_LONG_POLL_MS: Final = 500
_MAX_STEADY_SILENCE_MS: Final = 2 * _LONG_POLL_MS
# A hold is extended by short polls only. A long poll is in flight most of the
# time, also when the worker ends, and so might extend the hold of the next
# incarnation.
_HOLD_INTERVAL_MS: Final = 400.0
# While ends are not durable yet the worker answers at once; this pause leaves
# time to write them.
_UNRECORDED_PAUSE_MS: Final = 60.0
_ERROR_PAUSE_MS: Final = 150.0
# The pause after a fenced poll: the worker is reachable, and the next poll
# carries a higher fence.
_FENCED_PAUSE_MS: Final = 20.0
# The hold of a worker that is silent for longer is not extended; by then two
# polls in a row were not answered.
_SILENT_MS: Final = 1500
# A worker that deregisters stops at once; a poll in flight is answered or
# fails within this time.
_DEREGISTRATION_MS: Final = 500.0
_MAX_PAST_BOOTS: Final = 16


class WorkerMonitor:
    """Polls the newest incarnation of a worker.

    Set the callbacks before the first announcement. Times are milliseconds on
    this process's clock unless noted.

    Attributes:
        on_new_incarnation: Called with the first listing of a new incarnation.
        on_listing: Called with each listing and the time its poll was sent.
        on_hold_expired: Called when the hold of a silent worker has expired.
        on_capacity_changed: Called when the worker announces other resources.
        hold_limit: Returns the time up to which the hold may be extended; by
            default 0, which extends nothing.
        has_unrecorded: Returns whether a listed end is not durable yet; by
            default False.
        durable_up_to: Returns the number up to which all ends are durable; by
            default 0.
        boot: ID of the incarnation that answered last, empty for none.
        fences: Numbers the requests to the worker.
        sent_holds: The requests whose hold may apply to the next incarnation.
        announced: The announced state of that incarnation.
        past_incarnation: The previous incarnation, None if there was none.
    """

    def __init__(
        self,
        reactor: Any,
        clock: Clock,
        port: WorkerPort,
        fences: FenceCounter,
    ) -> None:
        """Poll nothing until a worker announces itself."""
        self._reactor = reactor
        self._clock = clock
        self._port = port
        self.on_new_incarnation: Callable[[Listing], None] = _ignore_listing
        self.on_listing: Callable[[Listing, float], None] = _ignore_answer
        self.on_hold_expired: Callable[[], None] = _do_nothing
        self.on_capacity_changed: Callable[[], None] = _do_nothing
        self.hold_limit: Callable[[], float] = float
        self.has_unrecorded: Callable[[], bool] = bool
        self.durable_up_to: Callable[[], int] = int
        self.boot = ''
        self._target = ''
        self.fences = fences
        self.sent_holds = SentHolds(clock)
        self._short_polled_at = -math.inf
        self.announced = AnnouncedState(clock)
        # An announced incarnation that has not answered a poll yet.
        self._candidate: Announcement | None = None
        self._candidate_at = clock.now()
        self.past_incarnation: PastIncarnation | None = None
        self._past_boots: deque[str] = deque(maxlen=_MAX_PAST_BOOTS)
        self._worker_clock_ms = float()
        self._hold_until = clock.now()
        # Until when requests of a former agent, or requests sent to the former
        # incarnation, may extend the hold.
        self._inherited_hold_until = clock.now()
        # Until when the inherited hold lasts longer than an own one.
        self._long_hold_until = clock.now()
        self._is_hold_expired = False
        self._stall_detector = StallDetector(clock)
        # The poll in flight; answers to earlier polls are dropped.
        self._pending: PollRequest | None = None
        self._backoff = PollBackoff()
        self._oldest_listed_end: float = math.inf
        self._answered_at = clock.now()
        self._failing_since: float | None = None

    @property
    def is_answering(self) -> bool:
        """Whether the current incarnation answered the last poll.

        While another incarnation is announced, it may get the requests that
        are sent to this one.
        """
        return self._failing_since is None and self._candidate is None

    @property
    def is_steady(self) -> bool:
        """Whether the worker responds to each poll and is not leaving."""
        return (
            self.is_answering
            and not self.announced.is_leaving
            and self.silent_ms <= _MAX_STEADY_SILENCE_MS
        )

    @property
    def capacity(self) -> Size:
        """Total resources for tasks; 0 while the hold may outlast an own one.

        If the worker was lost then, its tasks would count as running for
        longer than owners and the next agent assume.
        """
        if self._clock.now() < self._long_hold_until:
            return Size()
        return self.announced.capacity

    @property
    def is_hold_expired(self) -> bool:
        """Whether the worker is silent and its hold has certainly expired."""
        return self._is_hold_expired

    @property
    def has_deregistered(self) -> bool:
        """Whether the worker deregistered, and answers no more.

        It may still answer while it shuts down.
        """
        deregistered_at = self.announced.deregistered_at
        if deregistered_at is None:
            return False
        silent_since = deregistered_at + _DEREGISTRATION_MS
        return self._answered_at <= silent_since < self._clock.now()

    @property
    def silent_ms(self) -> int:
        """Milliseconds since a worker answered this agent."""
        return int(self._clock.now() - self._answered_at)

    def announce(self, announcement: Announcement) -> None:
        """Handle a worker's announcement of its state."""
        if announcement.boot in self._past_boots:
            return
        if announcement.boot == self.boot:
            if self.announced.update(announcement):
                self.on_capacity_changed()
            return
        # A delayed announcement may be of an incarnation that has ended, so a
        # new one counts only when it has answered a poll.
        is_new = (
            not self._candidate or announcement.boot != self._candidate.boot
        )
        self._candidate = announcement
        self._candidate_at = self._clock.now()
        if is_new:
            # Until its first poll, the new incarnation accepts requests that
            # were sent to the former one. The poll in flight may get no answer.
            self._pending = None
            self._backoff.reset()
        self.poll()

    def deregister(self, boot: str) -> None:
        """Handle the deregistration of an incarnation of the worker."""
        if boot == self.boot:
            self.announced.deregister()

    def to_worker_clock(self, time_ms: float) -> int:
        """Return a time on the worker's clock not later than ``time_ms``.

        The worker's clock may run slow, and a deadline that is set by it must
        not pass after ``time_ms`` on this process's clock.
        """
        elapsed_ms = (time_ms - self._answered_at) * (1 - CLOCK_DRIFT)
        return int(self._worker_clock_ms + elapsed_ms)

    def extend_hold(self) -> float:
        """Return the time up to which to extend the hold now, and record it.

        Requests to a silent worker may still arrive. If each one extended the
        hold, its tasks could never be counted as ended.
        """
        if self.silent_ms > _SILENT_MS:
            return self._hold_until
        now_ms = self._clock.now()
        until = min(self.hold_limit(), now_ms + HOLD_MS)
        self._hold_until = max(self._hold_until, until)
        return until

    def poll(self) -> None:
        """Request a listing unless a poll is in flight."""
        if self._pending is not None:
            return
        candidate = self._candidate
        if candidate is not None:
            self._send_probe(candidate.boot)
        elif self.boot:
            self._poll_current()

    def check(self) -> None:
        """Detect a silent worker whose hold expired; call periodically."""
        # After a stall of this process, answers may be unread.
        is_timely = self._stall_detector.record_tick()
        if not self.boot or self._is_hold_expired or not is_timely:
            return
        hold_until = max(self._hold_until, self._inherited_hold_until)
        expires_at = hold_until + CLOCK_DRIFT * HOLD_MS
        if self.silent_ms > _LONG_POLL_MS and self._clock.now() > expires_at:
            self._is_hold_expired = True
            log_event(
                Event.WORKER_SILENT,
                boot=self.boot,
                silent_ms=self.silent_ms,
            )
            self.on_hold_expired()

    def _poll_current(self) -> None:
        """Poll the current incarnation, acknowledge ends and extend the hold.

        After an unanswered poll another incarnation may be running, which must
        receive neither acknowledgements nor a hold by this one's clock.
        """
        if not self.is_answering:
            self._send_probe(self.boot)
            return
        durable_up_to = self.durable_up_to()
        must_acknowledge = self._oldest_listed_end <= durable_up_to
        since_ms = self._clock.now() - self._short_polled_at
        is_short = must_acknowledge or since_ms >= _HOLD_INTERVAL_MS
        if is_short:
            self._short_polled_at = self._clock.now()
        wait_ms = 0 if is_short else _LONG_POLL_MS
        self._send(
            PollRequest(
                self.boot,
                self.fences.current,
                durable_up_to if must_acknowledge else 0,
                self._new_hold_end_ms() if is_short else None,
                wait_ms,
                wait_ms + MAX_TIMEOUT_MS,
            ),
        )
        if must_acknowledge:
            # If the next incarnation ran a later start and received this
            # acknowledgement after it, it would drop the end of that start.
            self.fences.advance()

    def _send_probe(self, boot: str) -> None:
        """Poll with a higher fence, without acknowledgement and hold.

        The fence invalidates requests that were sent to earlier incarnations.
        """
        self.fences.advance()
        timeout_ms = self._backoff.timeout_ms
        self._send(
            PollRequest(boot, self.fences.current, 0, None, 0, timeout_ms)
        )

    def _new_hold_end_ms(self) -> int | None:
        """Return the hold's new end on the worker's clock, None for none."""
        until = self.extend_hold()
        return (
            self.to_worker_clock(until) if until > self._clock.now() else None
        )

    def _send(self, request: PollRequest) -> None:
        self._pending = request
        sent_at = self._clock.now()
        hold = self.sent_holds.add(request.hold_until_ms)
        answer = self._port.poll(request)
        answer.addCallbacks(
            self._handle_listing,
            self._handle_failure,
            callbackArgs=(request, sent_at, hold),
            errbackArgs=(request, hold),
        )
        answer.addErrback(self._log_error)

    def _handle_listing(
        self,
        listing: Listing,
        request: PollRequest,
        sent_at: float,
        hold: SentHold,
    ) -> None:
        if request is not self._pending:
            return
        self._pending = None
        if listing.boot not in {'', request.boot}:
            self._other_incarnation_answered(request)
            return
        if request.boot != self.boot:
            self._adopt(request, listing)
        self.sent_holds.remove(hold)
        self.sent_holds.confirm(sent_at)
        self._answered_at = self._clock.now()
        self._failing_since = None
        self._backoff.reset()
        self._oldest_listed_end = _oldest_end_number(listing)
        self._worker_clock_ms = listing.clock_ms
        self._is_hold_expired = False
        self.on_listing(listing, sent_at)
        pause = _UNRECORDED_PAUSE_MS if self.has_unrecorded() else 0
        self._schedule_poll(pause)

    def _handle_failure(
        self, failure: TwistedFailure, request: PollRequest, hold: SentHold
    ) -> None:
        failure.trap(WorkerReplaced, WorkerUnreachable)
        if failure.check(WorkerReplaced, WorkerFenced):
            self.sent_holds.remove(hold)
        if request is not self._pending:
            return
        self._pending = None
        if failure.check(WorkerReplaced):
            self._other_incarnation_answered(request)
        elif failure.check(WorkerFenced):
            self.fences.raise_above(request.fence)
            self._schedule_poll(_FENCED_PAUSE_MS)
        else:
            self._handle_no_answer()

    def _other_incarnation_answered(self, request: PollRequest) -> None:
        """Drop a candidate if another incarnation answered its poll."""
        if request.boot != self.boot:
            self._candidate = None
        self._handle_no_answer()

    def _handle_no_answer(self) -> None:
        if self._failing_since is None:
            self._failing_since = self._clock.now()
        self._schedule_poll(self._backoff.pause_ms)
        self._backoff.record_failure()

    def _log_error(self, failure: TwistedFailure) -> None:
        """Log a local error in handling a listing, and keep polling."""
        self._pending = None
        log_event(
            Event.PEER_ERROR,
            peer='worker',
            detail=repr(failure.value),
            trace=failure.getBriefTraceback(),
        )
        self._schedule_poll(_ERROR_PAUSE_MS)

    def _schedule_poll(self, pause_ms: float) -> None:
        self._reactor.callLater(pause_ms / MILLIS_PER_SECOND, self.poll)

    def _inherited_hold_ms(self, listing: Listing) -> float:
        """Return how long a hold sent to the former incarnation may last.

        Requests addressed to the former incarnation may reach the candidate
        if both have the same target, or if the candidate's is unknown.
        """
        assert self._candidate is not None, 'a candidate is being adopted'
        may_reach_candidate = self._candidate.target in {'', self._target}
        return self.sent_holds.longest_ms(listing) if may_reach_candidate else 0

    def _adopt(self, request: PollRequest, listing: Listing) -> None:
        assert self._candidate is not None, 'only a candidate is adopted'
        if self.boot:
            self._past_boots.append(self.boot)
            self.past_incarnation = PastIncarnation(
                self.boot,
                self._answered_at,
                self._failing_since,
                self.announced.is_leaving,
            )
            hold_ms = self._inherited_hold_ms(listing)
            self._inherited_hold_until = self._clock.now() + hold_ms
            self._long_hold_until = self._inherited_hold_until - HOLD_MS
            log_event(
                Event.WORKER_REPLACED,
                boot=request.boot,
                before=self.boot,
                hold_ms=int(hold_ms),
            )
        else:
            # A former agent may have extended the hold until now. If that was
            # ignored, a late answer would be enough to report running tasks as
            # ended and start them a second time.
            self._inherited_hold_until = self._clock.now() + HOLD_MS
        self.announced = AnnouncedState.from_announcement(
            self._clock,
            self._candidate,
            self._candidate_at,
        )
        self._target = self._candidate.target
        self._candidate = None
        self.boot = request.boot
        self._hold_until = self._clock.now()
        self.on_new_incarnation(listing)


def _oldest_end_number(listing: Listing) -> float:
    """Return the lowest number of a listed end, infinity for none."""
    numbers = [end.number for end in listing.ends]
    if listing.last_unidentified_end:
        numbers.append(listing.last_unidentified_end)
    return min(numbers, default=math.inf)


def _ignore_listing(_listing: Listing) -> None:
    """Do nothing; the default of a callback."""


def _do_nothing() -> None:
    """Do nothing; the default of a callback."""


def _ignore_answer(_listing: Listing, _sent_at: float) -> None:
    """Do nothing; the default of a callback."""
