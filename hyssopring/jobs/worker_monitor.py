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
from hyssopring.jobs.poll_backoff import ANSWER_MS, PollBackoff
from hyssopring.jobs.stall_detector import StallDetector
from hyssopring.jobs.times import CLOCK_DRIFT, HOLD_MS, LONGEST_HOLD_MS
from hyssopring.jobs.past_incarnation import PastIncarnation
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
_WAIT_MS: Final = 500
# While ends are not durable yet the worker answers at once; this pause leaves
# time to write them.
_UNRECORDED_PAUSE_MS: Final = 60.0
_RETRY_MS: Final = 150.0
# The worker is reachable, and the next poll carries a higher fence.
_FENCED_PAUSE_MS: Final = 20.0
# Two polls in a row were not answered.
_SILENT_MS: Final = 1500
# A worker that deregisters stops at once; a poll in flight is answered or
# fails within this time.
_ENDED_MS: Final = 500.0
_PAST_BOOTS: Final = 16


class WorkerMonitor:
    """Polls the newest incarnation of a worker.

    Set the callbacks before the first announcement. Times are milliseconds on
    this process's clock unless noted.

    Attributes:
        on_boot: Called with the first listing of a new incarnation.
        on_listing: Called with each listing and the time its poll was sent.
        on_lapse: Called when the hold of a silent worker has expired.
        on_room: Called when the worker announces other resources.
        hold_limit: Returns the time up to which the hold may be extended.
        has_unrecorded: Returns whether a listed end is not durable yet.
        recorded: Returns the number up to which all ends are durable.
        boot: ID of the incarnation that answered last, empty for none.
        fences: Numbers the requests to the worker.
        announced: The announced state of that incarnation.
        past: The previous incarnation, None if this process polled none.
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
        self.on_boot: Callable[[Listing], None] = _meet_nobody
        self.on_listing: Callable[[Listing, float], None] = _ignore
        self.on_lapse: Callable[[], None] = _nothing
        self.on_room: Callable[[], None] = _nothing
        self.hold_limit: Callable[[], float] = float
        self.has_unrecorded: Callable[[], bool] = bool
        self.recorded: Callable[[], int] = int
        self.boot = ''
        self._target = ''
        self.fences = fences
        self.announced = AnnouncedState(clock)
        self._candidate: Announcement | None = None
        self._candidate_at = clock.now()
        self.past: PastIncarnation | None = None
        self._past_boots: deque[str] = deque(maxlen=_PAST_BOOTS)
        self._clock_base = float()
        self._held_until = clock.now()
        # Until when requests of a former agent, or requests sent to the former
        # incarnation, may extend the hold.
        self._inherited_until = clock.now()
        self._has_lapsed = False
        self._stalls = StallDetector(clock)
        # The poll in flight; answers to earlier polls are dropped.
        self._pending: PollRequest | None = None
        self._retries = PollBackoff()
        self._oldest_listed: float = math.inf
        self._heard_at = clock.now()
        self._failing_since: float | None = None

    @property
    def is_answering(self) -> bool:
        """Whether the current incarnation answered the last poll."""
        return self._failing_since is None

    @property
    def has_lapsed(self) -> bool:
        """Whether the worker is silent and its hold has certainly expired."""
        return self._has_lapsed

    @property
    def has_ended(self) -> bool:
        """Whether the worker deregistered and has not answered since."""
        withdrawn_at = self.announced.withdrawn_at
        if withdrawn_at is None:
            return False
        since_ms = self._clock.now() - withdrawn_at
        return _ENDED_MS < since_ms <= self.silent_ms

    @property
    def silent_ms(self) -> int:
        """Milliseconds since a worker answered this agent."""
        return int(self._clock.now() - self._heard_at)

    def announce(self, announced: Announcement) -> None:
        """Handle a worker's announcement of its state."""
        if announced.boot in self._past_boots:
            return
        if announced.boot == self.boot:
            if self.announced.update(announced):
                self.on_room()
            return
        # A delayed announcement may be of an incarnation that has ended, so a
        # new one counts only when it has answered a poll.
        is_new = not self._candidate or announced.boot != self._candidate.boot
        self._candidate = announced
        self._candidate_at = self._clock.now()
        if is_new:
            # Until its first poll, the new incarnation accepts requests that
            # were sent to the former one. The poll in flight may get no answer.
            self._pending = None
            self._retries.answered()
        self.poll()

    def withdraw(self, boot: str) -> None:
        """Handle the deregistration of an incarnation of the worker."""
        if boot == self.boot:
            self.announced.withdraw()

    def worker_time(self, at: float) -> int:
        """Return a time on the worker's clock not later than ``at``.

        The worker's clock may run slow, and a deadline that is set by it must
        not pass after ``at`` on this process's clock.
        """
        millis = (at - self._heard_at) * (1 - CLOCK_DRIFT)
        return int(self._clock_base + millis)

    def hold_until(self) -> float:
        """Return the time up to which the hold may be extended now.

        Requests to a silent worker may still arrive. If each one extended the
        hold, its tasks could never be counted as ended.
        """
        if self.silent_ms > _SILENT_MS:
            return self._held_until
        now = self._clock.now()
        until = min(self.hold_limit(), now + HOLD_MS)
        self._held_until = max(self._held_until, until)
        return until

    def poll(self) -> None:
        """Request a listing unless a poll is in flight."""
        if self._pending is not None:
            return
        candidate = self._candidate
        if candidate is not None:
            self._send_plain(candidate.boot)
        elif self.boot:
            self._look_again()

    def check(self) -> None:
        """Detect a silent worker whose hold expired; call periodically."""
        # After this process was stalled an answer may lie unread.
        has_kept_up = self._stalls.record_tick()
        if not self.boot or self._has_lapsed or not has_kept_up:
            return
        held_until = max(self._held_until, self._inherited_until)
        lapse = held_until + CLOCK_DRIFT * HOLD_MS
        if self.silent_ms > _WAIT_MS and self._clock.now() > lapse:
            self._has_lapsed = True
            log_event(
                Event.WORKER_SILENT,
                boot=self.boot,
                silent_ms=self.silent_ms,
            )
            self.on_lapse()

    def _look_again(self) -> None:
        """Poll the current incarnation, without side effects if it is silent.

        After an unanswered poll another incarnation may be running. It must
        receive neither acknowledgements nor a hold by this one's clock.
        """
        if not self.is_answering:
            self._send_plain(self.boot)
            return
        recorded = self.recorded()
        is_listed = self._oldest_listed <= recorded
        wait_ms = 0 if is_listed else _WAIT_MS
        self._send(
            PollRequest(
                self.boot,
                self.fences.current,
                recorded if is_listed else 0,
                self._extension(),
                wait_ms,
                wait_ms + ANSWER_MS,
            ),
        )
        if is_listed:
            # If the next incarnation ran a later start and received this
            # acknowledgement after it, it would drop the end of that start.
            self.fences.advance()

    def _send_plain(self, boot: str) -> None:
        """Poll only to invalidate requests sent to earlier incarnations."""
        self.fences.advance()
        answer_ms = self._retries.answer_ms
        self._send(
            PollRequest(boot, self.fences.current, 0, None, 0, answer_ms)
        )

    def _extension(self) -> int | None:
        """Return the hold's new end on the worker's clock, None for none."""
        until = self.hold_until()
        return self.worker_time(until) if until > self._clock.now() else None

    def _send(self, look: PollRequest) -> None:
        self._pending = look
        sent_at = self._clock.now()
        asked = self._port.poll(look)
        asked.addCallbacks(
            self._listed,
            self._failed,
            callbackArgs=(look, sent_at),
            errbackArgs=(look,),
        )
        asked.addErrback(self._broken)

    def _listed(
        self, listing: Listing, look: PollRequest, sent_at: float
    ) -> None:
        if look is not self._pending:
            return
        self._pending = None
        if listing.boot not in {'', look.boot}:
            self._met_another(look)
            return
        if look.boot != self.boot:
            self._adopt(look, listing)
        self._heard_at = self._clock.now()
        self._failing_since = None
        self._retries.answered()
        self._oldest_listed = _oldest_number(listing)
        self._clock_base = listing.clock_ms
        self._has_lapsed = False
        self.on_listing(listing, sent_at)
        pause = _UNRECORDED_PAUSE_MS if self.has_unrecorded() else 0
        self._later(pause)

    def _failed(self, failure: TwistedFailure, look: PollRequest) -> None:
        failure.trap(WorkerReplaced, WorkerUnreachable)
        if look is not self._pending:
            return
        self._pending = None
        if failure.check(WorkerReplaced):
            self._met_another(look)
        elif failure.check(WorkerFenced):
            self.fences.refused(look.fence)
            self._later(_FENCED_PAUSE_MS)
        else:
            self._look_failed()

    def _met_another(self, look: PollRequest) -> None:
        """Drop a candidate if another incarnation answered its poll."""
        if look.boot != self.boot:
            self._candidate = None
        self._look_failed()

    def _look_failed(self) -> None:
        if self._failing_since is None:
            self._failing_since = self._clock.now()
        self._later(self._retries.pause_ms)
        self._retries.failed()

    def _broken(self, failure: TwistedFailure) -> None:
        """Log a local error in handling a listing, and keep polling."""
        self._pending = None
        log_event(
            Event.PEER_ERROR,
            peer='worker',
            detail=repr(failure.value),
            trace=failure.getBriefTraceback(),
        )
        self._later(_RETRY_MS)

    def _later(self, pause_ms: float) -> None:
        self._reactor.callLater(pause_ms / MILLIS_PER_SECOND, self.poll)

    @property
    def _stray_hold_ms(self) -> float:
        """How long a hold sent to the former incarnation may last."""
        assert self._candidate is not None, 'a candidate is being adopted'
        may_stray = self._candidate.target in {'', self._target}
        return LONGEST_HOLD_MS if may_stray else 0

    def _adopt(self, look: PollRequest, listing: Listing) -> None:
        assert self._candidate is not None, 'only a candidate is adopted'
        if self.boot:
            self._past_boots.append(self.boot)
            self.past = PastIncarnation(
                self.boot,
                self._heard_at,
                self._failing_since,
                self.announced.is_leaving,
            )
            log_event(Event.WORKER_REPLACED, boot=look.boot, before=self.boot)
            self._inherited_until = self._clock.now() + self._stray_hold_ms
        else:
            # A former agent may have extended the hold until now. Without it,
            # one late answer would report running tasks as ended, and they
            # would start a second time.
            self._inherited_until = self._clock.now() + HOLD_MS
        self.announced = AnnouncedState.of_boot(
            self._clock,
            self._candidate,
            self._candidate_at,
        )
        self._target = self._candidate.target
        self._candidate = None
        self.boot = look.boot
        self._held_until = self._clock.now()
        self.on_boot(listing)


def _oldest_number(listing: Listing) -> float:
    """Return the lowest number of a listed end, infinity for none."""
    numbers = [end.number for end in listing.ends]
    if listing.last_unidentified_end:
        numbers.append(listing.last_unidentified_end)
    return min(numbers, default=math.inf)


def _meet_nobody(_listing: Listing) -> None:
    """Do nothing; the default of a callback."""


def _nothing() -> None:
    """Do nothing; the default of a callback."""


def _ignore(_listing: Listing, _sent_at: float) -> None:
    """Do nothing; the default of a callback."""
